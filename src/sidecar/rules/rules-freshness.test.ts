import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import { RulesFreshness } from './rules-freshness.js';

const MAX_AGE_MS = 4_700;

let clock: ManualClock;
let version: number;
let events: Event[];
let freshness: RulesFreshness;

beforeEach(() => {
  clock = new ManualClock();
  clock.advance(100_000);
  version = 7;
  events = [];
  const log: EventLog = { emit: (event) => events.push(event) };
  const options = { clock, log, maxAgeMs: () => MAX_AGE_MS, rulesVersion: () => version };
  freshness = new RulesFreshness(options);
});

test('accepts no keys before the first confirmation', () => {
  assert.ok(freshness.remainingMs() <= 0);
  assert.equal(freshness.confirmation, undefined);
});

test('the age counts from the request to the store, not from its answer', () => {
  const requestedAt = clock.bootNow();
  clock.advance(900);
  freshness.confirm(7, requestedAt);
  assert.equal(freshness.ageMs(), 900);
  assert.equal(freshness.remainingMs(), MAX_AGE_MS - 900);
});

test('the age includes the time for which the machine was suspended', () => {
  freshness.confirm(7, clock.bootNow());
  clock.suspend(30_000);
  assert.equal(freshness.ageMs(), 30_000);
  assert.ok(freshness.remainingMs() <= 0);
});

test('the answer to an earlier request does not replace a newer confirmation', () => {
  const earlier = clock.bootNow();
  clock.advance(1_000);
  freshness.confirm(7, clock.bootNow());
  freshness.confirm(7, earlier);
  assert.equal(freshness.ageMs(), 0);
});

test('ignores a confirmation of a version that is not in force at this node', () => {
  freshness.confirm(8, clock.bootNow());
  assert.equal(freshness.ageMs(), Infinity);
  version = 8;
  freshness.confirm(8, clock.bootNow());
  assert.equal(freshness.ageMs(), 0);
});

test('accepts a confirmation of an older version, since nothing newer had been acknowledged then', () => {
  freshness.confirmByPeer({ version: 5, ageMs: 300 }, clock.bootNow());
  assert.equal(freshness.ageMs(), 300);
});

test('the confirmation for other nodes has the age that it has at this node', () => {
  const requestedAt = clock.bootNow();
  clock.advance(200);
  freshness.confirmByPeer({ version: 7, ageMs: 300 }, requestedAt);
  clock.advance(50);
  assert.deepEqual(freshness.confirmation, { version: 7, ageMs: 550 });
});

test('discards the confirmation when the store was restored from an older copy', () => {
  freshness.confirm(7, clock.bootNow());
  freshness.reset();
  assert.ok(freshness.remainingMs() <= 0);
});

test('each change is logged once', () => {
  freshness.remainingMs();
  freshness.remainingMs();
  freshness.confirm(7, clock.bootNow());
  clock.advance(MAX_AGE_MS);
  freshness.remainingMs();
  freshness.remainingMs();
  assert.deepEqual(events, [Event.RulesOutdated, Event.RulesConfirmed, Event.RulesOutdated]);
});
