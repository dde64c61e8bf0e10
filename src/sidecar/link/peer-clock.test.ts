import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerClock } from './peer-clock.js';

test('a stamp on an answer that came late changes nothing', () => {
  const clock = new PeerClock();
  clock.note(100, 1_100);
  clock.note(900, 1_500, 400);
  assert.equal(clock.at(900), 1_900, 'the answer was 400 ms on its way');
});

test('after the other machine was suspended its clock is behind, and is reckoned so', () => {
  const clock = new PeerClock();
  clock.note(100, 1_100);
  // It stood still for 5 s: an answer to a call of 6.0 s cannot have been stamped later than that.
  clock.note(6_010, 2_005, 6_000);
  assert.equal(clock.at(6_010), 2_005);
});

test('a stamp without a call before it proves no suspension', () => {
  const clock = new PeerClock();
  clock.note(100, 1_100);
  clock.note(6_010, 2_005);
  assert.equal(clock.at(6_010), 7_010);
});
