import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { TargetEndWatch } from './target-end-watch.js';

let clock: ManualClock;
let refusing: boolean;
let running: boolean;
let ends: (readonly string[])[];
let released: string[];
let watch: TargetEndWatch;

beforeEach(() => {
  clock = new ManualClock();
  refusing = true;
  running = false;
  ends = [];
  released = [];
  watch = new TargetEndWatch({
    clock,
    isRefusing: () => Promise.resolve(refusing),
    isRunningSince: () => running,
    onEnd: (requests) => ends.push(requests.map(({ content }) => content)),
  });
});

/** Cuts requests off; resolves when it is known what that was. */
async function cut(...contents: string[]): Promise<void> {
  await Promise.all(
    contents.map(
      (content) =>
        new Promise<void>((resolve) => {
          watch.onCut({ content, caller: 'c' }, () => {
            released.push(content);
            resolve();
          });
        }),
    ),
  );
}

/** Lets time pass, in steps in which promises settle. */
async function pass(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(10);
  }
}

test('all cut off and new connections refused: an end, told before the requests end', async () => {
  const cutting = cut('a', 'b', 'a');
  assert.deepEqual(released, []);
  await cutting;
  assert.deepEqual(ends, [['a', 'b', 'a']]);
  assert.deepEqual(released, ['a', 'b', 'a']);
});

for (const [name, prepare] of [
  ['new connections are taken', () => (refusing = false)],
  ['another request still runs', () => (running = true)],
] as const) {
  test(`no end: ${name}`, async () => {
    prepare();
    const cutting = cut('a');
    await pass(200);
    await cutting;
    assert.deepEqual(ends, []);
    assert.deepEqual(released, ['a']);
  });
}

test('an end is told when the last request is cut off after the first refusal', async () => {
  running = true;
  const cutting = cut('a');
  await pass(20);
  running = false;
  await pass(20);
  await cutting;
  assert.deepEqual(ends, [['a']]);
});

test('an end is told once', async () => {
  await cut('a');
  await cut('b');
  watch.onNewLife();
  assert.deepEqual(ends, [['a']]);
});

test('another life explains what was cut off while connections were taken', async () => {
  refusing = false;
  await cut('a');
  clock.advance(9_000);
  watch.onNewLife();
  assert.deepEqual(ends, [['a']]);
});

test('another life explains nothing that was cut off long before', async () => {
  refusing = false;
  await cut('a');
  clock.advance(11_000);
  watch.onNewLife();
  assert.deepEqual(ends, []);
});

test('an answer shows that what was cut off before was no end', async () => {
  refusing = false;
  await cut('a');
  watch.onAnswer();
  watch.onNewLife();
  assert.deepEqual(ends, []);
});

test('a run that nobody waits for any more is suspect for a short time', async () => {
  watch.onAbandoned({ content: 'long ago', caller: 'c' });
  clock.advance(1_001);
  watch.onAbandoned({ content: 'just now', caller: 'c' });
  await cut('a');
  assert.deepEqual(ends, [['a', 'just now']]);
});

test('another life alone accuses nobody', () => {
  watch.onNewLife();
  assert.deepEqual(ends, []);
});
