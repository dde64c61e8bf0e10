import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isFinalStatus, meansNotRun } from './http-status.js';

test('whole numbers from 200 to 599 are final statuses', () => {
  for (const status of [200, 207, 304, 451, 599]) assert.equal(isFinalStatus(status), true);
  for (const status of [0, 99, 100, 101, 199, 600, 999, -200, 200.5, NaN, Infinity, '200', null]) {
    assert.equal(isFinalStatus(status), false, String(status));
  }
});

test('four statuses mean that the request has not run', () => {
  const all = Array.from({ length: 400 }, (_, index) => 200 + index);
  assert.deepEqual(all.filter(meansNotRun), [408, 421, 429, 503]);
});
