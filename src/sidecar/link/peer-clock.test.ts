import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerClock } from './peer-clock.js';

test('the stamp of a delayed answer does not change the estimate', () => {
  const clock = new PeerClock();
  clock.noteStamp(100, 1_100);
  clock.noteStamp(900, 1_500, 400);
  assert.equal(clock.at(900), 1_900, 'the answer took 400 ms in transit');
});

test('the estimate follows the clock of a machine that was suspended', () => {
  const clock = new PeerClock();
  clock.noteStamp(100, 1_100);
  // The clock stood still for 5 s: the peer's time at 6.000 s, when the call was sent, was at most 2.005 s.
  clock.noteStamp(6_010, 2_005, 6_000);
  assert.equal(clock.at(6_010), 2_005);
});

test('a stamp that answers no call does not show a suspension', () => {
  const clock = new PeerClock();
  clock.noteStamp(100, 1_100);
  clock.noteStamp(6_010, 2_005);
  assert.equal(clock.at(6_010), 7_010);
});
