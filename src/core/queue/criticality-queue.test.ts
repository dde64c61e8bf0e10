import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Criticality, RequestContext } from '../request.js';
import { CriticalityQueue } from './criticality-queue.js';
import { NestedReserve } from './nested-reserve.js';
import type { WaitingRequest } from './waiting-queue.js';

type Row = readonly [ticket: number, criticality: Criticality, giveUpAt: number, priority: number];

const ROWS: readonly Row[] = [
  [1, 'sheddable', 10, 0.1],
  [2, 'critical', 90, 0.9],
  [3, 'critical', 50, 0.8],
  [4, 'normal', 20, 0.4],
  [5, 'normal', 30, 0.3],
];

function createRequest(criticality: Criticality, depth = 0): RequestContext {
  const names = { requestId: 'r', tenant: 't', service: 's', kind: 'k' };
  return { ...names, criticality, deadline: 1_000, idempotent: true, depth };
}

function createWaiting([ticket, criticality, giveUpAt, priority]: Row): WaitingRequest {
  return { ticket, request: createRequest(criticality), giveUpAt, priority, serviceMs: 1 };
}

function createQueue(): CriticalityQueue {
  const queue = new CriticalityQueue();
  for (const row of ROWS) queue.add(createWaiting(row));
  return queue;
}

function drain(take: () => WaitingRequest | undefined): number[] {
  const tickets: number[] = [];
  for (let next = take(); next !== undefined; next = take()) tickets.push(next.ticket);
  return tickets;
}

test('dispatches by class, then by latest useful start', () => {
  const queue = createQueue();
  assert.deepEqual(
    drain(() => queue.takeNext(0)),
    [3, 2, 4, 5, 1],
  );
});

test('nested calls go first in their class, the shortest service time first', () => {
  const queue = createQueue();
  const nested = [
    [11, 30],
    [12, 10],
    [13, 20],
  ] as const;
  for (const [ticket, serviceMs] of nested) {
    const request = createRequest('normal', 1);
    queue.add({ ticket, request, giveUpAt: 500, priority: 0.4, serviceMs });
  }
  assert.deepEqual(
    drain(() => queue.takeNext(0)),
    [3, 2, 12, 13, 11, 4, 5, 1],
  );
});

test('refuses the lowest class first and in it the lowest priority', () => {
  const queue = createQueue();
  assert.deepEqual(
    drain(() => queue.takeLowest()),
    [1, 5, 4, 3, 2],
  );
});

test('refuses root requests before nested calls of the same class', () => {
  const queue = createQueue();
  const request = createRequest('normal', 1);
  queue.add({ ticket: 11, request, giveUpAt: 500, priority: 0.26, serviceMs: 5 });
  assert.deepEqual(
    drain(() => queue.takeLowest()),
    [1, 5, 4, 11, 3, 2],
  );
});

test('expires by latest useful start and returns the next such time', () => {
  const queue = createQueue();
  assert.equal(queue.earliestGiveUp(), 10);
  const expired = queue.takeExpired(30).map(({ ticket }) => ticket);
  assert.deepEqual(expired.sort(), [1, 4, 5]);
  assert.equal(queue.earliestGiveUp(), 50);
});

test('counts the requests that go before a new one', () => {
  const cases: readonly (readonly [Criticality, number, number])[] = [
    ['critical', 40, 0],
    ['critical', 60, 1],
    ['high', 1, 2],
    ['normal', 25, 3],
    ['sheddable', 99, 5],
  ];
  for (const [criticality, giveUpAt, ahead] of cases) {
    const waiting = createWaiting([9, criticality, giveUpAt, 0.5]);
    assert.equal(createQueue().countAhead(waiting), ahead, `${criticality} ${giveUpAt}`);
  }
});

test('the reserve is for the load of nested calls of the same or a higher class', () => {
  const reserve = new NestedReserve();
  const slots = (now: number, criticality: Criticality, depth = 0, limit = 18) =>
    reserve.slots(now, createRequest(criticality, depth), limit);
  assert.equal(slots(0, 'sheddable'), 0);
  // 100 calls a second of 40 ms take four slots.
  for (let now = 0; now < 3_000; now += 10) reserve.note(now, createRequest('high', 1), 40);
  const at = 3_000;
  assert.deepEqual([slots(at, 'critical'), slots(at, 'high'), slots(at, 'normal')], [0, 2, 2]);
  assert.equal(slots(at, 'normal', 1), 0);
  assert.deepEqual([slots(at, 'normal', 0, 6), slots(at, 'normal', 0, 2)], [1, 0]);
  assert.equal(slots(at + 5_000, 'normal'), 0);
});

test('the length is right after each way to add or remove requests', () => {
  const queue = createQueue();
  assert.equal(queue.length, 5);
  queue.takeNext(0);
  assert.equal(queue.length, 4);
  queue.takeLowest();
  assert.equal(queue.length, 3);
  assert.equal(queue.takeExpired(20).length, 1);
  assert.equal(queue.length, 2);
  assert.equal(queue.remove(99), undefined);
  assert.notEqual(queue.remove(2), undefined);
  assert.equal(queue.length, 1);
  drain(() => queue.takeNext(0));
  assert.equal(queue.length, 0);
  assert.equal(queue.takeNext(0), undefined);
  assert.equal(queue.length, 0);
  assert.equal(queue.earliestGiveUp(), undefined);
});

test('a root request that must start now to be in time goes before nested calls of its class', () => {
  const queue = new CriticalityQueue();
  const add = (ticket: number, depth: number, dueAt: number, criticality: Criticality): void => {
    const request = { ...createRequest(criticality, depth), dueAt };
    queue.add({ ticket, request, giveUpAt: 900, priority: 0.4, serviceMs: 50 });
  };
  add(1, 1, 1_000, 'normal');
  add(2, 0, 250, 'normal');
  add(3, 1, 1_000, 'critical');
  add(4, 0, 140, 'normal');
  // At 160 ms the answer to ticket 4 would be late, that to ticket 2 just in time.
  assert.deepEqual(
    drain(() => queue.takeNext(160)),
    [3, 2, 1, 4],
  );
});

test('while there is time, or without an objective, nested calls go first', () => {
  const queue = new CriticalityQueue();
  for (const [ticket, depth, dueAt] of [
    [1, 0, 250],
    [2, 1, 1_000],
  ] as const) {
    const request = { ...createRequest('normal', depth), dueAt };
    queue.add({ ticket, request, giveUpAt: 900, priority: 0.4, serviceMs: 50 });
  }
  assert.deepEqual(
    drain(() => queue.takeNext(100)),
    [2, 1],
  );
});
