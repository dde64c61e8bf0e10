/** Whole nodes over stand-ins: chains of calls, what is known of execution, cancellation. */
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
  await mesh.beatAll();
  for (const path of ['/upper/warm', '/lower/warm']) {
    await mesh.sendUntil(caller, { path }, ({ status }) => status === 200);
    await mesh.sendUntil(upper, { path }, ({ status }) => status === 200);
  }
});
after(() => mesh.stop());

test('requests behind one another on a connection are answered in order', async () => {
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

test('a body in chunks arrives whole', async () => {
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

test('a call of a target takes the importance of the request it is made for', async () => {
  const order: string[] = [];
  const holding: (() => void)[] = [];
  lower.target.behaviour = ({ attemptId }, response) => {
    order.push(attemptId);
    holding.push(() => response.writeHead(200, { 'X-Attempt-Id': attemptId }).end());
    return true;
  };
  let calls: Promise<unknown> = Promise.resolve();
  upper.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'head') return false;
    const nested = sendRequest(upper.entry, { path: '/lower/2', attemptId: 'head.nested' });
    calls = nested.then(({ status }) =>
      response.writeHead(status, { 'X-Attempt-Id': attemptId }).end(),
    );
    return true;
  };
  const first = mesh.send(caller, { path: '/lower/1', attemptId: 'first' });
  await waitUntil(() => holding.length === 1);
  const other = mesh.send(caller, { path: '/lower/1', attemptId: 'other' });
  const head = mesh.send(caller, { path: '/upper/1', attemptId: 'head' });
  // One runs at the lower target and two wait for it.
  await waitUntil(async () => {
    const { body } = await sendRequest(lower.metrics, { path: '/metrics' });
    return body.includes('sillshore_target_in_progress 3');
  });
  holding[0]!();
  await waitUntil(() => holding.length === 2);
  holding[1]!();
  await waitUntil(() => holding.length === 3 || order.length === 2);
  holding[2]?.();
  await Promise.all([first, head, calls]);
  await other;
  assert.deepEqual(order.slice(0, 2), ['first', 'head.nested']);
  lower.target.behaviour = () => false;
});

test('a repeatable request whose answer is lost is sent again', async () => {
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

test('a request that is not repeatable is sent once, and its loss is not called a refusal', async () => {
  lower.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'lost-write') return false;
    response.socket?.destroy();
    return true;
  };
  const request = { method: 'POST', path: '/write/1', attemptId: 'lost-write' };
  const answer = await mesh.send(caller, request);
  assert.equal(answer.status, 502);
  assert.equal(answer.headers['retry-after'], undefined);
  const got = lower.target.received.filter(({ attemptId }) => attemptId === 'lost-write');
  assert.equal(got.length, 1);
});

test('a request that no target got is refused as not run when its time is over', async () => {
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

test('when a caller goes away its request ends at the target', async () => {
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
