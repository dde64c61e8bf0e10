import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member } from './member.js';
import { Placement, selectFrontingNode, selectReplicas } from './placement.js';

const ZONES = 7;
const KEYS = Array.from({ length: 2_000 }, (_, index) => `key-${index}`);

function createMember(index: number, overrides: Partial<Member> = {}): Member {
  const zone = index % ZONES;
  return {
    nodeId: `node-${index}`,
    incarnation: 1,
    sequence: 0,
    zone: `zone-${zone}`,
    region: zone < 4 ? 'region-a' : 'region-b',
    peerAddress: `10.0.0.${index}:7000`,
    entryAddress: `10.0.0.${index}:8000`,
    adminAddress: `10.0.0.${index}:9000`,
    fronts: [],
    leavingTargets: [],
    configVersion: 1,
    ready: true,
    state: 'alive',
    ...overrides,
  };
}

function createFleet(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => createMember(index));
}

function change(fleet: readonly Member[], nodeId: string, overrides: Partial<Member>): Member[] {
  return fleet.map((member) => (member.nodeId === nodeId ? { ...member, ...overrides } : member));
}

const FLEET = createFleet(70);
const TARGET = { id: 'target-1', zone: 'zone-2' };
const FRONTING = selectFrontingNode(TARGET, FLEET)!;

const FRONTING_CASES: Record<string, { fleet: Member[]; check: (node: Member) => boolean }> = {
  'a node of its zone': { fleet: FLEET, check: ({ zone }) => zone === TARGET.zone },
  'the member whose settings list it': {
    fleet: change(FLEET, 'node-5', { fronts: [TARGET.id] }),
    check: ({ nodeId }) => nodeId === 'node-5',
  },
  'another one when the listed member is not ready': {
    fleet: change(FLEET, 'node-5', { fronts: [TARGET.id], ready: false }),
    check: ({ nodeId }) => nodeId === FRONTING.nodeId,
  },
  'the same node while it is suspected': {
    fleet: change(FLEET, FRONTING.nodeId, { state: 'suspect' }),
    check: ({ nodeId }) => nodeId === FRONTING.nodeId,
  },
  'another node of the zone when it has failed': {
    fleet: change(FLEET, FRONTING.nodeId, { state: 'failed' }),
    check: ({ nodeId, zone }) => nodeId !== FRONTING.nodeId && zone === TARGET.zone,
  },
  'another node of the zone when it is leaving': {
    fleet: change(FLEET, FRONTING.nodeId, { state: 'leaving' }),
    check: ({ nodeId, zone }) => nodeId !== FRONTING.nodeId && zone === TARGET.zone,
  },
  'a node of another zone when its zone has none': {
    fleet: FLEET.filter(({ zone }) => zone !== TARGET.zone),
    check: ({ ready }) => ready,
  },
};

for (const [name, { fleet, check }] of Object.entries(FRONTING_CASES)) {
  test(`a target is fronted by ${name}`, () => {
    const node = selectFrontingNode(TARGET, fleet);
    assert.ok(node !== undefined && check(node), `found ${node?.nodeId}`);
    assert.equal(selectFrontingNode(TARGET, [...fleet].reverse())?.nodeId, node.nodeId);
  });
}

test('a target has no node when no member is ready', () => {
  const fleet = FLEET.map((member) => ({ ...member, ready: false }));
  assert.equal(selectFrontingNode(TARGET, fleet), undefined);
});

for (const count of [1, 3, 5, 7]) {
  test(`${count} replicas lie in ${count} zones and spread over the regions`, () => {
    const placement = new Placement(FLEET);
    for (const key of KEYS) {
      const replicas = placement.selectReplicas(key, count);
      assert.equal(new Set(replicas.map(({ zone }) => zone)).size, count);
      const inFirstRegion = replicas.filter(({ region }) => region === 'region-a').length;
      assert.ok(Math.abs(2 * inFirstRegion - count) <= 1, `${inFirstRegion} of ${count}`);
    }
  });
}

test('replicas share zones only when there are too few', () => {
  const fleet = createFleet(14).filter(({ zone }) => zone === 'zone-0' || zone === 'zone-1');
  assert.equal(fleet.length, 4);
  for (const key of KEYS.slice(0, 50)) {
    const replicas = selectReplicas(key, fleet, 3);
    assert.equal(new Set(replicas).size, 3);
    assert.equal(new Set(replicas.map(({ zone }) => zone)).size, 2);
  }
  assert.equal(selectReplicas('key', fleet, 9).length, 4);
});

test('when a member fails, few keys change, and each in few replicas', () => {
  const before = new Placement(FLEET);
  const after = new Placement(change(FLEET, 'node-9', { state: 'failed' }));
  let moved = 0;
  for (const key of KEYS) {
    const old = before.selectReplicas(key, 3).map(({ nodeId }) => nodeId);
    const now = after.selectReplicas(key, 3).map(({ nodeId }) => nodeId);
    const lost = old.filter((nodeId) => !now.includes(nodeId)).length;
    if (!old.includes('node-9')) assert.equal(lost, 0);
    moved += lost;
  }
  // Its own share is 3 replicas of 70 members; a less preferred choice may move as well.
  const share = (3 * KEYS.length) / FLEET.length;
  assert.ok(moved <= 2.2 * share, `${moved} replicas moved, its share is ${share}`);
});

test('keys spread evenly over the members', () => {
  const placement = new Placement(FLEET);
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    for (const { nodeId } of placement.selectReplicas(key, 3)) {
      counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
    }
  }
  const mean = (3 * KEYS.length) / FLEET.length;
  for (const member of FLEET) {
    const count = counts.get(member.nodeId) ?? 0;
    // Zones are chosen equally often, so members of a region with fewer zones hold more.
    assert.ok(count > mean / 2 && count < mean * 2, `${member.nodeId} holds ${count}`);
  }
});
