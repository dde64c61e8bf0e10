import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '../core/random.js';
import { createRequestKey, deriveRequestKey } from './request-key.js';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const UNIX_MS = 1_700_000_000_123;

test('keys are UUIDs of version 7 and contain their time stamp', () => {
  const key = createRequestKey(UNIX_MS, createRandom(1));
  assert.match(key, UUID_V7);
  assert.equal(Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16), UNIX_MS);
});

test('a derived key is deterministic, keeps the time stamp and differs by service', () => {
  const parent = createRequestKey(UNIX_MS, createRandom(2));
  const derived = deriveRequestKey(parent, 'ledger');
  assert.match(derived, UUID_V7);
  assert.equal(derived.slice(0, 13), parent.slice(0, 13));
  assert.equal(derived, deriveRequestKey(parent, 'ledger'));
  assert.notEqual(derived, deriveRequestKey(parent, 'archive'));
});
