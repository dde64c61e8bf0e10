/** Tests whole nodes against stand-ins: outages and data loss of the store, stops and restarts. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { TARGET_ACCEPT_TIME_MS } from '../src/sidecar/entry/planned-stop.js';
import { findFreePorts } from '../src/trials/free-ports.js';
import { Mesh, sendRequest, waitUntil, type CallerAnswer, type Machine } from './stand-ins/mesh.js';

const OPTIONS = { zone: 'z', slots: 4, workMs: 1 };
const READ = { path: '/read/1' };

let mesh: Mesh;
let caller: Machine;
let first: Machine;
let second: Machine;

function isServed({ status }: CallerAnswer): boolean {
  return status === 200;
}

before(async () => {
  mesh = new Mesh();
  await mesh.start();
  mesh.putRules(1, [{ path: '/read/', service: 'ledger' }]);
  caller = await mesh.add({ ...OPTIONS, service: 'guide' });
  first = await mesh.add({ ...OPTIONS, service: 'ledger' });
  second = await mesh.add({ ...OPTIONS, service: 'ledger' });
  await mesh.sendHeartbeats();
  await mesh.sendUntil(caller, READ, isServed);
});
after(() => mesh.stop());

test('requests are served while the store is unavailable', async () => {
  mesh.store.faults.refuseWith = 503;
  for (let count = 0; count < 10; count += 1) {
    assert.equal((await mesh.send(caller, READ)).status, 200);
  }
  mesh.store.faults.refuseWith = 0;
});

test('nodes whose leases have expired keep serving, and write their records again', async () => {
  mesh.store.expireAllLeases();
  for (let count = 0; count < 10; count += 1) {
    assert.equal((await mesh.send(caller, READ)).status, 200);
  }
});

/** Twice the guaranteed 2 s, for a busy machine; lease renewals come only every 20 s. */
const RECORDS_BACK_MS = 4_000;

async function waitForRecords(): Promise<number> {
  const startedAt = performance.now();
  await waitUntil(() => mesh.store.keys('sillshore/nodes/').length === mesh.machines.length);
  return performance.now() - startedAt;
}

test('records that expired while the store was unavailable are written again soon after its return', async () => {
  mesh.store.faults.refuseWith = 503;
  mesh.store.expireAllLeases();
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  assert.deepEqual(mesh.store.keys('sillshore/nodes/'), []);
  mesh.store.faults.refuseWith = 0;
  const tookMs = await waitForRecords();
  assert.ok(tookMs < RECORDS_BACK_MS, `${Math.round(tookMs)} ms`);
});

test('records that are removed while the store is available are written again soon', async () => {
  mesh.store.expireAllLeases();
  const tookMs = await waitForRecords();
  assert.ok(tookMs < RECORDS_BACK_MS, `${Math.round(tookMs)} ms`);
  for (let count = 0; count < 10; count += 1) {
    assert.equal((await mesh.send(caller, READ)).status, 200);
  }
});

test('a record that a late write of an earlier process has replaced is written again', async () => {
  const key = `sillshore/nodes/${second.id}`;
  const right = mesh.store.get(key)!;
  const nobody = `127.0.0.1:${(await findFreePorts(1))[0]}`;
  mesh.store.put(key, JSON.stringify({ ...(JSON.parse(right) as object), address: nobody }));
  await waitUntil(() => mesh.store.get(key) === right);
  assert.notEqual(mesh.store.leaseOf(key), 0);
});

test('rules are found when the history of their write is lost', async () => {
  mesh.putRules(4, [
    { path: '/read/', service: 'ledger' },
    { path: '/compacted/', service: 'ledger' },
  ]);
  mesh.store.compact();
  await mesh.sendUntil(caller, { path: '/compacted/' }, isServed);
});

test('a node that starts while the store is unavailable gets the rules from its peers', async () => {
  mesh.store.faults.refuseWith = 503;
  await first.kernel.stop();
  await first.restart();
  const hasRules = async (): Promise<boolean> => {
    const answer = await sendRequest(first.entry, { path: '/none/', attemptId: 'x' });
    return answer.status === 404;
  };
  await waitUntil(async () => {
    await mesh.send(caller, READ);
    return await hasRules();
  });
  const readiness = await sendRequest(first.readiness, { path: '/v1/readiness' });
  assert.equal(readiness.status, 503);
  mesh.store.faults.refuseWith = 0;
  await waitUntil(async () => {
    const answer = await sendRequest(first.readiness, { path: '/v1/readiness' });
    return answer.status === 200;
  });
  assert.equal(await first.target.sendHeartbeat(first.registration), 200);
});

test('a write whose answer was lost is detected, and the leave acknowledged', async () => {
  mesh.store.faults.loseWriteAnswers = true;
  assert.equal(await second.target.sendHeartbeat(second.registration, 'draining'), 503);
  mesh.store.faults.loseWriteAnswers = false;
  await waitUntil(
    async () => (await second.target.sendHeartbeat(second.registration, 'draining')) === 200,
  );
});

test('a stopping node serves new requests, soon sends its target none of them, and stops', async () => {
  second.target.restart('i-2');
  await waitUntil(async () => (await second.target.sendHeartbeat(second.registration)) === 200);
  first.target.behaviour = ({ attemptId }, response) => {
    if (!attemptId.startsWith('slow')) return false;
    setTimeout(() => response.writeHead(200, { 'X-Attempt-Id': attemptId }).end('done'), 300);
    return true;
  };
  // One at a time: a second one on its way to the target would count as new below.
  const slow: Promise<CallerAnswer>[] = [];
  const hasReceived = ({ target }: Machine, wanted: string): boolean =>
    target.received.some(({ attemptId }) => attemptId === wanted);
  for (let isAtFirst = false; !isAtFirst;) {
    const attemptId = `slow-${slow.length}`;
    slow.push(mesh.send(first, { ...READ, attemptId }));
    await waitUntil(() => hasReceived(first, attemptId) || hasReceived(second, attemptId));
    isAtFirst = hasReceived(first, attemptId);
  }
  const stopped = first.kernel.drainAndStop();
  const readiness = await sendRequest(first.readiness, { path: '/v1/readiness' });
  assert.equal(readiness.status, 503);
  const during = await mesh.send(first, READ);
  assert.equal(during.headers.connection, 'close');
  assert.equal(during.status, 200);
  for (const { status } of await Promise.all(slow)) assert.equal(status, 200);
  // After this time the target gets no new requests, though the node still accepts requests.
  await delay(TARGET_ACCEPT_TIME_MS + 100);
  const before = first.target.receivedCount;
  for (let count = 0; count < 8; count += 1) {
    assert.equal((await mesh.send(first, READ)).status, 200);
  }
  assert.equal(first.target.receivedCount, before);
  assert.equal(await stopped, true);
});
