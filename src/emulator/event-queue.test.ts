import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '../core/random.js';
import { EventQueue } from './event-queue.js';

test('events run in order of time, then of scheduling', () => {
  const queue = new EventQueue();
  const random = createRandom(1);
  const ran: [number, number][] = [];
  for (let index = 0; index < 2_000; index += 1) {
    const at = random.nextInt(50);
    queue.schedule(at, () => ran.push([at, index]));
  }
  queue.runUntil(100);
  const expected = [...ran].sort(([a, i], [b, j]) => a - b || i - j);
  assert.equal(ran.length, 2_000);
  assert.deepEqual(ran, expected);
});

test('a cancelled event does not run, and events may schedule events', () => {
  const queue = new EventQueue();
  const ran: string[] = [];
  const cancelled = queue.schedule(5, () => ran.push('cancelled'));
  queue.schedule(1, () => {
    ran.push(`first at ${queue.now()}`);
    cancelled.cancelled = true;
    queue.scheduleAt(3, () => ran.push(`second at ${queue.now()}`));
  });
  queue.schedule(20, () => ran.push('too late'));
  queue.runUntil(10);
  assert.deepEqual(ran, ['first at 1', 'second at 3']);
  assert.equal(queue.now(), 10);
  assert.equal(queue.executedEvents, 2);
});
