/** Which connection is closed when there are too many, or too much is unread. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseIdleConnection, chooseLargestBacklog } from './connection-choice.js';

const BUSY = { name: 'busy', hasServed: true, unfinishedCount: 1, unreadBytes: 5 };
const IDLE = { name: 'idle', hasServed: true, unfinishedCount: 0, unreadBytes: 0 };
const SILENT = { name: 'silent', hasServed: false, unfinishedCount: 0, unreadBytes: 0 };

test('a connection that never sent a request makes room first, then an idle one', () => {
  assert.equal(chooseIdleConnection([BUSY, IDLE, SILENT]), SILENT);
  assert.equal(chooseIdleConnection([BUSY, IDLE, { ...IDLE }]), IDLE);
  assert.equal(chooseIdleConnection([BUSY, BUSY]), undefined);
});

test('the connection with the most unread bytes is chosen', () => {
  const large = { unreadBytes: 7 };
  assert.equal(chooseLargestBacklog([BUSY, large, IDLE]), large);
  assert.equal(chooseLargestBacklog([IDLE, SILENT]), undefined);
});
