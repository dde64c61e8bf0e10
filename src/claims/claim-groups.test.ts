/** Several replica groups: one layout, members by zone, constant cost, independent changes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClaimFleet, READY_AFTER_MS } from '../../test/support/claim-fleet.js';

const GROUPS = 8;

/** Starts nodes n00, n01, ... in three zones in turn. */
async function startNodes(nodes: number, groupsOf: (index: number) => number): Promise<ClaimFleet> {
  const fleet = new ClaimFleet();
  for (let index = 0; index < nodes; index += 1) {
    const nodeId = `n${String(index).padStart(2, '0')}`;
    fleet.start(nodeId, `zone-${index % 3}`, groupsOf(index));
  }
  await fleet.advance(READY_AFTER_MS * 2);
  return fleet;
}

function membersOf(fleet: ClaimFleet, group: number): readonly string[] {
  const [first] = fleet.nodes.values();
  const members = first!.placementOf(group)?.members ?? [];
  return members.map(({ nodeId }) => nodeId).sort();
}

test('nodes that want different numbers of groups agree on one layout, and all know every group', async () => {
  const fleet = await startNodes(9, (index) => 4 + index);
  const counts = new Set([...fleet.nodes.values()].map(({ groupCount }) => groupCount));
  assert.equal(counts.size, 1);
  const [count] = counts;
  assert.ok(count !== undefined && count >= 4);
  for (let group = 0; group < count; group += 1) {
    const records = [...fleet.nodes.values()].map((task) =>
      JSON.stringify(task.placementOf(group)),
    );
    assert.equal(new Set(records).size, 1, `group ${group}`);
  }
});

test('each group has a member in every zone, and groups differ in their members', async () => {
  const fleet = await startNodes(12, () => GROUPS);
  const sets = new Set<string>();
  for (let group = 0; group < GROUPS; group += 1) {
    const members = membersOf(fleet, group);
    const zones = new Set(members.map((nodeId) => Number(nodeId.slice(1)) % 3));
    assert.equal(members.length, 3);
    assert.equal(zones.size, 3);
    sets.add(members.join());
  }
  assert.ok(sets.size > GROUPS / 2, `${sets.size} different sets`);
});

test('keys of all groups are granted once, at any node', async () => {
  const fleet = await startNodes(6, () => GROUPS);
  const held = new Map<number, number>();
  for (let serial = 0; serial < 40; serial += 1) {
    const key = fleet.createKey(0, serial);
    assert.equal((await fleet.claim(`n0${serial % 6}`, key, 'first')).type, 'granted');
    assert.equal((await fleet.claim(`n0${(serial + 1) % 6}`, key, 'next')).type, 'in-progress');
  }
  for (let group = 0; group < GROUPS; group += 1) {
    const sizes = membersOf(fleet, group).map((id) => fleet.nodes.get(id)!.replicaSizeOf(group));
    held.set(group, Math.max(...sizes));
  }
  assert.ok(
    [...held.values()].every((size) => size > 0),
    `${[...held.values()].join()}`,
  );
});

test('a planned stop transfers every group of the node', async () => {
  const fleet = await startNodes(6, () => GROUPS);
  const keys = Array.from({ length: 30 }, (_, serial) => fleet.createKey(0, serial));
  for (const key of keys) await fleet.claim('n01', key, `first-${key}`);
  await fleet.settle(fleet.nodes.get('n03')!.drain());
  fleet.kill('n03');
  await fleet.advance(3_000);
  for (let group = 0; group < GROUPS; group += 1) {
    assert.ok(!membersOf(fleet, group).includes('n03'), `group ${group}`);
    assert.equal(membersOf(fleet, group).length, 3);
  }
  for (const key of keys) {
    assert.equal((await fleet.claim('n02', key, `again-${key}`)).type, 'in-progress');
  }
});

test('a node that restarts while the platform is down learns layout and records from peers', async () => {
  const fleet = await startNodes(6, () => GROUPS);
  const key = fleet.createKey();
  await fleet.claim('n01', key, 'first');
  fleet.platform.down = true;
  fleet.start('n05', 'zone-2', 3);
  await fleet.advance(READY_AFTER_MS);
  const restarted = fleet.nodes.get('n05')!;
  assert.equal(restarted.groupCount, GROUPS);
  assert.equal((await fleet.claim('n05', key, 'second')).type, 'in-progress');
  for (let group = 0; group < GROUPS; group += 1) {
    const expected = membersOf(fleet, group).includes('n05') ? 'voting' : 'idle';
    assert.equal(restarted.replicaStatusOf(group), expected, `group ${group}`);
  }
});

test('a group that has lost its memory is restarted; the other groups are not affected', async () => {
  const fleet = await startNodes(12, () => 4);
  const lost = membersOf(fleet, 0);
  const hasLostMajority = (group: number): boolean =>
    membersOf(fleet, group).filter((nodeId) => lost.includes(nodeId)).length > 1;
  const untouched = [1, 2, 3].filter((group) => !hasLostMajority(group));
  assert.ok(untouched.length > 0);
  const observer = fleet.nodes.get([...fleet.nodes.keys()].find((id) => !lost.includes(id))!)!;
  const epochs = untouched.map((group) => observer.placementOf(group)!.epoch);
  for (const nodeId of lost) fleet.start(nodeId, `zone-${Number(nodeId.slice(1)) % 3}`);
  await fleet.advance(45_000);
  assert.equal(observer.placementOf(0)?.epoch, 2);
  assert.ok(observer.placementOf(0)?.fresh);
  untouched.forEach((group, index) => {
    assert.equal(observer.placementOf(group)?.epoch, epochs[index], `group ${group}`);
  });
});

test('a node in no group queries one node a second, however large the fleet is', async () => {
  for (const nodes of [20, 40]) {
    const fleet = await startNodes(nodes, () => 4);
    const members = new Set([0, 1, 2, 3].flatMap((group) => membersOf(fleet, group)));
    // The first node checks for lost groups; other nodes outside all groups only query.
    const outside = [...fleet.nodes.keys()].slice(1).filter((nodeId) => !members.has(nodeId));
    fleet.calls.clear();
    await fleet.advance(5_000);
    for (const nodeId of outside) {
      const calls = fleet.calls.get(nodeId) ?? 0;
      assert.ok(calls >= 4 && calls <= 6, `${nodeId} of ${nodes}: ${calls} calls in 5 s`);
    }
  }
});
