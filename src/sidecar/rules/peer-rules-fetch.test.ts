/** Tests fetching rules from peers, on a manual clock. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { PeerRulesFetch } from './peer-rules-fetch.js';

let clock: ManualClock;
let current: number;
let requested: string[];
let fetch: PeerRulesFetch;

beforeEach(() => {
  clock = new ManualClock();
  current = 1;
  requested = [];
  fetch = new PeerRulesFetch({ clock, currentVersion: () => current });
});

function announce(peer: string, version: number): void {
  fetch.onPeerVersion(version, () => requested.push(peer));
}

test('requests nothing from peers when the store sends the rules in time', () => {
  for (let peer = 0; peer < 100; peer += 1) announce(`p${peer}`, 2);
  clock.advance(20);
  current = 2;
  clock.advance(1_000);
  assert.deepEqual(requested, []);
});

test('requests newer rules from one of a hundred peers', () => {
  for (let peer = 0; peer < 100; peer += 1) announce(`p${peer}`, 2);
  clock.advance(110);
  assert.equal(requested.length, 1);
  current = 2;
  clock.advance(1_000);
  assert.equal(requested.length, 1);
});

test('asks the next peer when one does not answer', () => {
  announce('first', 2);
  announce('second', 2);
  clock.advance(1_000);
  assert.deepEqual(requested, ['second', 'first']);
});

test('asks the peer with the newest rules first', () => {
  announce('newest', 3);
  announce('newer', 2);
  clock.advance(110);
  assert.deepEqual(requested, ['newest']);
  current = 3;
  clock.advance(1_000);
  assert.deepEqual(requested, ['newest']);
});

test('does not ask peers without newer rules', () => {
  announce('same', 1);
  announce('older', 0);
  clock.advance(1_000);
  assert.deepEqual(requested, []);
});

test('fetches a later change as well', () => {
  announce('one', 2);
  clock.advance(110);
  current = 2;
  clock.advance(1_000);
  announce('two', 3);
  clock.advance(110);
  assert.deepEqual(requested, ['one', 'two']);
});

test('requests nothing after it was closed', () => {
  announce('one', 2);
  fetch.close();
  clock.advance(1_000);
  assert.deepEqual(requested, []);
});
