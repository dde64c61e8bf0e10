/** Tests how many calls to the store a fleet makes to confirm its rules. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import { confirmationRole, restFromWatchMs } from './confirmation-sources.js';
import { FreshnessRefresher } from './freshness-refresher.js';
import { RulesFreshness } from './rules-freshness.js';

const LARGE = 70;
const MAX_AGE_MS = 4_700;
/** New rules have to be in force this long after their acknowledgement, in milliseconds. */
const APPLY_MS = 2_000;
/** Time in which silent links are noticed and replaced, in milliseconds. */
const LINK_REPLACEMENT_MS = 1_900;
const STEP_MS = 20;

interface Member {
  readonly freshness: RulesFreshness;
  readonly refresher: FreshnessRefresher;
  storeQueries: number;
  isCutOff: boolean;
  isDown: boolean;
}

interface Fleet {
  /** Until then questions to other nodes get no reply. */
  linksSilentUntil: number;
  readonly clock: ManualClock;
  readonly members: ReadonlyMap<string, Member>;
  /** Longest age of a confirmation at any node since the start, in milliseconds. */
  oldestMs: number;
}

function startFleet(size: number): Fleet {
  const clock = new ManualClock();
  const members = new Map<string, Member>();
  const fleet = { clock, members, oldestMs: 0, linksSilentUntil: -Infinity };
  const names = Array.from({ length: size }, (_, index) => `node-${index}`);
  names.forEach((node, index) => {
    const freshness = new RulesFreshness({
      ...{ clock, log: silentEventLog, maxAgeMs: () => MAX_AGE_MS, rulesVersion: () => 1 },
    });
    const role = (): ReturnType<typeof confirmationRole> => {
      const known = names.filter((name) => members.get(name)?.isDown !== true);
      return confirmationRole(node, known, index / size);
    };
    const refresher = new FreshnessRefresher({
      clock,
      freshness,
      get refreshPosition() {
        return role().position;
      },
      hasRules: () => true,
      isStoreAvailable: () => true,
      queryStore: () => {
        const own = members.get(node)!;
        own.storeQueries += 1;
        if (!own.isCutOff) freshness.confirm(1, clock.bootNow());
        return Promise.resolve(!own.isCutOff);
      },
      queryPeers: () => {
        const { sources } = role();
        if (clock.now() < fleet.linksSilentUntil) return sources.length;
        for (const source of sources) {
          const confirmation = members.get(source)!.freshness.confirmation;
          if (confirmation !== undefined) freshness.confirmByPeer(confirmation, clock.bootNow());
        }
        return sources.length;
      },
    });
    members.set(node, { freshness, refresher, storeQueries: 0, isCutOff: false, isDown: false });
  });
  for (const { freshness, refresher } of members.values()) {
    freshness.confirm(1, clock.bootNow());
    refresher.wake();
  }
  return fleet;
}

async function pass(fleet: Fleet, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
    fleet.clock.advance(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
    const ages = [...fleet.members.values()].map(({ freshness }) => freshness.ageMs());
    fleet.oldestMs = Math.max(fleet.oldestMs, ...ages);
  }
}

function countQueries({ members }: Fleet): number {
  return [...members.values()].reduce((sum, { storeQueries }) => sum + storeQueries, 0);
}

function stop({ members }: Fleet): void {
  for (const { refresher } of members.values()) refresher.close();
}

for (const size of [1, 5, 17, LARGE, 195]) {
  test(`in a fleet of ${size} nodes without traffic one node asks the store for all`, async () => {
    const fleet = startFleet(size);
    await pass(fleet, 10_000);
    stop(fleet);
    assert.ok(countQueries(fleet) <= 12, `${countQueries(fleet)} calls in 10 s`);
    assert.ok(fleet.oldestMs < APPLY_MS, `${fleet.oldestMs} ms`);
  });
}

// Guards against rules that a node does not receive for seconds while all its connections are silent.
for (const size of [17, 195]) {
  test(`in a fleet of ${size} nodes rules are confirmed within 2 s while links are silent`, async () => {
    const fleet = startFleet(size);
    await pass(fleet, 3_000);
    const queriesBefore = countQueries(fleet);
    for (let fault = 0; fault < 2; fault += 1) {
      fleet.linksSilentUntil = fleet.clock.now() + LINK_REPLACEMENT_MS;
      await pass(fleet, 3_000);
    }
    stop(fleet);
    assert.ok(fleet.oldestMs < APPLY_MS, `${fleet.oldestMs} ms`);
    // One call of each node a fault, and one a second of the fleet.
    const queries = countQueries(fleet) - queriesBefore;
    assert.ok(queries <= 2 * size + 8, `${queries} calls`);
  });
}

test('nodes of a small fleet wait for rules themselves', () => {
  const nodes = Array.from({ length: 24 }, (_, index) => `node-${index}`);
  for (const node of nodes) {
    const role = confirmationRole(node, nodes, 0);
    assert.equal(restFromWatchMs(role, 0), 0);
    assert.equal(role.sources.length, role.isSource ? 2 : 3);
  }
});

test('nodes wait for rules themselves unless a source has confirmed theirs within two seconds', () => {
  const nodes = Array.from({ length: LARGE }, (_, index) => `node-${index}`);
  const roles = nodes.map((node) => confirmationRole(node, nodes, 0));
  const resting = roles.filter((role) => restFromWatchMs(role, 1_500) > 0);
  assert.equal(resting.length, LARGE - 3);
  for (const role of roles) assert.equal(restFromWatchMs(role, 2_000), 0);
  for (const role of roles) assert.equal(restFromWatchMs(role, Infinity), 0);
});

test('confirmations stay new when sources are cut off from the store or fail', async () => {
  const fleet = startFleet(LARGE);
  const [first, second] = [...fleet.members.keys()]
    .map((node) => ({ node, role: confirmationRole(node, [...fleet.members.keys()], 0) }))
    .filter(({ role }) => role.isSource)
    .sort((one, other) => one.role.position - other.role.position);
  await pass(fleet, 3_000);
  fleet.members.get(first!.node)!.isCutOff = true;
  await pass(fleet, 5_000);
  fleet.members.get(second!.node)!.isDown = true;
  await pass(fleet, 5_000);
  stop(fleet);
  assert.ok(fleet.oldestMs < MAX_AGE_MS, `${fleet.oldestMs} ms`);
  const others = [...fleet.members].filter(([node]) => node !== first!.node);
  const queries = others.reduce((sum, [, { storeQueries }]) => sum + storeQueries, 0);
  assert.ok(queries <= 40, `${queries} calls of the nodes that reach the store`);
});
