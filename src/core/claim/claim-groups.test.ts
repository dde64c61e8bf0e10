import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member } from '../member.js';
import { defaultGroupCount, groupName, groupOfKey, MAX_GROUPS } from './claim-groups.js';
import type { PlacementRecord } from './placement.js';
import { chooseMembers, shouldChange, type Candidate } from './placement-policy.js';

function createCandidate(nodeId: string, zone: string, stays = true): Candidate {
  const member: Member = {
    ...{ nodeId, zone, region: 'r', incarnation: 1, sequence: 1, ready: true },
    ...{ peerAddress: '', entryAddress: '', adminAddress: '', configVersion: 0 },
    ...{ fronts: [], leavingTargets: [], state: stays ? 'alive' : 'leaving' },
  };
  return { member, stays, responds: true };
}

function createRecord(nodeIds: readonly string[]): PlacementRecord {
  const members = nodeIds.map((nodeId) => ({ nodeId, incarnation: 1 }));
  return { epoch: 1, members, fresh: true, floorMs: 0 };
}

test('the number of groups follows the size of the fleet, within its limits', () => {
  const cases = [
    [0, 1],
    [3, 1],
    [30, 3],
    [31, 4],
    [1_000, MAX_GROUPS],
  ] as const;
  for (const [nodes, groups] of cases) assert.equal(defaultGroupCount(nodes), groups);
});

test('keys are spread evenly over the groups', () => {
  const sizes = new Array<number>(MAX_GROUPS).fill(0);
  for (let index = 0; index < 64_000; index += 1) {
    const group = groupOfKey(`tenant/service/${index}`, MAX_GROUPS);
    sizes[group] = sizes[group]! + 1;
  }
  assert.ok(Math.min(...sizes) > 800 && Math.max(...sizes) < 1_200, sizes.join());
});

test('members that stay are kept, and only zones without one get a new member', () => {
  const nodes = ['a', 'b', 'c', 'd', 'e', 'f'];
  const zoneOf = (index: number): string => `zone-${index % 3}`;
  const candidates = nodes.map((id, index) => createCandidate(id, zoneOf(index), id !== 'b'));
  const record = createRecord(['a', 'b', 'c']);
  assert.deepEqual(chooseMembers(record, candidates, groupName(0)), ['a', 'c', 'e']);
  assert.equal(shouldChange(record, ['a', 'c', 'e'], candidates), true);
  assert.equal(shouldChange(record, ['c', 'b', 'a'], candidates), false);
  const oneZone = ['a', 'b'].map((id) => createCandidate(id, 'zone-1'));
  assert.equal(chooseMembers(undefined, oneZone, groupName(0)).length, 1);
  assert.deepEqual(chooseMembers(undefined, [], groupName(0)), []);
});

test('the members of 64 groups are spread over a fleet of 1,000 nodes', () => {
  const candidates = Array.from({ length: 1_000 }, (_, index) =>
    createCandidate(`node-${index}`, `zone-${index % 9}`),
  );
  const places = new Map<string, number>();
  for (let group = 0; group < MAX_GROUPS; group += 1) {
    const members = chooseMembers(undefined, candidates, groupName(group));
    const zones = new Set(members.map((id) => Number(id.slice(5)) % 9));
    assert.equal(zones.size, 3);
    for (const id of members) places.set(id, (places.get(id) ?? 0) + 1);
  }
  assert.ok(Math.max(...places.values()) <= 4, `${Math.max(...places.values())} at one node`);
});
