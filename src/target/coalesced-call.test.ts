import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../kernel/clock.js';
import { CoalescedCall } from './coalesced-call.js';

test('the first request runs at once, later ones together at the end of the interval', () => {
  const clock = new ManualClock();
  const runs: number[] = [];
  const call = new CoalescedCall(clock, 50, () => runs.push(clock.now()));
  for (let count = 0; count < 3; count += 1) call.request();
  clock.advance(30);
  call.request();
  clock.advance(70);
  assert.deepEqual(runs, [0, 50]);
  call.request();
  call.request();
  call.cancel();
  clock.advance(100);
  assert.deepEqual(runs, [0, 50, 100]);
});
