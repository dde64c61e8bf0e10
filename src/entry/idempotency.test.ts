/** Requests with an Idempotency-Key: one effect, one answer, one bound on attempts. */
import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { startEntryContract, type EntryContract } from '../../test/support/contract-fleets.js';
import type { DataPathNode } from '../../test/support/data-path-node.js';
import { send } from '../../test/support/raw-http.js';
import { answerPlain, type ScriptedBackend } from '../../test/support/scripted-backend.js';

const UUID_V7 = '018f0000-0000-7000-8000-000000000001';
/** Attempt bound of the kind of `/promises` in the contract's rules. */
const PROMISE_ATTEMPTS = 2;

let contract: EntryContract;
let backend: ScriptedBackend;
let node: DataPathNode;

before(async () => {
  contract = await startEntryContract();
  ({ backend, node } = contract);
});

beforeEach(() => {
  backend.setScript(answerPlain);
});

after(() => contract.stop());

const KEY_CASES = [
  {
    name: 'answered',
    key: `${UUID_V7.slice(0, -1)}2`,
    script: answerPlain,
    status: 200,
    replays: true,
  },
  {
    name: 'reset after it was sent',
    key: `${UUID_V7.slice(0, -1)}3`,
    script: ({ socket }: { socket: { resetAndDestroy(): unknown } }) => {
      socket.resetAndDestroy();
    },
    status: 502,
    replays: false,
  },
];

for (const { name, key, script, status, replays } of KEY_CASES) {
  test(`a non-idempotent request takes effect once: ${name}`, async () => {
    backend.setScript(script);
    const seenBefore = backend.seen.length;
    const request = {
      port: node.entryPort,
      method: 'POST',
      path: '/promises/1',
      headers: { 'Idempotency-Key': `"${key}"` },
    };
    assert.equal((await send(request)).status, status);
    const retry = await send(request);
    assert.equal(retry.headers['sillshore-replayed'], replays ? 'true' : undefined);
    const code = replays ? undefined : String(ResultCode.OutcomeUnknown);
    assert.equal(retry.headers['sillshore-result'], code);
    assert.equal(backend.seen.length - seenBefore, 1);
    const other = await send({ ...request, body: 'another body' });
    assert.equal(other.headers['sillshore-result'], String(ResultCode.IdempotencyKeyReused));
  });
}

test('a non-idempotent request refused by the back end itself is retried under its claim', async () => {
  let refusals = 1;
  backend.setScript((request) => {
    refusals -= 1;
    if (refusals < 0) answerPlain(request);
    else
      request.socket.write(
        'HTTP/1.1 503 No\r\nBackend-State: overloaded\r\nContent-Length: 0\r\n\r\n',
      );
  });
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -1)}4` };
  const path = '/promises/2';
  const answer = await send({ port: node.entryPort, method: 'POST', path, headers });
  assert.deepEqual([answer.status, answer.body], [200, path]);
});

test('a caller that goes away gets the answer of its non-idempotent request by a retry', async () => {
  const abort = new AbortController();
  let answerNow: () => void = () => undefined;
  const arrived = new Promise<void>((resolve) => {
    backend.setScript((request) => {
      answerNow = () => {
        answerPlain(request);
      };
      resolve();
    });
  });
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -1)}7` };
  const request = { port: node.entryPort, method: 'POST', path: '/promises/4', headers };
  const gone = send({ ...request, signal: abort.signal });
  await arrived;
  abort.abort();
  await assert.rejects(gone);
  const early = await send(request);
  assert.equal(early.headers['sillshore-result'], String(ResultCode.RequestInProgress));
  answerNow();
  let retry = await send(request);
  while (retry.status === 409) retry = await send(request);
  assert.deepEqual([retry.body, retry.headers['sillshore-replayed']], ['/promises/4', 'true']);
});

test('no dispatch after the time limit of the claim', async () => {
  contract.fleet.claims.notAfterMs = -1;
  const seenBefore = backend.seen.length;
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -1)}5` };
  const path = '/promises/3';
  const answer = await send({ port: node.entryPort, method: 'POST', path, headers });
  contract.fleet.claims.notAfterMs = 5_000;
  assert.equal(answer.headers['sillshore-execution'], 'not-run');
  assert.equal(backend.seen.length, seenBefore);
});

/** Guards against retries that are refused for good because earlier refusals used up the attempts. */
test('a non-idempotent request that was not run keeps its attempts for a retry', async () => {
  contract.fleet.claims.notAfterMs = -1;
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -2)}11` };
  const request = { port: node.entryPort, method: 'POST', path: '/promises/5', headers };
  for (let count = 0; count < PROMISE_ATTEMPTS; count += 1) {
    assert.equal((await send(request)).headers['sillshore-execution'], 'not-run');
  }
  contract.fleet.claims.notAfterMs = 5_000;
  const answer = await send(request);
  assert.deepEqual([answer.status, answer.headers['sillshore-result']], [200, undefined]);
});

test('retries of one idempotent request share its attempts', async () => {
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -1)}6` };
  const seenBefore = backend.seen.length;
  const codes: unknown[] = [];
  for (let count = 0; count < 4; count += 1) {
    const answer = await send({ port: node.entryPort, path: '/steps/key', headers });
    codes.push(answer.headers['sillshore-result']);
  }
  const exhausted = String(ResultCode.AttemptsExhausted);
  assert.deepEqual(codes, [undefined, undefined, exhausted, exhausted]);
  assert.equal(backend.seen.length - seenBefore, 2);
});

test('retries of a non-idempotent request that back ends refuse share its attempts', async () => {
  backend.setScript((request) => {
    request.socket.write(
      'HTTP/1.1 503 No\r\nBackend-State: overloaded\r\nContent-Length: 0\r\n\r\n',
    );
  });
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -1)}9` };
  const seenBefore = backend.seen.length;
  let last: unknown;
  for (let count = 0; count < 6; count += 1) {
    const path = '/promises/shed';
    const answer = await send({ port: node.entryPort, method: 'POST', path, headers });
    assert.equal(answer.headers['sillshore-execution'], 'not-run');
    last = answer.headers['sillshore-result'];
  }
  assert.equal(last, String(ResultCode.AttemptsExhausted));
  assert.equal(backend.seen.length - seenBefore, PROMISE_ATTEMPTS);
  backend.setScript(answerPlain);
});

test('a refusal uses none of the attempts that retries share', async () => {
  const headers = { 'Idempotency-Key': `${UUID_V7.slice(0, -1)}8` };
  const path = '/steps/refused';
  backend.setScript(() => undefined);
  const busy = Array.from({ length: 4 }, () => send({ port: node.entryPort, path: '/steps/busy' }));
  await new Promise((resolve) => setTimeout(resolve, 50));
  const short = { ...headers, 'Sillshore-Timeout': '20' };
  const retries = Array.from({ length: 4 }, () =>
    send({ port: node.entryPort, path, headers: short }),
  );
  const codes = [ResultCode.DeadlineExceeded, ResultCode.AttemptsExhausted].map(String);
  for (const refused of await Promise.all(retries)) {
    assert.equal(refused.headers['sillshore-execution'], 'not-run');
    assert.ok(codes.includes(String(refused.headers['sillshore-result'])));
  }
  await Promise.all(busy);
  backend.setScript(answerPlain);
  assert.equal((await send({ port: node.entryPort, path, headers })).body, path);
});
