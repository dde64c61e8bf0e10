/**
 * Sequences of calls to back ends: late and unsolicited answers, callers that go away, retries,
 * and a mixture of faults under load.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { createRandom } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import {
  BACKEND_DEADLINE_MS,
  startBackendContract,
  type BackendContract,
} from '../../test/support/contract-fleets.js';
import type { DataPathNode } from '../../test/support/data-path-node.js';
import { send } from '../../test/support/raw-http.js';
import {
  answerPlain,
  replyWith,
  type BackendScript,
  type ScriptedBackend,
} from '../../test/support/scripted-backend.js';

const OK = 'HTTP/1.1 200 OK\r\n';

let contract: BackendContract;
let backend: ScriptedBackend;
let near: DataPathNode;
let far: DataPathNode;

before(async () => {
  contract = await startBackendContract();
  ({ backend, near, far } = contract);
});

after(() => contract.stop());

test('a late answer after a timeout never reaches the next request', async () => {
  for (const { entryPort: port } of [near, far]) {
    let sendLate: () => void = () => undefined;
    backend.setScript((request) => {
      if (request.path !== '/late') answerPlain(request);
      else sendLate = () => replyWith(`${OK}Content-Length: 4\r\n\r\nlate`)(request);
    });
    const timedOut = await send({ port, path: '/late' });
    assert.equal(timedOut.headers['sillshore-result'], String(ResultCode.AnswerTimeout));
    sendLate();
    for (const path of ['/one', '/two', '/three']) {
      assert.equal((await send({ port, path })).body, path);
    }
  }
});

test('a second, unsolicited answer closes its connection and never reaches the next request', async () => {
  const twice = `${OK}Content-Length: 3\r\n\r\none${OK}Content-Length: 3\r\n\r\ntwo`;
  const later: BackendScript = ({ socket }) => {
    socket.write(`${OK}Content-Length: 3\r\n\r\none`);
    setTimeout(() => socket.write(`${OK}Content-Length: 3\r\n\r\ntwo`), 20);
  };
  for (const script of [replyWith(twice), later]) {
    let closed: Promise<unknown> = Promise.resolve();
    backend.setScript((request) => {
      closed = new Promise((resolve) => request.socket.once('close', resolve));
      script(request);
    });
    const first = await send({ port: near.entryPort, path: '/first' });
    assert.ok(first.body === 'one' || first.headers['sillshore-result'] !== undefined);
    await closed;
    backend.setScript(answerPlain);
    for (const path of ['/a', '/b', '/c']) {
      assert.equal((await send({ port: near.entryPort, path })).body, path);
    }
  }
});

test('when a caller goes away, its back-end call is closed and the slot is free again', async () => {
  for (const { entryPort: port } of [near, far]) {
    const aborts = [new AbortController(), new AbortController(), new AbortController()];
    const closed: Promise<unknown>[] = [];
    const started = new Promise<void>((resolve) => {
      backend.setScript(({ socket }) => {
        closed.push(new Promise((done) => socket.once('close', done)));
        if (closed.length === 2) resolve();
      });
    });
    const calls = aborts.map(({ signal }) => send({ port, path: '/gone', signal }));
    const ends = Promise.allSettled(calls);
    await started;
    for (const abort of aborts) abort.abort();
    await ends;
    await Promise.all(closed);
    backend.setScript(answerPlain);
    assert.equal((await send({ port, path: '/next' })).body, '/next');
  }
});

/** Faults for the random sequence; most requests are answered. */
const MIXED_FAULTS: readonly BackendScript[] = [
  ...new Array<BackendScript>(12).fill(answerPlain),
  (request) => setTimeout(() => answerPlain(request), 2 * BACKEND_DEADLINE_MS),
  (request) => setTimeout(() => answerPlain(request), 10),
  ({ socket }) => socket.resetAndDestroy(),
  replyWith(`${OK}Content-Length: 10\r\n\r\nhalf`, true),

  (request) => {
    answerPlain(request);
    request.socket.end();
  },
];

test('under mixed faults and load, each caller gets its own answer or a failure', async () => {
  const random = createRandom(11);
  backend.setScript((request) => MIXED_FAULTS[random.nextInt(MIXED_FAULTS.length)]?.(request));
  const answered = { own: 0, failed: 0 };
  const call = async (caller: number): Promise<void> => {
    for (let count = 0; count < 40; count += 1) {
      const path = `/mixed-${caller}-${count}`;
      const port = (count % 2 === 0 ? near : far).entryPort;
      const answer = await send({ port, path });
      const failed = answer.headers['sillshore-result'] !== undefined;
      if (!failed) assert.equal(answer.body, path);
      answered[failed ? 'failed' : 'own'] += 1;
    }
  };
  await Promise.all([1, 2, 3, 4].map(call));
  assert.ok(answered.own > 80 && answered.failed > 0, JSON.stringify(answered));
});

test('an idempotent request is retried within its attempts, and no further', async () => {
  for (const { entryPort: port } of [near, far]) {
    backend.setScript(({ socket }) => socket.resetAndDestroy());
    const before = backend.seen.length;
    const failed = await send({ port, path: '/retried/always' });
    assert.equal(failed.headers['sillshore-result'], String(ResultCode.AnswerIncomplete));
    assert.equal(backend.seen.length - before, 3);
    let first = true;
    backend.setScript((request) => {
      if (first) request.socket.resetAndDestroy();
      else answerPlain(request);
      first = false;
    });
    assert.equal((await send({ port, path: '/retried/once' })).body, '/retried/once');
  }
});

test('a request to a back end that cannot be reached was not run', async () => {
  await backend.close();
  const answer = await send({ port: near.entryPort, path: '/x' });
  assert.equal(answer.headers['sillshore-result'], String(ResultCode.TargetUnreachable));
  assert.equal(answer.headers['sillshore-execution'], 'not-run');
});
