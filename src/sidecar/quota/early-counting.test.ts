import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { EarlyCounting } from './early-counting.js';
import { groupOfTenant, QUOTA_GROUPS } from './quota-groups.js';

const NODES = ['node-a', 'node-b', 'node-c'];
const TENANTS = Array.from({ length: 20 }, (_, index) => `tenant-${index}`);
const LONG_MS = 10_000;

interface Fleet {
  readonly clock: ManualClock;
  /** Groups whose counting was started, by node. */
  readonly started: Map<string, number[]>;
  tenants: readonly string[] | undefined;
  readonly members: EarlyCounting[];
}

function startFleet(tenants: readonly string[] | undefined): Fleet {
  const clock = new ManualClock();
  const started = new Map(NODES.map((node) => [node, [] as number[]]));
  const fleet: Fleet = { clock, started, tenants, members: [] };
  for (const node of NODES) {
    const counting = new EarlyCounting({
      node,
      clock,
      limitedTenants: () => fleet.tenants,
      candidates: () => NODES,
      begin: (group) => {
        started.get(node)!.push(group);
        return Promise.resolve();
      },
    });
    counting.start();
    fleet.members.push(counting);
  }
  return fleet;
}

function allStarted({ started }: Fleet): readonly number[] {
  return [...started.values()].flat().toSorted();
}

test('one node starts counting each group, once and without a request', () => {
  const fleet = startFleet(TENANTS);
  fleet.clock.advance(LONG_MS);
  const groups = Array.from({ length: QUOTA_GROUPS }, (_, group) => group);
  assert.deepEqual(allStarted(fleet), groups);
});

test('starts counting only groups of tenants with a limit', () => {
  const fleet = startFleet(TENANTS.slice(0, 1));
  fleet.clock.advance(LONG_MS);
  assert.deepEqual(allStarted(fleet), [groupOfTenant(TENANTS[0]!)]);
});

test('starts counting nothing without a limit, before rules are known, or after a stop', () => {
  const unlimited = startFleet([]);
  unlimited.clock.advance(LONG_MS);
  assert.deepEqual(allStarted(unlimited), []);
  const unknown = startFleet(undefined);
  unknown.clock.advance(LONG_MS);
  assert.deepEqual(allStarted(unknown), []);
  unknown.tenants = TENANTS;
  for (const member of unknown.members) member.stop();
  unknown.clock.advance(LONG_MS);
  assert.deepEqual(allStarted(unknown), []);
});
