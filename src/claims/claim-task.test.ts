import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import { createClaimFleet, VIRTUAL_STEP_MS } from '../../test/support/claim-fleet.js';
import type { ClaimTask } from './claim-task.js';
import { DEFAULT_CLAIM_TIMING } from './claim-timing.js';

function describeMembers(task: ClaimTask): string {
  const members = task.placementOf(0)?.members.map((member) => member.nodeId) ?? [];
  return [...members].sort().join(',');
}

const ANSWER: HttpAnswer = { status: 201, headers: [['x', 'y']], body: Buffer.from([1, 2]) };

test('a key is granted once, and its answer is kept for retries at other nodes', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  assert.equal((await fleet.claim('a', key, 'first')).type, 'granted');
  assert.equal((await fleet.claim('b', key, 'second')).type, 'in-progress');
  fleet.nodes.get('a')!.finish(fleet.createRequest(key, 'first'), ANSWER);
  await fleet.advance(10);
  assert.deepEqual(await fleet.claim('c', key, 'third'), { type: 'finished', answer: ANSWER });
  const reused = await fleet.claim('c', key, 'fourth', 'another request');
  assert.ok(reused.type === 'refused');
  assert.equal(reused.failure.code, ResultCode.IdempotencyKeyReused);
});

test('claims and charges are counted by their result', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  await fleet.claim('b', key, 'second');
  await fleet.claim('b', 'no uuid', 'third');
  fleet.nodes.get('a')!.finish(fleet.createRequest(key, 'first'), ANSWER);
  await fleet.advance(10);
  await fleet.claim('c', key, 'fourth');
  const deadline = fleet.clock.now() + 1_000;
  const charge = { tenant: 't', requestId: 'r', wanted: 2, bound: 2, deadline };
  await fleet.settle(fleet.nodes.get('a')!.chargeReturnable(charge));
  await fleet.settle(fleet.nodes.get('b')!.charge(charge));
  const { values } = await fleet.metrics.claims.get();
  assert.deepEqual(
    values.map(({ labels, value }) => `${labels.result} ${value}`),
    ['granted 1', 'in-progress 1', 'refused 1', 'finished 1', 'charged 1', 'charge-refused 1'],
  );
});

test('a released key can be claimed again', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.nodes.get('a')!.release(fleet.createRequest(key, 'first'));
  await fleet.advance(10);
  assert.equal((await fleet.claim('b', key, 'second')).type, 'granted');
});

test('a key that several nodes claim at once is granted to one of them', async () => {
  const fleet = await createClaimFleet();
  for (let serial = 0; serial < 20; serial += 1) {
    const key = fleet.createKey(0, serial);
    const claims = ['a', 'b', 'c'].map((node) =>
      fleet.nodes.get(node)!.claim(fleet.createRequest(key, `${node}-${serial}`)),
    );
    const decisions = await fleet.settle(Promise.all(claims));
    assert.equal(decisions.filter((decision) => decision.type === 'granted').length, 1);
  }
});

test('invalid, future and expired keys are refused with their result codes', async () => {
  const fleet = await createClaimFleet();
  const cases = [
    ['no uuid', ResultCode.InvalidField],
    [fleet.createKey(-60_000), ResultCode.InvalidField],
    [fleet.createKey(700_000), ResultCode.IdempotencyKeyExpired],
  ] as const;
  for (const [key, code] of cases) {
    const decision = await fleet.claim('a', key, 'x');
    assert.ok(decision.type === 'refused');
    assert.equal(decision.failure.code, code, key);
  }
});

test('a node that is cut off is refused, with unknown execution', async () => {
  const fleet = await createClaimFleet();
  fleet.cut('c');
  const key = fleet.createKey();
  const decision = await fleet.claim('c', key, 'x');
  assert.ok(decision.type === 'refused');
  assert.equal(decision.failure.code, ResultCode.ClaimUnavailable);
  assert.equal(decision.failure.execution, 'unknown');
  assert.equal((await fleet.claim('a', key, 'y')).type, 'granted');
});

test('a restarted replica recovers and still knows the key', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.start('a', 'zone-1');
  await fleet.advance(2_000);
  assert.equal(fleet.nodes.get('a')!.replicaStatusOf(0), 'voting');
  assert.equal((await fleet.claim('a', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('a', fleet.createKey(0, 9), 'third')).type, 'granted');
});

test('a replacement under a new name joins the group, also while the platform is down', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.platform.down = true;
  fleet.kill('a');
  fleet.start('d', 'zone-1');
  await fleet.advance(5_000);
  assert.equal(describeMembers(fleet.nodes.get('d')!), 'b,c,d');
  assert.equal(fleet.nodes.get('d')!.replicaStatusOf(0), 'voting');
  assert.equal((await fleet.claim('d', key, 'second')).type, 'in-progress');
  fleet.kill('b');
  fleet.start('e', 'zone-2');
  await fleet.advance(5_000);
  assert.equal((await fleet.claim('e', key, 'third')).type, 'in-progress');
});

