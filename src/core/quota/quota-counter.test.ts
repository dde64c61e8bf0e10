import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QuotaCounter, type QuotaRequest } from './quota-counter.js';

const LIMIT = { requestsPerSecond: 10, burst: 20 };

function request(waiting: number, ahead = 0, returned = 0): QuotaRequest {
  return { tenant: 't', waiting, ahead, returned };
}

test('a counter begins with empty buckets', () => {
  const counter = new QuotaCounter(1_000);
  assert.equal(counter.grant(1_000, request(5), LIMIT).granted, 0);
  assert.equal(counter.grant(1_500, request(9), LIMIT).granted, 5);
});

test('a bucket holds the burst at most, however long it was not used', () => {
  const counter = new QuotaCounter(0);
  assert.equal(counter.grant(60_000, request(50), LIMIT).granted, 20);
});

test('a tenant without burst can still make one request at a time', () => {
  const counter = new QuotaCounter(0);
  assert.equal(counter.grant(60_000, request(5), { ...LIMIT, burst: 0 }).granted, 1);
});

test('each tenant has its own bucket', () => {
  const counter = new QuotaCounter(0);
  counter.grant(2_000, request(50), LIMIT);
  assert.equal(counter.grant(2_000, { ...request(50), tenant: 'u' }, LIMIT).granted, 20);
});

test('expected requests are granted only while half of the bucket is left for waiting ones', () => {
  const counter = new QuotaCounter(0);
  assert.equal(counter.grant(2_000, request(2, 30), LIMIT).granted, 10);
  assert.equal(counter.grant(2_000, request(4, 30), LIMIT).granted, 4);
});

test('refused requests get retry times one after the other, at the rate of the limit', () => {
  const counter = new QuotaCounter(0);
  counter.grant(2_000, request(20), LIMIT);
  assert.equal(counter.grant(2_000, request(3), LIMIT).retryAfterMs, 300);
  assert.equal(counter.grant(2_000, request(2), LIMIT).retryAfterMs, 500);
  assert.equal(counter.grant(4_000, request(21), LIMIT).retryAfterMs, 100);
});

test('returned requests can be granted again', () => {
  const counter = new QuotaCounter(0);
  counter.grant(2_000, request(20), LIMIT);
  assert.equal(counter.grant(2_000, request(5, 0, 3), LIMIT).granted, 3);
});

test('a lower limit applies at once', () => {
  const counter = new QuotaCounter(0);
  counter.grant(2_000, request(1), LIMIT);
  assert.equal(counter.grant(2_000, request(50), { requestsPerSecond: 1, burst: 2 }).granted, 2);
});
