import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import { FreshnessRefresher } from './freshness-refresher.js';
import { RulesFreshness } from './rules-freshness.js';

let clock: ManualClock;
let freshness: RulesFreshness;
let hasRules: boolean;
let storeAvailable: boolean;
let storeAnswers: boolean;
let storeConfirms: boolean;
let storeQueries: number;
let peerQueries: number;
let peersReached: number;
let peerAgeMs: number | undefined;
let refresher: FreshnessRefresher;

beforeEach(() => {
  clock = new ManualClock();
  [hasRules, storeAvailable, storeAnswers, storeConfirms] = [true, true, true, true];
  [storeQueries, peerQueries, peersReached, peerAgeMs] = [0, 0, 0, undefined];
  const [log, maxAgeMs, rulesVersion] = [silentEventLog, () => 4_700, () => 1];
  freshness = new RulesFreshness({ clock, log, maxAgeMs, rulesVersion });
  refresher = new FreshnessRefresher({
    clock,
    freshness,
    refreshPosition: 0.5,
    hasRules: () => hasRules,
    isStoreAvailable: () => storeAvailable,
    queryStore: () => {
      storeQueries += 1;
      if (storeAnswers && storeConfirms) freshness.confirm(1, clock.bootNow());
      return Promise.resolve(storeAnswers);
    },
    queryPeers: () => {
      peerQueries += 1;
      if (peerAgeMs !== undefined) {
        freshness.confirmByPeer({ version: 1, ageMs: peerAgeMs }, clock.bootNow());
      }
      return peersReached;
    },
  });
});
afterEach(() => refresher.close());

async function pass(milliseconds: number, isUsed = true): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 100) {
    if (isUsed) freshness.remainingMs();
    clock.advance(100);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('does not refresh while there are no rules', async () => {
  hasRules = false;
  refresher.wake();
  await pass(10_000);
  assert.equal(storeQueries, 0);
});

test('asks the store before the confirmation is too old', async () => {
  refresher.wake();
  await pass(14_000);
  assert.ok(storeQueries >= 9 && storeQueries <= 11, `${storeQueries}`);
  assert.ok(freshness.ageMs() <= 1_500);
});

test('does not ask the store while other nodes send newer confirmations', async () => {
  refresher.wake();
  await pass(100);
  for (let count = 0; count < 20; count += 1) {
    await pass(500);
    freshness.confirmByPeer({ version: 1, ageMs: 200 }, clock.bootNow());
  }
  assert.equal(storeQueries, 1);
});

test('a node without traffic refreshes as often as one with', async () => {
  refresher.wake();
  await pass(14_000, false);
  assert.ok(storeQueries >= 9 && storeQueries <= 11, `${storeQueries}`);
  assert.ok(freshness.ageMs() <= 1_500);
});

test('asks a store that answers without confirming the rules once a second', async () => {
  storeConfirms = false;
  refresher.wake();
  await pass(10_000);
  assert.ok(storeQueries >= 7 && storeQueries <= 11, `${storeQueries}`);
});

test('asks other nodes first, and the store only when they know no newer confirmation', async () => {
  peersReached = 3;
  refresher.wake();
  await pass(1_000);
  assert.equal(storeQueries, 1);
  peerAgeMs = 200;
  await pass(10_000);
  assert.equal(storeQueries, 1);
  assert.ok(peerQueries >= 6, `${peerQueries}`);
  peerAgeMs = 1_600;
  await pass(3_000);
  assert.ok(storeQueries >= 2, 'the confirmation of the other nodes is too old');
});

test('asks other nodes again while the store does not answer', async () => {
  storeAnswers = false;
  refresher.wake();
  peersReached = 3;
  await pass(1_000);
  assert.ok(peerQueries >= 2, `${peerQueries}`);
  storeAvailable = false;
  const queriesBefore = storeQueries;
  await pass(1_000);
  assert.equal(storeQueries, queriesBefore, 'an unavailable store is not asked');
  assert.ok(peerQueries >= 4, `${peerQueries}`);
});
