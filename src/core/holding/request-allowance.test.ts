/** Bounds on unanswered requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestAllowance, weighRequest } from './request-allowance.js';

test('a connection may send ahead up to its bound', () => {
  const allowance = new RequestAllowance({ perConnection: 3, total: 100 });
  for (const held of [0, 1, 2]) assert.equal(allowance.tryTake(1, held), 'accepted');
  assert.equal(allowance.tryTake(1, 3), 'connection');
  assert.equal(allowance.used, 3);
});

test('requests sent ahead leave room for connections with one request', () => {
  const allowance = new RequestAllowance({ perConnection: 100, total: 8 });
  assert.equal(allowance.tryTake(1, 0), 'accepted');
  assert.equal(allowance.tryTake(1, 1), 'accepted');
  assert.equal(allowance.tryTake(1, 2), 'total');
  for (let taken = 2; taken < 8; taken += 1) assert.equal(allowance.tryTake(1, 0), 'accepted');
  assert.equal(allowance.tryTake(1, 0), 'total');
  allowance.release(1);
  assert.equal(allowance.tryTake(1, 0), 'accepted');
});

test('a request with many fields counts for more, and is accepted alone', () => {
  assert.equal(weighRequest(20), 1);
  assert.equal(weighRequest(1_800), 29);
  const allowance = new RequestAllowance({ perConnection: 10, total: 100 });
  assert.equal(allowance.tryTake(29, 0), 'accepted');
  assert.equal(allowance.tryTake(1, 29), 'connection');
});
