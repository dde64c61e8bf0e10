/** The back-off under a manual clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../kernel/clock.js';
import { StoreBackoff } from './store-backoff.js';

/** Never shortens a pause. */
const NO_JITTER = { next: () => 0, nextInt: () => 0 };
const OUTAGE_MS = 9_000;

/** Lets promises that are ready continue. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

/** A caller that calls the store until it is answered, as a watch does. */
async function callUntilAnswered(
  backoff: StoreBackoff,
  isUp: () => boolean,
  onCall: () => void,
): Promise<void> {
  for (;;) {
    await backoff.waitForTurn();
    onCall();
    if (isUp()) {
      backoff.noteAnswered();
      return;
    }
    backoff.noteFailed();
  }
}

async function advance(clock: ManualClock, totalMs: number): Promise<void> {
  for (let passed = 0; passed < totalMs; passed += 10) {
    clock.advance(10);
    await settle();
  }
}

test('no caller waits while the store answers', async () => {
  const backoff = new StoreBackoff(new ManualClock(), NO_JITTER);
  await backoff.waitForTurn();
  backoff.noteAnswered();
  await backoff.waitForTurn();
});

test('two callers together call no more often than one during an outage', async () => {
  const clock = new ManualClock();
  const backoff = new StoreBackoff(clock, NO_JITTER);
  backoff.noteAnswered();
  let callsMade = 0;
  let up = false;
  const callers = [1, 2].map(() =>
    callUntilAnswered(
      backoff,
      () => up,
      () => (callsMade += 1),
    ),
  );
  await advance(clock, OUTAGE_MS);
  // Two first calls, pauses of 50 to 800 ms, then one call a second. Two separate back-offs with pauses of
  // up to 500 ms would make 40 calls.
  assert.ok(callsMade <= 16, `${callsMade} calls`);
  assert.ok(callsMade >= 12, `${callsMade} calls`);
  up = true;
  const before = callsMade;
  await advance(clock, 1_010);
  await Promise.all(callers);
  assert.equal(callsMade - before, 2, 'the next caller in turn, and the other one at once');
});

test('the pause stays short before the first answer, since nothing can be served', async () => {
  const clock = new ManualClock();
  const backoff = new StoreBackoff(clock, NO_JITTER);
  let up = false;
  const caller = callUntilAnswered(
    backoff,
    () => up,
    () => {},
  );
  await advance(clock, OUTAGE_MS);
  up = true;
  await advance(clock, 510);
  await caller;
});

test('a failure some time after an outage starts with a short pause again', async () => {
  const clock = new ManualClock();
  const backoff = new StoreBackoff(clock, NO_JITTER);
  backoff.noteFailed();
  const first = backoff.waitForTurn();
  await advance(clock, 50);
  await first;
  backoff.noteAnswered();
  await advance(clock, 1_010);
  backoff.noteAnswered();
  backoff.noteFailed();
  const second = backoff.waitForTurn();
  await advance(clock, 50);
  await second;
});

test('a store that answers listings and refuses watches is not called in a tight loop', async () => {
  const clock = new ManualClock();
  const backoff = new StoreBackoff(clock, NO_JITTER);
  let refusedCount = 0;
  let stopped = false;
  const watch = async (): Promise<void> => {
    while (!stopped) {
      await backoff.waitForTurn();
      backoff.noteAnswered();
      await backoff.waitForTurn();
      refusedCount += 1;
      backoff.noteFailed();
    }
  };
  void watch();
  await advance(clock, OUTAGE_MS);
  stopped = true;
  // A pause of 50 ms each time would give 180 calls.
  assert.ok(refusedCount <= 16, `${refusedCount} refused watches`);
});

test('a call that does not return does not block the other callers', async () => {
  const clock = new ManualClock();
  const backoff = new StoreBackoff(clock, NO_JITTER);
  backoff.noteFailed();
  const hanging = backoff.waitForTurn();
  const other = backoff.waitForTurn();
  await advance(clock, 50);
  await hanging;
  await advance(clock, 100);
  await other;
});
