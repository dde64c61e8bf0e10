import assert from 'node:assert/strict';
import { test } from 'node:test';
import { recordBatchPauseMs, waitForChangesMs } from './watch-timing.js';

/** Longest wait that the store grants, and the largest ratio of a wait to its mean. */
const STORE_LIMIT_MS = 30_000;
const SPREAD = 1.25;

test('a small fleet uses the minimum wait and the minimum pause', () => {
  for (const nodes of [1, 14, 17, 40]) {
    assert.equal(waitForChangesMs(nodes, 5_000), 5_000);
    assert.equal(recordBatchPauseMs(nodes), 1_000);
  }
});

test('waits grow with the fleet, up to the limit of the store', () => {
  assert.equal(waitForChangesMs(80, 5_000), 10_000);
  for (const nodes of [195, 1_000]) {
    assert.ok(waitForChangesMs(nodes, 5_000) * SPREAD < STORE_LIMIT_MS);
    assert.ok(waitForChangesMs(nodes, 5_000) > 20_000);
  }
});

test('a changed record is received within three seconds in any fleet', () => {
  assert.equal(recordBatchPauseMs(100), 1_500);
  assert.equal(recordBatchPauseMs(1_000), 3_000);
});
