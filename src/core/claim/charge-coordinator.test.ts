import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ChargeRound } from './charge-coordinator.js';
import { ClaimReplica } from './claim-replica.js';
import type { PlacementRecord } from './placement.js';

const NODES = ['n0', 'n1', 'n2'];
const RECORD: PlacementRecord = {
  epoch: 1,
  members: NODES.map((nodeId) => ({ nodeId, incarnation: 1 })),
  fresh: true,
  floorMs: 0,
};

function startReplica(nodeId: string, incarnation: number): ClaimReplica {
  const replica = new ClaimReplica({ nodeId, incarnation });
  replica.observe(RECORD);
  return replica;
}

interface Step {
  readonly action: 'charge' | 'restart' | 'recover';
  readonly node: number;
  readonly wanted: number;
  /** Members that the charge reaches. */
  readonly reaches: readonly boolean[];
  /** Members whose replies arrive. */
  readonly replies: readonly boolean[];
  /** Whether unused slots are returned. */
  readonly returnsUnused: boolean;
}

/** Charges one request id from many coordinators; returns the total of granted attempts. */
function run(bound: number, steps: readonly Step[]): number {
  const replicas = NODES.map((nodeId) => startReplica(nodeId, 1));
  let granted = 0;
  steps.forEach((step, index) => {
    const nodeId = NODES[step.node]!;
    if (step.action === 'restart') replicas[step.node] = startReplica(nodeId, index + 2);
    if (step.action === 'recover') recover(replicas, step.node);
    if (step.action === 'charge') granted += charge(replicas, step, bound, `charge-${index}`);
  });
  return granted;
}

function recover(replicas: readonly ClaimReplica[], node: number): void {
  const replica = replicas[node]!;
  for (const other of replica.unreadMembers()) {
    const reply = replicas[NODES.indexOf(other)]!.handle(replica.createRecoverRequest(), 0);
    replica.onRecovered(reply);
  }
}

function charge(
  replicas: readonly ClaimReplica[],
  step: Step,
  bound: number,
  chargeId: string,
): number {
  const round = new ChargeRound(RECORD, step.wanted);
  const request = { key: 'id', chargeId, wanted: step.wanted, bound };
  replicas.forEach((replica, index) => {
    if (!step.reaches[index]) return;
    const reply = replica.handle({ type: 'charge', epoch: 1, charge: request }, 0);
    if (step.replies[index]) round.onReply(NODES[index]!, reply);
  });
  const { slots } = round.outcome();
  const unused = Array.from({ length: bound }, (_, slot) => slot).filter(
    (slot) => !slots.includes(slot),
  );
  if (step.returnsUnused) {
    for (const replica of replicas) {
      replica.handle({ type: 'give-back', epoch: 1, key: 'id', chargeId, unused }, 0);
    }
  }
  return slots.length;
}

const MASK = fc.tuple(fc.boolean(), fc.boolean(), fc.boolean());
const STEP: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom('charge', 'charge', 'charge', 'restart', 'recover'),
  node: fc.nat(2),
  wanted: fc.integer({ min: 1, max: 4 }),
  reaches: MASK,
  replies: MASK,
  returnsUnused: fc.boolean(),
});

test('charges from any coordinators stay within the bound, with lost messages and restarts', () => {
  const property = fc.property(
    fc.integer({ min: 1, max: 8 }),
    fc.array(STEP, { minLength: 10, maxLength: 80, size: 'max' }),
    (bound, steps) => run(bound, steps) <= bound,
  );
  fc.assert(property, { numRuns: 3_000, seed: 20_261_202 });
});

test('a single coordinator gets the whole bound', () => {
  const everything = [true, true, true];
  for (let bound = 1; bound <= 8; bound += 1) {
    const step = { action: 'charge', node: 0, wanted: bound, returnsUnused: true } as const;
    const single = { ...step, reaches: everything, replies: everything };
    assert.equal(run(bound, [single]), bound);
    const twoOfThree = { ...single, reaches: [true, false, true] };
    assert.equal(run(bound, [twoOfThree, single]), bound);
  }
});
