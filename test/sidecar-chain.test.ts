/** Tests whole nodes against stand-ins: chains of calls, retries and refusals, cancellation. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { HOST } from '../platform/stand-ins/rules-document.js';
import { Mesh, sendRequest, waitUntil, type Machine } from './stand-ins/mesh.js';

const OPTIONS = { zone: 'z', workMs: 1 };

let mesh: Mesh;
let caller: Machine;
let upper: Machine;
let lower: Machine;

before(async () => {
  mesh = new Mesh();
  await mesh.start();
  mesh.putRules(1, [
    { path: '/upper/', service: 'upper', priority: 0 },
    { path: '/lower/', service: 'lower', priority: 3 },
    { path: '/write/', service: 'lower', kind: 'non_idempotent', timeoutMs: 400 },
  ]);
  caller = await mesh.add({ ...OPTIONS, service: 'front', slots: 4 });
  upper = await mesh.add({ ...OPTIONS, service: 'upper', slots: 8 });
  lower = await mesh.add({ ...OPTIONS, service: 'lower', slots: 1 });
  await mesh.sendHeartbeats();
  for (const path of ['/upper/warm', '/lower/warm']) {
    await mesh.sendUntil(caller, { path }, ({ status }) => status === 200);
    await mesh.sendUntil(upper, { path }, ({ status }) => status === 200);
  }
});
after(() => mesh.stop());

test('pipelined requests on a connection are answered in order', async () => {
  const [host = '', port = ''] = caller.entry.split(':');
  const socket = connect(Number(port), host);
  const requests = ['p1', 'p2', 'p3'].map(
    (id) => `GET /lower/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\n\r\n`,
  );
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  socket.write(requests.join(''));
  await waitUntil(() => text.includes('answer to p3'));
  socket.destroy();
  const order = [...text.matchAll(/answer to (p\d)/g)].map((match) => match[1]);
  assert.deepEqual(order, ['p1', 'p2', 'p3']);
});

test('a chunked body arrives whole', async () => {
  const [host = '', port = ''] = caller.entry.split(':');
  const socket = connect(Number(port), host);
  const head = `POST /lower/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: chunked\r\n`;
  socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`);
  socket.write('2\r\nde\r\n0\r\n\r\n');
  const find = () => lower.target.received.find(({ attemptId }) => attemptId === 'chunked');
  await waitUntil(() => find() !== undefined);
  socket.destroy();
  assert.equal(find()?.body, 'abcde');
});

test('a call of a target has the priority of the request it is made for', async () => {
  const order: string[] = [];
  const pendingAnswers: (() => void)[] = [];
  lower.target.behaviour = ({ attemptId }, response) => {
    order.push(attemptId);
    pendingAnswers.push(() => response.writeHead(200, { 'X-Attempt-Id': attemptId }).end());
    return true;
  };
  let nestedCall: Promise<unknown> = Promise.resolve();
  upper.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'head') return false;
    const nested = sendRequest(upper.entry, { path: '/lower/2', attemptId: 'head.nested' });
    nestedCall = nested.then(({ status }) =>
      response.writeHead(status, { 'X-Attempt-Id': attemptId }).end(),
    );
    return true;
  };
  const first = mesh.send(caller, { path: '/lower/1', attemptId: 'first' });
  await waitUntil(() => pendingAnswers.length === 1);
  const other = mesh.send(caller, { path: '/lower/1', attemptId: 'other' });
  const root = mesh.send(caller, { path: '/upper/1', attemptId: 'head' });
  // One runs at the lower target and two wait for it.
  await waitUntil(async () => {
    const { body } = await sendRequest(lower.metrics, { path: '/metrics' });
    return body.includes('sillshore_target_in_progress 3');
  });
  pendingAnswers[0]!();
  await waitUntil(() => pendingAnswers.length === 2);
  pendingAnswers[1]!();
  await waitUntil(() => pendingAnswers.length === 3 || order.length === 2);
  pendingAnswers[2]?.();
  await Promise.all([first, root, nestedCall]);
  await other;
  assert.deepEqual(order.slice(0, 2), ['first', 'head.nested']);
  lower.target.behaviour = () => false;
});

test('an idempotent request whose answer is lost is retried', async () => {
  let lost = 0;
  lower.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'lost-answer' || lost > 0) return false;
    lost += 1;
    response.socket?.destroy();
    return true;
  };
  const answer = await mesh.send(caller, { path: '/lower/1', attemptId: 'lost-answer' });
  assert.equal(answer.status, 200);
  assert.equal(lost, 1);
});

test('a non-idempotent request is sent once, and a lost answer is not reported as a refusal', async () => {
  lower.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'lost-write') return false;
    response.socket?.destroy();
    return true;
  };
  const request = { method: 'POST', path: '/write/1', attemptId: 'lost-write' };
  const answer = await mesh.send(caller, request);
  assert.equal(answer.status, 502);
  assert.equal(answer.headers['retry-after'], undefined);
  const receivedRequests = lower.target.received.filter(
    ({ attemptId }) => attemptId === 'lost-write',
  );
  assert.equal(receivedRequests.length, 1);
});

test('a request that no target received by its deadline is refused as not run', async () => {
  lower.target.behaviour = ({ attemptId }) => attemptId === 'holder';
  const holder = mesh.send(caller, { path: '/lower/1', attemptId: 'holder', deadlineMs: 2_000 });
  await waitUntil(() => lower.target.received.some(({ attemptId }) => attemptId === 'holder'));
  const request = { method: 'POST', path: '/write/1', attemptId: 'waits', deadlineMs: 200 };
  const answer = await mesh.send(caller, request);
  assert.equal(answer.status, 503);
  assert.equal(answer.headers['sillshore-execution'], 'not-run');
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal((await holder).status, 504);
  assert.ok(!lower.target.received.some(({ attemptId }) => attemptId === 'waits'));
  lower.target.behaviour = () => false;
});

test("a caller's disconnect cancels its request at the target", async () => {
  lower.target.behaviour = ({ attemptId }) => attemptId === 'abandoned';
  const [host = '', port = ''] = caller.entry.split(':');
  const socket = connect(Number(port), host);
  const head = `GET /lower/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: abandoned\r\n\r\n`;
  socket.write(head);
  await waitUntil(() => lower.target.received.some(({ attemptId }) => attemptId === 'abandoned'));
  const before = lower.target.cancelled;
  socket.destroy();
  await waitUntil(() => lower.target.cancelled === before + 1);
  lower.target.behaviour = () => false;
});
