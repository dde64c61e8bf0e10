/** Tests whole nodes against stand-ins: the path of a request, heartbeats and rules. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { Mesh, sendRequest, waitUntil, type Machine } from './stand-ins/mesh.js';

const OPTIONS = { zone: 'z', slots: 4, workMs: 1 };

let mesh: Mesh;
let caller: Machine;
let first: Machine;
let second: Machine;

before(async () => {
  mesh = new Mesh();
  await mesh.start();
  mesh.putRules(1, [
    { path: '/read/', service: 'ledger' },
    { path: '/write/', service: 'ledger', kind: 'non_idempotent', timeoutMs: 300 },
  ]);
  caller = await mesh.add({ ...OPTIONS, service: 'guide' });
  first = await mesh.add({ ...OPTIONS, service: 'ledger' });
  second = await mesh.add({ ...OPTIONS, service: 'ledger' });
  await mesh.sendHeartbeats();
  await waitUntil(async () => {
    await mesh.send(caller, { path: '/read/warm' });
    return first.target.receivedCount > 0 && second.target.receivedCount > 0;
  });
});
after(() => mesh.stop());

test('a request reaches a target unchanged, with the fields that the node sets', async () => {
  const answer = await mesh.send(caller, {
    method: 'POST',
    path: '/read/1?q=2',
    attemptId: 'one',
    body: 'text',
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'answer to one');
  assert.match(String(answer.headers['x-server-stamp']), /^stamp i-1$/);
  const received = [...first.target.received, ...second.target.received];
  const found = received.find(({ attemptId }) => attemptId === 'one')!;
  assert.equal(found.path, '/read/1?q=2');
  assert.equal(found.body, 'text');
  assert.equal(found.headers['x-caller-service'], 'guide');
  assert.equal(found.headers['x-expected-instance'], 'i-1');
  const remainingMs = Number(found.headers['x-deadline-ms']);
  assert.ok(remainingMs > 0 && remainingMs <= 5_000);
});

test('metrics count requests by result, and the readiness endpoint reports that the node is ready', async () => {
  const metrics = await sendRequest(caller.metrics, { path: '/metrics' });
  assert.match(metrics.body, /sillshore_requests_total\{kind="route-1",code="0"\} \d+/);
  const ready = await sendRequest(caller.readiness, { path: '/v1/readiness' });
  assert.equal(ready.status, 200);
});

test('an unknown route gets 404 with its result code', async () => {
  const answer = await mesh.send(caller, { path: '/none/' });
  assert.equal(answer.status, 404);
  assert.equal(answer.headers['sillshore-result'], '1002');
});

test('an answer that belongs to another request is never passed on', async () => {
  for (const { target } of [first, second]) {
    target.behaviour = ({ attemptId }, response) => {
      if (!attemptId.startsWith('foreign')) return false;
      response.writeHead(200, { 'X-Attempt-Id': 'other', 'X-Server-Stamp': 's' }).end('wrong');
      return true;
    };
  }
  const read = await mesh.send(caller, { path: '/read/1', attemptId: 'foreign-read' });
  assert.equal(read.status, 502);
  const write = await mesh.send(caller, {
    method: 'POST',
    path: '/write/1',
    attemptId: 'foreign-write',
  });
  assert.equal(write.status, 502);
  const writes = [...first.target.received, ...second.target.received].filter(
    ({ attemptId }) => attemptId === 'foreign-write',
  );
  assert.equal(writes.length, 1);
});

test('an answer without a length is not treated as complete', async () => {
  for (const { target } of [first, second]) {
    target.behaviour = ({ attemptId }, response) => {
      if (attemptId !== 'unframed') return false;
      const fields = `X-Attempt-Id: ${attemptId}\r\nConnection: close`;
      response.socket?.end(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\npart`);
      return true;
    };
  }
  const request = { method: 'POST', path: '/write/1', attemptId: 'unframed' };
  assert.equal((await mesh.send(caller, request)).status, 502);
});

test("a request is answered at its route's timeout, and cancelled at the target", async () => {
  const cancelledBefore = first.target.cancelled + second.target.cancelled;
  for (const { target } of [first, second]) {
    target.behaviour = ({ attemptId }) => attemptId.startsWith('stuck');
  }
  const answer = await mesh.send(caller, {
    method: 'POST',
    path: '/write/1',
    attemptId: 'stuck-write',
  });
  assert.equal(answer.status, 504);
  await waitUntil(() => first.target.cancelled + second.target.cancelled > cancelledBefore);
});

test('a request that a target reports as not run is sent to another one', async () => {
  let refused = 0;
  for (const { target } of [first, second]) {
    target.behaviour = ({ attemptId }, response) => {
      if (attemptId !== 'shed-write' || refused > 0) return false;
      refused += 1;
      response.writeHead(503, { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1' }).end();
      return true;
    };
  }
  const answer = await mesh.send(caller, {
    method: 'POST',
    path: '/write/1',
    attemptId: 'shed-write',
  });
  assert.equal(refused, 1);
  assert.equal(answer.status, 200);
});

test('a target gets no new requests after an acknowledged leave, also when its node restarts', async () => {
  assert.equal(await first.target.sendHeartbeat(first.registration, 'draining'), 200);
  const before = first.target.receivedCount;
  for (let count = 0; count < 20; count += 1) {
    const answer = await mesh.send(caller, { path: '/read/after' });
    assert.equal(answer.status, 200);
  }
  assert.equal(first.target.receivedCount, before);
  await first.kernel.stop();
  await first.restart();
  assert.equal(await first.target.sendHeartbeat(first.registration, 'ready', { sequence: 1 }), 200);
  for (let count = 0; count < 20; count += 1) {
    const answer = await mesh.send(caller, { path: '/read/restarted' });
    assert.equal(answer.status, 200);
  }
  assert.equal(first.target.receivedCount, before);
});

test('a leave is not acknowledged before the store has it', async () => {
  mesh.store.faults.refuseWith = 503;
  assert.equal(await second.target.sendHeartbeat(second.registration, 'draining'), 503);
  mesh.store.faults.refuseWith = 0;
  await waitUntil(
    async () => (await second.target.sendHeartbeat(second.registration, 'draining')) === 200,
  );
  assert.match(mesh.store.get(`sillshore/nodes/${second.id}`) ?? '', /"target":"leaving"/);
});

test('a new incarnation of a target replaces the old one once it is confirmed', async () => {
  second.target.restart('i-2');
  await waitUntil(async () => (await second.target.sendHeartbeat(second.registration)) === 200);
  const answer = await mesh.sendUntil(
    caller,
    { path: '/read/new' },
    ({ status }) => status === 200,
  );
  assert.equal(answer.headers['x-server-stamp'], 'stamp i-2');
});

test('a restarted node keeps its record when nothing has changed', async () => {
  const key = `sillshore/nodes/${caller.id}`;
  const writes = mesh.store.calls.get('POST /v1/kv-txn');
  const record = mesh.store.get(key);
  await caller.kernel.stop();
  await caller.restart();
  assert.equal(await caller.target.sendHeartbeat(caller.registration), 200);
  await mesh.sendUntil(caller, { path: '/read/kept' }, ({ status }) => status === 200);
  assert.equal(mesh.store.get(key), record);
  assert.equal(mesh.store.calls.get('POST /v1/kv-txn'), writes);
});

test('after a restart of the node, a late heartbeat of an earlier incarnation is refused', async () => {
  await second.kernel.stop();
  await second.restart();
  await waitUntil(async () => {
    const answer = await sendRequest(second.readiness, { path: '/v1/readiness' });
    return answer.status === 200;
  });
  assert.equal(await second.target.sendHeartbeat(second.registration, 'ready', { id: 'i-0' }), 409);
  assert.equal(await second.target.sendHeartbeat(second.registration), 200);
});

test('heartbeats with another service or an unknown id are refused', async () => {
  assert.equal(
    await second.target.sendHeartbeat(second.registration, 'ready', { service: 'x' }),
    409,
  );
  assert.equal(
    await second.target.sendHeartbeat(second.registration, 'ready', { id: 'i-forged' }),
    409,
  );
});

test('new rules are applied, older ones never again', async () => {
  mesh.putRules(2, [{ path: '/read/', service: 'ledger' }]);
  await mesh.sendUntil(caller, { path: '/write/gone' }, ({ status }) => status === 404);
  mesh.putRules(1, [{ path: '/write/', service: 'ledger' }]);
  mesh.putRules(3, [
    { path: '/read/', service: 'ledger' },
    { path: '/new/', service: 'ledger' },
  ]);
  await mesh.sendUntil(caller, { path: '/new/' }, ({ status }) => status !== 404);
  assert.equal((await mesh.send(caller, { path: '/write/' })).status, 404);
});
