import assert from 'node:assert/strict';
import { test } from 'node:test';
import { hasBody, hasKnownLength } from './answer-body.js';
import { splitAddress } from './host-and-port.js';

test('an answer has a known length when its head says so, or when it has no body', () => {
  const sized = { 'content-length': '3' };
  const chunked = { 'transfer-encoding': 'chunked' };
  assert.equal(hasKnownLength('GET', { statusCode: 200, headers: sized }), true);
  assert.equal(hasKnownLength('GET', { statusCode: 200, headers: chunked }), true);
  assert.equal(hasKnownLength('GET', { statusCode: 200, headers: {} }), false);
  assert.equal(hasKnownLength('HEAD', { statusCode: 200, headers: {} }), true);
  assert.equal(hasKnownLength('GET', { statusCode: 204, headers: {} }), true);
  assert.deepEqual([hasBody(200), hasBody(304)], [true, false]);
});

test('an address is split into host and port, with and without brackets', () => {
  assert.deepEqual(splitAddress('10.0.0.1:8080'), { host: '10.0.0.1', port: 8080 });
  assert.deepEqual(splitAddress('[::1]:443'), { host: '::1', port: 443 });
});
