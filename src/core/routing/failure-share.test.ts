import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailureShare } from './failure-share.js';

test('a target that answers has share 0, and one failure among few has little effect', () => {
  const share = new FailureShare();
  assert.equal(share.at(0), 0);
  for (let index = 0; index < 10; index += 1) share.note(0, 'success');
  assert.equal(share.at(0), 0);
  share.note(0, 'failed');
  assert.ok(share.at(0) < 0.1);
});

test('the share is close to the true one, and timeouts count', () => {
  const share = new FailureShare();
  for (let index = 0; index < 100; index += 1) {
    share.note(index * 10, index % 5 === 0 ? 'failed' : index % 5 === 1 ? 'timeout' : 'success');
  }
  assert.ok(Math.abs(share.at(1_000) - 0.4) < 0.05);
});

test('attempts that were not run, or were cancelled, do not count', () => {
  const share = new FailureShare();
  share.note(0, 'failed');
  const before = share.at(0);
  for (const outcome of ['unreachable', 'overloaded', 'draining', 'cancelled'] as const) {
    share.note(0, outcome);
  }
  assert.equal(share.at(0), before);
});

test('old failures decay', () => {
  const share = new FailureShare();
  for (let index = 0; index < 50; index += 1) share.note(0, 'failed');
  assert.ok(share.at(0) > 0.9);
  assert.ok(share.at(10_000) < 0.1);
});
