/** Tests whole nodes against a target that refuses a request, says so twice, and runs what is sent again. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { ResultCode } from '../src/core/result-code.js';
import { Mesh, type Machine } from './stand-ins/mesh.js';

const WORK_MS = 120;

let mesh: Mesh;
let target: Machine;
let entry: Machine;
/** Attempts that the target refused once, with the connections of both sendings. */
let sendings: Map<string, Socket[]>;
/** Attempts that ran. */
let runs: string[];

beforeEach(async () => {
  sendings = new Map();
  runs = [];
  mesh = new Mesh();
  await mesh.start();
  mesh.putRules(1, [
    { path: '/log/', service: 'ledger', kind: 'non_idempotent' },
    { path: '/read/', service: 'ledger' },
    { path: '/own/', service: 'guide' },
  ]);
  const options = { zone: 'z', slots: 8, workMs: 1 };
  target = await mesh.add({ ...options, service: 'ledger' });
  entry = await mesh.add({ ...options, service: 'guide' });
  await mesh.sendHeartbeats();
  await mesh.sendUntil(entry, { path: '/log/warm' }, ({ status }) => status === 200);
});
afterEach(() => mesh.stop());

/** Refuses each attempt when it arrives first, sends the refusal again after a delay, and runs what comes again. */
function refuseTwice(status: number, surplusMs: number, also: readonly string[] = []): void {
  target.target.behaviour = ({ attemptId, path }, response) => {
    if (path !== '/log/write') return false;
    const { socket } = response;
    assert.ok(socket !== null);
    socket.setNoDelay(true);
    const sent = sendings.get(attemptId) ?? [];
    sendings.set(attemptId, [...sent, socket]);
    if (sent.length > 0) {
      runs.push(attemptId);
      setTimeout(() => {
        response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Server-Stamp': 's' }).end('done');
      }, WORK_MS);
      return true;
    }
    const fields = { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', 'Content-Length': '4' };
    response.writeHead(status, fields).end('full');
    const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    const surplus = `HTTP/1.1 ${status} Full\r\n${head.join('')}\r\nfull`;
    setTimeout(() => socket.write(surplus), surplusMs);
    for (const bytes of also) setTimeout(() => socket.write(bytes), surplusMs + 1);
    return true;
  };
}

for (const status of [503, 429, 421, 400]) {
  for (const surplusMs of [0, 5, 30, 80]) {
    test(`a refusal ${status} that comes again after ${surplusMs} ms is not that of the request sent again`, async () => {
      refuseTwice(status, surplusMs);
      const answers = [];
      for (let count = 0; count < 3; count += 1) {
        const request = { method: 'POST', path: '/log/write', body: 'x' };
        answers.push(await mesh.send(entry, request));
      }
      await sleep(WORK_MS);
      assert.deepEqual(
        answers.map((answer) => [answer.status, answer.body]),
        [1, 2, 3].map(() => [200, 'done']),
      );
      assert.equal(new Set(runs).size, 3);
      assert.equal(runs.length, 3, 'each attempt runs once');
      for (const [first, second] of sendings.values()) assert.notEqual(first, second);
    });
  }
}

test('a request that runs is never answered as not run, whatever follows a refusal', async () => {
  for (const also of ['HTTP/1.1 ', 'HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n', '\r\n', '\0']) {
    refuseTwice(503, 20, [also]);
    const answer = await mesh.send(entry, { method: 'POST', path: '/log/write', body: 'x' });
    const isRefused = [408, 421, 429, 503].includes(answer.status);
    assert.equal(isRefused, false, `${answer.status} ${answer.body}`);
    if (answer.status !== 200) {
      assert.equal(answer.headers['sillshore-result'], String(ResultCode.AnswerIncomplete));
    }
  }
});

for (const status of [408, 429, 503]) {
  test(`a target's ${status} after a run is no promise that the request has not run`, async () => {
    target.target.behaviour = ({ attemptId }, response) => {
      response.writeHead(status, { 'X-Attempt-Id': attemptId, 'X-Server-Stamp': 's' }).end('ran');
      return true;
    };
    const request = { path: '/log/write', body: 'x' };
    const write = await mesh.send(entry, { ...request, method: 'POST' });
    assert.deepEqual([write.status, write.headers['sillshore-execution']], [502, 'unknown']);
    assert.equal(write.headers['x-server-stamp'], undefined);
    const read = await mesh.send(entry, { path: '/read/1' });
    assert.deepEqual(
      [read.status, read.headers['x-server-stamp'], read.body],
      [status, 's', 'ran'],
    );
  });
}
