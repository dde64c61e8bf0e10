import assert from 'node:assert/strict';
import { test } from 'node:test';
import '../overload-policies.js';
import { findOverloadPolicy, listOverloadPolicies } from '../overload-policy-registry.js';
import type { RequestContext } from '../request.js';

const OPTIONS = { initialLimit: 2, maxLimit: 10, seed: 1 };

function request(deadline: number): RequestContext {
  return {
    requestId: 'r',
    tenant: 't',
    service: 's',
    kind: 'k',
    criticality: 'normal',
    deadline,
    idempotent: true,
    depth: 0,
  };
}

test('all policies are registered', () => {
  assert.deepEqual(listOverloadPolicies(), ['adaptive', 'aimd', 'fixed', 'none']);
});

test('none dispatches everything at once', () => {
  const gate = findOverloadPolicy('none')!.createTargetGate(OPTIONS);
  for (let ticket = 0; ticket < 1000; ticket += 1) {
    assert.deepEqual(gate.offer(0, ticket, request(10)), [{ type: 'dispatch', ticket }]);
  }
});

for (const name of ['fixed', 'aimd']) {
  test(`${name} dispatches up to its limit, then in order of arrival, and expires the rest`, () => {
    const gate = findOverloadPolicy(name)!.createTargetGate(OPTIONS);
    const actions = [0, 1, 2, 3].flatMap((ticket) => gate.offer(0, ticket, request(100)));
    assert.deepEqual(actions, [
      { type: 'dispatch', ticket: 0 },
      { type: 'dispatch', ticket: 1 },
    ]);
    assert.deepEqual(gate.complete(50, 0, 'success'), [{ type: 'dispatch', ticket: 2 }]);
    assert.equal(gate.nextTimer(), 100);
    const expired = gate.onTimer(100);
    assert.deepEqual(
      expired.map(({ type, ticket }) => [type, ticket]),
      [['refuse', 3]],
    );
  });
}

test('baseline routers go round robin and retry three times', () => {
  const router = findOverloadPolicy('none')!.createServiceRouter({
    service: 's',
    localZone: 'a',
    localRegion: 'r',
    seed: 1,
  });
  const view = { zone: 'a', region: 'r', eligible: true };
  router.updateTargets(0, [
    { id: 't1', ...view },
    { id: 't2', ...view },
  ]);
  const picks = [1, 2, 3].map(() => router.pick(0, request(10), []));
  assert.deepEqual(
    picks.map((pick) => (pick.type === 'target' ? pick.target : pick.type)),
    ['t1', 't2', 't1'],
  );
  const state = { attemptsLeft: 0, lastOutcome: 'overloaded', mayHaveRun: false } as const;
  const types = [1, 2, 3, 4].map(
    (attemptsMade) => router.decideRetry(0, request(10), { ...state, attemptsMade }).type,
  );
  assert.deepEqual(types, ['retry', 'retry', 'retry', 'give-up']);
});
