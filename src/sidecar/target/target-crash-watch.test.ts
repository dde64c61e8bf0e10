import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { TargetCrashWatch } from './target-crash-watch.js';

let clock: ManualClock;
let refusing: boolean;
let running: boolean;
let crashes: (readonly string[])[];
let released: string[];
let watch: TargetCrashWatch;

beforeEach(() => {
  clock = new ManualClock();
  refusing = true;
  running = false;
  crashes = [];
  released = [];
  watch = new TargetCrashWatch({
    clock,
    refusesConnections: () => Promise.resolve(refusing),
    isRunningSince: () => running,
    onCrash: (requests) => crashes.push(requests.map(({ content }) => content)),
  });
});

/** Interrupts requests; resolves when it is known whether the target crashed. */
async function interrupt(...contents: string[]): Promise<void> {
  await Promise.all(
    contents.map(
      (content) =>
        new Promise<void>((resolve) => {
          watch.onInterrupted({ content, caller: 'c' }, () => {
            released.push(content);
            resolve();
          });
        }),
    ),
  );
}

/** Advances the clock in steps, and lets promises settle before each. */
async function pass(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(10);
  }
}

test('reports a crash before requests end when all are interrupted and new connections are refused', async () => {
  const interrupting = interrupt('a', 'b', 'a');
  assert.deepEqual(released, []);
  await interrupting;
  assert.deepEqual(crashes, [['a', 'b', 'a']]);
  assert.deepEqual(released, ['a', 'b', 'a']);
});

for (const [name, prepare] of [
  ['new connections are accepted', () => (refusing = false)],
  ['another request still runs', () => (running = true)],
] as const) {
  test(`no crash: ${name}`, async () => {
    prepare();
    const interrupting = interrupt('a');
    await pass(200);
    await interrupting;
    assert.deepEqual(crashes, []);
    assert.deepEqual(released, ['a']);
  });
}

test('a crash is reported when the last request is interrupted after the first refusal', async () => {
  running = true;
  const interrupting = interrupt('a');
  await pass(20);
  running = false;
  await pass(20);
  await interrupting;
  assert.deepEqual(crashes, [['a']]);
});

test('a crash is reported once', async () => {
  await interrupt('a');
  await interrupt('b');
  watch.onNewIncarnation();
  assert.deepEqual(crashes, [['a']]);
});

test('a new incarnation shows that earlier interruptions were a crash', async () => {
  refusing = false;
  await interrupt('a');
  clock.advance(9_000);
  watch.onNewIncarnation();
  assert.deepEqual(crashes, [['a']]);
});

test('interruptions long before a new incarnation are not attributed to a crash', async () => {
  refusing = false;
  await interrupt('a');
  clock.advance(11_000);
  watch.onNewIncarnation();
  assert.deepEqual(crashes, []);
});

test('an answer shows that earlier interruptions were no crash', async () => {
  refusing = false;
  await interrupt('a');
  watch.onAnswer();
  watch.onNewIncarnation();
  assert.deepEqual(crashes, []);
});

test('an abandoned request is suspect for a short time', async () => {
  watch.onAbandoned({ content: 'long ago', caller: 'c' });
  clock.advance(1_001);
  watch.onAbandoned({ content: 'just now', caller: 'c' });
  await interrupt('a');
  assert.deepEqual(crashes, [['a', 'just now']]);
});

test('a new incarnation alone makes no request suspect', () => {
  watch.onNewIncarnation();
  assert.deepEqual(crashes, []);
});
