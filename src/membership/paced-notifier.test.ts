import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../kernel/clock.js';
import { MIN_NOTIFY_INTERVAL_MS, PacedNotifier } from './paced-notifier.js';

test('the first change is notified at once, later ones together after the minimum interval', () => {
  const clock = new ManualClock();
  const notifier = new PacedNotifier(clock);
  const notifiedAt: number[] = [];
  const unsubscribe = notifier.subscribe(() => notifiedAt.push(clock.now()));
  for (let change = 0; change < 50; change += 1) {
    notifier.notify();
    clock.advance(1);
  }
  assert.deepEqual(notifiedAt, [0]);
  clock.advance(MIN_NOTIFY_INTERVAL_MS);
  assert.deepEqual(notifiedAt, [0, MIN_NOTIFY_INTERVAL_MS]);
  clock.advance(MIN_NOTIFY_INTERVAL_MS);
  notifier.notify();
  assert.equal(notifiedAt.length, 3);
  unsubscribe();
  clock.advance(MIN_NOTIFY_INTERVAL_MS);
  notifier.notify();
  assert.equal(notifiedAt.length, 3);
});
