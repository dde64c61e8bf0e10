import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RelayedLimits } from './relayed-limits.js';

test('the last stated limit of each target is kept until an answer states none', () => {
  const limits = new RelayedLimits();
  limits.note('node-1', 'i-1', 12);
  limits.note('node-1', 'i-1', 7.3);
  limits.note('node-2', 'i-2', 5);
  assert.deepEqual(limits.of('node-1'), { incarnation: 'i-1', requestsPerSecond: 7.3 });
  limits.note('node-1', 'i-1', undefined);
  assert.equal(limits.of('node-1'), undefined);
  assert.equal(limits.of('node-2')?.requestsPerSecond, 5);
});

test('a limit does not outlive the incarnation that stated it', () => {
  const limits = new RelayedLimits();
  limits.note('node-1', 'i-1 5', 12);
  limits.onIncarnation('node-1', 'i-1 5');
  assert.equal(limits.of('node-1')?.requestsPerSecond, 12);
  limits.onIncarnation('node-1', 'i-1 6');
  assert.equal(limits.of('node-1'), undefined);
});
