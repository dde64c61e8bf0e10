/** Which connection is closed when there are too many, or too much is unread. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseIdleConnection, chooseLargest } from './connection-choice.js';

const BUSY = { name: 'busy', hasServed: true, unfinishedCount: 1 };
const IDLE = { name: 'idle', hasServed: true, unfinishedCount: 0 };
const SILENT = { name: 'silent', hasServed: false, unfinishedCount: 0 };

test('a connection that never sent a request makes room first, then an idle one', () => {
  assert.equal(chooseIdleConnection([BUSY, IDLE, SILENT]), SILENT);
  assert.equal(chooseIdleConnection([BUSY, IDLE, { ...IDLE }]), IDLE);
  assert.equal(chooseIdleConnection([BUSY, BUSY]), undefined);
});

test('the candidate with the most bytes is chosen', () => {
  const bytesOf = (bytes: number): number => bytes;
  assert.equal(chooseLargest([5, 7, 6], bytesOf), 7);
  assert.equal(chooseLargest([0, 0], bytesOf), undefined);
});
