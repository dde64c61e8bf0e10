import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecentKeys } from './recent-keys.js';

const KEEP_MS = 100;

test('a key is remembered for the time, whenever it was added, and forgotten after twice the time', () => {
  for (const addedAt of [0, 1, 50, 99]) {
    const keys = new RecentKeys(() => KEEP_MS);
    keys.add(0, 'first');
    keys.add(addedAt, 'key');
    assert.equal(keys.has(addedAt + KEEP_MS - 1, 'key'), true, `added at ${addedAt}`);
    assert.equal(keys.has(addedAt + 2 * KEEP_MS, 'key'), false, `added at ${addedAt}`);
  }
});

test('a key that is not used for a long time is forgotten at once', () => {
  const keys = new RecentKeys(() => KEEP_MS);
  keys.add(0, 'key');
  assert.equal(keys.has(10 * KEEP_MS, 'key'), false);
});

test('other keys are unknown', () => {
  const keys = new RecentKeys(() => KEEP_MS);
  keys.add(0, 'key');
  assert.equal(keys.has(1, 'other'), false);
});
