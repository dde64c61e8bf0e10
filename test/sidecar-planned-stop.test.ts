/**
 * Planned stops of a node in its own process, with callers that use their connections until the
 * process has exited.
 *
 * Guards against requests that a target runs although their caller gets no answer. After SIGTERM the
 * node sent `Connection: close`, waited, closed idle connections and exited. It treated the close of a
 * connection as a moment, not as a state: between the last check and the close, requests were still
 * read and forwarded, and their answers were discarded. Each test names the log lines that showed it.
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, test } from 'node:test';
import { waitUntil } from './stand-ins/mesh.js';
import { ProcessMesh, type ProcessMachine } from './support/process-mesh.js';
import { RawCaller, type CallerRecord } from './support/raw-caller.js';

/** More than the socket buffers of both ends hold. */
const LARGE_ANSWER_BYTES = 24 * 1024 * 1024;

let mesh: ProcessMesh;
/** The node that is stopped; callers are connected to it. */
let stopping: ProcessMachine;
/** The node whose target runs the requests. */
let other: ProcessMachine;
let callers: RawCaller[];

beforeEach(() => startMesh());

async function startMesh(gracePeriodMs = 6_000): Promise<void> {
  mesh = new ProcessMesh({ gracePeriodMs });
  await mesh.start();
  mesh.putRules(1, [
    { path: '/read/', service: 'ledger' },
    { path: '/write/', service: 'ledger', kind: 'non_idempotent' },
  ]);
  stopping = await mesh.add({ service: 'front', zone: 'z', slots: 8, workMs: 1 });
  other = await mesh.add({ service: 'ledger', zone: 'z', slots: 8, workMs: 1 });
  await mesh.waitUntilServing(['/read/warm']);
  callers = [];
}

afterEach(async () => {
  for (const caller of callers) caller.close();
  await mesh.stop();
});

function connectCaller(): RawCaller {
  const caller = new RawCaller(stopping.entry);
  callers.push(caller);
  return caller;
}

/** Makes the other node's target answer paths that end in `/late` after this time. */
function answerLater(workMs: number, body = 'late'): void {
  other.target.behaviour = ({ attemptId, path }, response) => {
    if (!path.endsWith('/late')) return false;
    setTimeout(() => {
      response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Server-Stamp': 's' }).end(body);
    }, workMs);
    return true;
  };
}

function wasRun({ attemptId }: CallerRecord): boolean {
  return other.target.received.some((request) => request.attemptId === attemptId);
}

/** Evidence: event 412 (read after the node's close), then 410 with `endedBy` node or caller. */
test('a request that crosses the close of its connection is never run', async () => {
  answerLater(4_000);
  const running = connectCaller().send({ attemptId: 'running', path: '/write/late' });
  const caller = connectCaller();
  await caller.send({ attemptId: 'before', path: '/write/1' });
  stopping.process.signal('SIGTERM');
  await caller.otherSideEnded;
  const record = await caller.send({ attemptId: 'crossing', path: '/write/2', method: 'POST' });
  assert.equal(record.outcome.type, 'closed');
  assert.equal((await running).outcome.type, 'answered');
  assert.equal(wasRun(record), false, await stopping.findRelevantLines('crossing'));
});

/** Evidence: event 109 with reason time-limit and requests left, then 410 with `endedBy` node. */
test('a request that cannot finish before the stop does is refused and not cut', async () => {
  answerLater(4_000);
  const running = connectCaller().send({ attemptId: 'running', path: '/write/late' });
  await waitUntil(() => other.target.received.some(({ attemptId }) => attemptId === 'running'));
  stopping.process.signal('SIGTERM');
  await sleep(3_600);
  const late = await connectCaller().send({ attemptId: 'late', path: '/write/late' });
  assert.equal(late.outcome.type, 'answered', await stopping.findRelevantLines('late'));
  assert.equal(late.outcome.status, 503);
  assert.equal(wasRun(late), false);
  const { outcome } = await running;
  assert.equal(outcome.type, 'answered');
  assert.equal(outcome.status, 200);
});

/** Evidence: event 109 with reason idle and a connection left, then 411 with `endedBy` node. */
test('an answer that a slow caller is still reading is not cut', async () => {
  answerLater(10, 'x'.repeat(LARGE_ANSWER_BYTES));
  const caller = connectCaller();
  const answer = caller.send({ attemptId: 'large', path: '/read/late' });
  caller.pause();
  await waitUntil(() => other.target.received.some(({ attemptId }) => attemptId === 'large'));
  stopping.process.signal('SIGTERM');
  await sleep(3_500);
  caller.resume();
  const { outcome } = await answer;
  assert.equal(outcome.type, 'answered', await stopping.findRelevantLines('large'));
  assert.equal(outcome.body.length, LARGE_ANSWER_BYTES);
});

/** Evidence: event 108, and 410 with `endedBy` node right after it. */
test('repeated stop signals with reloads between them do not shorten a planned stop', async () => {
  answerLater(2_000);
  const running = connectCaller().send({ attemptId: 'running', path: '/write/late' });
  await waitUntil(() => other.target.received.some(({ attemptId }) => attemptId === 'running'));
  for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGTERM', 'SIGHUP'] as const) {
    stopping.process.signal(signal);
    await sleep(150);
  }
  const { outcome } = await running;
  assert.equal(outcome.type, 'answered', await stopping.findRelevantLines('running'));
  assert.equal(outcome.status, 200);
  assert.deepEqual(await stopping.process.ended, { code: 0, signal: null });
});

for (const [gracePeriodMs, workMs] of [
  [3_000, 2_350],
  [6_000, 4_850],
] as const) {
  test(`a request that ends before the last sixth of a grace of ${gracePeriodMs} ms is not cut`, async () => {
    await mesh.stop();
    await startMesh(gracePeriodMs);
    answerLater(workMs);
    const sent = ['GET /read/late', 'POST /write/late'].map((line, index) => {
      const [method, path] = line.split(' ') as [string, string];
      return connectCaller().send({ attemptId: `running-${index}`, method, path });
    });
    const isRunning = (id: string): boolean =>
      other.target.received.some(({ attemptId }) => attemptId === id);
    await waitUntil(() => isRunning('running-0') && isRunning('running-1'));
    stopping.process.signal('SIGTERM');
    for (const { outcome } of await Promise.all(sent)) {
      assert.equal(outcome.type, 'answered');
      assert.equal(outcome.status, 200);
    }
    assert.deepEqual(await stopping.process.ended, { code: 0, signal: null });
  });
}

for (const gracePeriodMs of [3_000, 6_000]) {
  test(`requests sent until the end of a grace of ${gracePeriodMs} ms are served or not run`, async () => {
    await mesh.stop();
    await startMesh(gracePeriodMs);
    answerLater(1_000);
    const sent: Promise<CallerRecord>[] = [];
    stopping.process.signal('SIGTERM');
    for (let index = 0; stopping.isRunning; index += 1) {
      const request = { attemptId: `late-${index}`, path: '/write/late', method: 'POST' };
      sent.push(connectCaller().send(request));
      await sleep(100);
    }
    assert.ok(sent.length > 10, `${sent.length} requests`);
    for (const record of await Promise.all(sent)) {
      const { outcome, attemptId } = record;
      const expected = wasRun(record) ? 200 : 503;
      if (outcome.type === 'answered') assert.equal(outcome.status, expected, attemptId);
      else assert.equal(wasRun(record), false, attemptId);
    }
  });
}
