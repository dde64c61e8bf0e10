import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../kernel/clock.js';
import { NOTIFY_PAUSE_MS, PacedNotifier } from './paced-notifier.js';

test('the first change is told at once, those that follow together after the pause', () => {
  const clock = new ManualClock();
  const notifier = new PacedNotifier(clock);
  const toldAt: number[] = [];
  const unsubscribe = notifier.subscribe(() => toldAt.push(clock.now()));
  for (let change = 0; change < 50; change += 1) {
    notifier.notify();
    clock.advance(1);
  }
  assert.deepEqual(toldAt, [0]);
  clock.advance(NOTIFY_PAUSE_MS);
  assert.deepEqual(toldAt, [0, NOTIFY_PAUSE_MS]);
  clock.advance(NOTIFY_PAUSE_MS);
  notifier.notify();
  assert.equal(toldAt.length, 3);
  unsubscribe();
  clock.advance(NOTIFY_PAUSE_MS);
  notifier.notify();
  assert.equal(toldAt.length, 3);
});
