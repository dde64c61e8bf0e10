import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, systemClock } from './clock.js';

/** Schedules a timer that records its name and the time at which it fired. */
function scheduleRecording(
  clock: ManualClock,
  fired: string[],
  name: string,
  delayMs: number,
): () => void {
  return clock.schedule(delayMs, () => fired.push(`${name}@${clock.now()}`));
}

test('timers fire in order of time, then of creation, each at its own time', () => {
  const clock = new ManualClock();
  const fired: string[] = [];
  scheduleRecording(clock, fired, 'late', 30);
  scheduleRecording(clock, fired, 'first', 10);
  scheduleRecording(clock, fired, 'second', 10);
  scheduleRecording(clock, fired, 'now', 0);
  clock.advance(20);
  assert.deepEqual(fired, ['now@0', 'first@10', 'second@10']);
  assert.equal(clock.now(), 20);
  clock.advance(10);
  assert.deepEqual(fired.at(-1), 'late@30');
});

test('a timer that a timer schedules fires in the same advance when it expires in it', () => {
  const clock = new ManualClock();
  const fired: string[] = [];
  clock.schedule(5, () => {
    scheduleRecording(clock, fired, 'inner', 5);
    scheduleRecording(clock, fired, 'outside', 6);
  });
  clock.advance(10);
  assert.deepEqual(fired, ['inner@10']);
});

test('a cancelled timer does not fire; cancelling twice or late does nothing', () => {
  const clock = new ManualClock();
  const fired: string[] = [];
  const cancel = scheduleRecording(clock, fired, 'cancelled', 5);
  const late = scheduleRecording(clock, fired, 'fired', 5);
  cancel();
  cancel();
  clock.advance(5);
  late();
  assert.deepEqual(fired, ['fired@5']);
});

test('a negative delay counts as 0', () => {
  const clock = new ManualClock();
  const fired: string[] = [];
  clock.advance(7);
  scheduleRecording(clock, fired, 'past', -3);
  clock.advance(0);
  assert.deepEqual(fired, ['past@7']);
});

test('a delay that the runtime cannot hold does not fire at once', async () => {
  let fired = 0;
  const cancels = [2 ** 31, 1e15, Infinity].map((delayMs) =>
    systemClock.schedule(delayMs, () => (fired += 1)),
  );
  await new Promise((resolve) => setTimeout(resolve, 20));
  for (const cancel of cancels) cancel();
  assert.equal(fired, 0);
});