test('planned stops of two nodes at once leave the tables with the third', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  const [a, b] = [fleet.nodes.get('a')!, fleet.nodes.get('b')!];
  await fleet.settle(Promise.all([a.drain(), b.drain()]));
  assert.equal(describeMembers(fleet.nodes.get('c')!), 'c');
  fleet.kill('a');
  fleet.kill('b');
  assert.equal((await fleet.claim('c', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', fleet.createKey(0, 1), 'third')).type, 'granted');
  fleet.start('d', 'zone-1');
  fleet.start('e', 'zone-2');
  await fleet.advance(5_000);
  assert.equal(describeMembers(fleet.nodes.get('d')!), 'c,d,e');
  assert.equal((await fleet.claim('e', key, 'fourth')).type, 'in-progress');
});

test('tables of many pages are transferred, and read after a restart', async () => {
  const fleet = await createClaimFleet({ pageBytes: 1_000 });
  const keys = Array.from({ length: 40 }, (_, serial) => fleet.createKey(0, serial));
  for (const key of keys) await fleet.claim('a', key, `first-${key}`);
  fleet.start('b', 'zone-2');
  await fleet.advance(2_000);
  assert.equal(fleet.nodes.get('b')!.replicaSizeOf(0), keys.length);
  await fleet.settle(fleet.nodes.get('a')!.drain());
  fleet.kill('a');
  fleet.start('d', 'zone-1');
  await fleet.advance(5_000);
  assert.equal(describeMembers(fleet.nodes.get('d')!), 'b,c,d');
  assert.equal(fleet.nodes.get('d')!.replicaSizeOf(0), keys.length);
  for (const key of keys) {
    assert.equal((await fleet.claim('d', key, `again-${key}`)).type, 'in-progress');
  }
});

test('the only member that was started completes the change of its crashed proposer', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  await fleet.installNextEpochAt('b');
  fleet.kill('a');
  await fleet.advance(5_000);
  assert.equal((await fleet.claim('c', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', fleet.createKey(0, 1), 'third')).type, 'granted');
});

test('a planned stop that reaches no other node ends at its time limit', async () => {
  const fleet = await createClaimFleet();
  fleet.cut('a');
  const startedAt = fleet.clock.now();
  await fleet.settle(fleet.nodes.get('a')!.drain());
  assert.ok(fleet.clock.now() - startedAt <= DEFAULT_CLAIM_TIMING.drainMs + VIRTUAL_STEP_MS);
  assert.equal((await fleet.claim('b', fleet.createKey(), 'first')).type, 'granted');
});

test('a group whose members all lost their memory is restarted and refuses earlier keys', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.start('a', 'zone-1');
  fleet.start('b', 'zone-2');
  fleet.start('c', 'zone-3');
  await fleet.advance(20_000);
  assert.equal((await fleet.claim('a', key, 'second')).type, 'refused');
  await fleet.advance(20_000);
  assert.equal(fleet.nodes.get('c')!.replicaStatusOf(0), 'voting');
  const decision = await fleet.claim('b', key, 'third');
  assert.ok(decision.type === 'refused');
  assert.equal(decision.failure.code, ResultCode.IdempotencyKeyExpired);
  await fleet.advance(30_000);
  assert.equal((await fleet.claim('b', fleet.createKey(), 'fourth')).type, 'granted');
});

test('two members that are cut off do not count as lost', async () => {
  const fleet = await createClaimFleet();
  const key = fleet.createKey();
  await fleet.claim('b', key, 'first');
  fleet.cut('b');
  fleet.cut('c');
  await fleet.advance(60_000);
  assert.equal(
    fleet.nodes.get('a')!.placementOf(0)?.epoch,
    fleet.nodes.get('b')!.placementOf(0)?.epoch,
  );
  assert.equal((await fleet.claim('a', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', key, 'third')).type, 'in-progress');
  assert.equal((await fleet.claim('a', fleet.createKey(0, 1), 'fourth')).type, 'refused');
});

const FIRST_WRITES = ['layout', 'placement'] as const;

for (const [index, written] of FIRST_WRITES.entries()) {
  for (const outcome of ['refused', 'lost-before', 'lost-after', 'late'] as const) {
    test(`the first ${written} survives a write that is ${outcome}`, async () => {
      let writes = 0;
      const fleet = await createClaimFleet({
        nextWrite: () => (writes++ === index ? outcome : 'ok'),
      });
      fleet.platform.deliverLate();
      await fleet.advance(5_000);
      const known = [...fleet.nodes.values()].map((task) => {
        return JSON.stringify([task.groupCount, task.placementOf(0)]);
      });
      assert.equal(new Set(known).size, 1);
      assert.equal((await fleet.claim('a', fleet.createKey(), 'first')).type, 'granted');
    });
  }
}

test('entry nodes share the attempts of a request id', async () => {
  const fleet = await createClaimFleet();
  const charge = (node: string, wanted: number): Promise<Result<number, Failure>> => {
    const deadline = fleet.clock.now() + 1_000;
    const request = { tenant: 't', requestId: 'r', wanted, bound: 3, deadline };
    return fleet.settle(fleet.nodes.get(node)!.charge(request));
  };
  assert.deepEqual(await charge('a', 2), Result.ok(2));
  assert.deepEqual(await charge('b', 2), Result.ok(1));
  const third = await charge('c', 1);
  assert.ok(third.isErr);
  assert.equal(third.error.code, ResultCode.AttemptsExhausted);
  fleet.cut('c');
  for (const wanted of [3, 1, 1]) {
    const alone = await charge('c', wanted);
    assert.ok(alone.isErr, 'no attempt without a majority');
    assert.equal(alone.error.code, ResultCode.ClaimUnavailable);
    assert.equal(alone.error.retryAfterMs, 1_000);
  }
});

test('nodes that each receive no majority together grant nothing beyond the bound', async () => {
  const fleet = await createClaimFleet();
  const charge = (node: string): Promise<Result<number, Failure>> => {
    const deadline = fleet.clock.now() + 1_000;
    const request = { tenant: 't', requestId: 'r', wanted: 1, bound: 1, deadline };
    return fleet.settle(fleet.nodes.get(node)!.charge(request));
  };
  for (const node of fleet.nodes.keys()) fleet.cut(node);
  const granted: number[] = [];
  for (const node of fleet.nodes.keys()) granted.push((await charge(node)).unwrapOr(0));
  assert.equal(
    granted.reduce((sum, count) => sum + count, 0),
    0,
  );
});
