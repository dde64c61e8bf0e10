import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import { FreshnessRefresher } from './freshness-refresher.js';
import { RulesFreshness } from './rules-freshness.js';

let clock: ManualClock;
let freshness: RulesFreshness;
let needed: boolean;
let storeAvailable: boolean;
let storeAnswers: boolean;
let storeQueries: number;
let peerQueries: number;
let peersReached: number;
let peerAgeMs: number | undefined;
let refresher: FreshnessRefresher;

beforeEach(() => {
  clock = new ManualClock();
  [needed, storeAvailable, storeAnswers] = [true, true, true];
  [storeQueries, peerQueries, peersReached, peerAgeMs] = [0, 0, 0, undefined];
  const [log, maxAgeMs, rulesVersion] = [silentEventLog, () => 4_700, () => 1];
  freshness = new RulesFreshness({ clock, log, maxAgeMs, rulesVersion });
  refresher = new FreshnessRefresher({
    clock,
    freshness,
    refreshPosition: 0.5,
    isNeeded: () => needed,
    isStoreAvailable: () => storeAvailable,
    queryStore: () => {
      storeQueries += 1;
      if (storeAnswers) freshness.confirm(1, clock.bootNow());
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

test('does not refresh when the rules need no confirmation', async () => {
  needed = false;
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

test('an idle node refreshes as rarely as it can while keys remain accepted', async () => {
  refresher.wake();
  await pass(20_000, false);
  assert.ok(storeQueries >= 5 && storeQueries <= 7, `${storeQueries}`);
  assert.ok(freshness.ageMs() < 4_700);
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
