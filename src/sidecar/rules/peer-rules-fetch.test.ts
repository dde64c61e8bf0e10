/** Fetching rules from peers, on a clock of its own. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { PeerRulesFetch } from './peer-rules-fetch.js';

let clock: ManualClock;
let current: number;
let asked: string[];
let fetch: PeerRulesFetch;

beforeEach(() => {
  clock = new ManualClock();
  current = 1;
  asked = [];
  fetch = new PeerRulesFetch({ clock, currentVersion: () => current });
});

function tell(peer: string, version: number): void {
  fetch.onPeerVersion(version, () => asked.push(peer));
}

test('what the store tells in time is asked of nobody', () => {
  for (let peer = 0; peer < 100; peer += 1) tell(`p${peer}`, 2);
  clock.advance(20);
  current = 2;
  clock.advance(1_000);
  assert.deepEqual(asked, []);
});

test('of a hundred peers that know more one is asked', () => {
  for (let peer = 0; peer < 100; peer += 1) tell(`p${peer}`, 2);
  clock.advance(110);
  assert.equal(asked.length, 1);
  current = 2;
  clock.advance(1_000);
  assert.equal(asked.length, 1);
});

test('a peer that does not answer is followed by the next', () => {
  tell('first', 2);
  tell('second', 2);
  clock.advance(1_000);
  assert.deepEqual(asked, ['second', 'first']);
});

test('the peer with the newest rules is asked first', () => {
  tell('newest', 3);
  tell('newer', 2);
  clock.advance(110);
  assert.deepEqual(asked, ['newest']);
  current = 3;
  clock.advance(1_000);
  assert.deepEqual(asked, ['newest']);
});

test('peers that know no more are not asked', () => {
  tell('same', 1);
  tell('older', 0);
  clock.advance(1_000);
  assert.deepEqual(asked, []);
});

test('a later change is fetched as well', () => {
  tell('one', 2);
  clock.advance(110);
  current = 2;
  clock.advance(1_000);
  tell('two', 3);
  clock.advance(110);
  assert.deepEqual(asked, ['one', 'two']);
});

test('after the close nobody is asked', () => {
  tell('one', 2);
  fetch.close();
  clock.advance(1_000);
  assert.deepEqual(asked, []);
});
