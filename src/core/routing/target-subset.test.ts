import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseSubset, subsetRank, type SubsetCandidate } from './target-subset.js';

const ZONES = ['a', 'b', 'c', 'd', 'e', 'f'];
const TARGETS = 93;
const CALLERS = 195;

interface Target {
  readonly id: string;
  readonly zone: string;
  readonly capacity: number;
}

function createTargets(count: number): readonly Target[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `target-${index}`,
    zone: ZONES[index % ZONES.length]!,
    capacity: 20,
  }));
}

function candidatesOf(
  caller: string,
  targets: readonly Target[],
  isUsable: (target: Target) => boolean = () => true,
): readonly SubsetCandidate[] {
  return targets.map((target) => ({
    ...target,
    rank: subsetRank(caller, target.id, target.capacity),
    usable: isUsable(target),
  }));
}

function subsetOf(
  caller: string,
  targets: readonly Target[],
  isUsable?: (target: Target) => boolean,
): readonly string[] {
  return chooseSubset(candidatesOf(caller, targets, isUsable), zoneOf(caller)).map(({ id }) => id);
}

function zoneOf(caller: string): string {
  return ZONES[Number(caller.split('-')[1]) % ZONES.length]!;
}

const callers = Array.from({ length: CALLERS }, (_, index) => `caller-${index}`);

test('a caller uses all targets of a small service', () => {
  const targets = createTargets(24);
  assert.deepEqual(
    subsetOf('caller-1', targets),
    targets.map(({ id }) => id),
  );
});

test('a subset has eight targets of the local zone and six of others', () => {
  const targets = createTargets(TARGETS);
  for (const caller of callers) {
    const zones = subsetOf(caller, targets).map((id) => targets.find((t) => t.id === id)!.zone);
    assert.equal(zones.length, 14);
    assert.equal(zones.filter((zone) => zone === zoneOf(caller)).length, 8);
  }
});

test('targets of equal capacity are in about equally many subsets, larger ones in more', () => {
  const targets = createTargets(TARGETS).map((target, index) =>
    index < 6 ? { ...target, capacity: 40 } : target,
  );
  const counts = new Map<string, number>();
  for (const caller of callers) {
    for (const id of subsetOf(caller, targets)) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const countsOf = (chosen: readonly Target[]): readonly number[] =>
    chosen.map(({ id }) => counts.get(id) ?? 0);
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const single = countsOf(targets.slice(6));
  assert.ok(Math.min(...single) > 0.5 * mean(single), `${Math.min(...single)}`);
  assert.ok(Math.max(...single) < 1.5 * mean(single), `${Math.max(...single)}`);
  const ratio = mean(countsOf(targets.slice(0, 6))) / mean(single);
  assert.ok(ratio > 1.3 && ratio < 2, `${ratio}`);
});

test('a target that joins or leaves changes at most one target of a subset', () => {
  const targets = createTargets(TARGETS);
  for (const caller of callers) {
    const before = new Set(subsetOf(caller, targets));
    const after = subsetOf(caller, targets.slice(1));
    assert.ok(after.filter((id) => !before.has(id)).length <= 1);
  }
});

test('unusable targets are replaced, and stay to be tried again', () => {
  const targets = createTargets(TARGETS);
  const isUsable = ({ zone }: Target): boolean => zone !== 'b';
  const subset = subsetOf('caller-1', targets, isUsable);
  const usable = subset.filter((id) => isUsable(targets.find((target) => target.id === id)!));
  assert.equal(zoneOf('caller-1'), 'b');
  assert.equal(usable.length, 14);
  assert.ok(subset.length > usable.length);
});

test('a caller with many requests in flight uses more targets, up to all', () => {
  const candidates = candidatesOf('caller-1', createTargets(TARGETS));
  assert.equal(chooseSubset(candidates, 'b', 2).length, 28);
  assert.equal(chooseSubset(candidates, 'b', 8).length, TARGETS);
});
