import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { RetryState } from '../overload.js';
import { createRandom } from '../random.js';
import type { RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, RetryAfterEstimate } from './retry-after.js';
import { DEFAULT_RETRY_BUDGET, RetryBudget } from './retry-budget.js';
import { type RetryEnvironment, RetryPolicy } from './retry-policy.js';

const REQUEST: RequestContext = {
  requestId: 'r',
  tenant: 't',
  service: 's',
  kind: 'k',
  criticality: 'critical',
  deadline: 1_000,
  idempotent: true,
  depth: 0,
};
const STATE: RetryState = {
  attemptsMade: 1,
  attemptsLeft: 3,
  lastOutcome: 'failed',
  mayHaveRun: true,
};
const ENVIRONMENT: RetryEnvironment = {
  now: 0,
  hasSpareCapacity: true,
  typicalLatencyMs: 50,
  retryAfterMs: () => 200,
};

interface Case {
  readonly name: string;
  readonly request?: Partial<RequestContext>;
  readonly state?: Partial<RetryState>;
  readonly environment?: Partial<RetryEnvironment>;
  readonly budget?: number;
  /** Code of the refusal; absent: a retry. */
  readonly code?: ResultCode;
}

const CASES: readonly Case[] = [
  { name: 'failed and idempotent' },
  {
    name: 'failed, not idempotent',
    request: { idempotent: false },
    code: ResultCode.AnswerIncomplete,
  },
  {
    name: 'unreachable, not idempotent',
    request: { idempotent: false },
    state: { lastOutcome: 'unreachable', mayHaveRun: false },
  },
  {
    name: 'an earlier attempt may have run, not idempotent',
    request: { idempotent: false },
    state: { lastOutcome: 'unreachable', mayHaveRun: true },
    code: ResultCode.TargetUnreachable,
  },
  { name: 'timeout', state: { lastOutcome: 'timeout' }, code: ResultCode.AnswerTimeout },
  { name: 'overloaded, another target has spare capacity', state: { lastOutcome: 'overloaded' } },
  {
    name: 'overloaded, no target has spare capacity',
    state: { lastOutcome: 'overloaded' },
    environment: { hasSpareCapacity: false },
    code: ResultCode.TargetRefused,
  },
  { name: 'no attempts left', state: { attemptsLeft: 0 }, code: ResultCode.AttemptsExhausted },
  { name: 'no time left', environment: { now: 960 }, code: ResultCode.DeadlineUnreachable },
  { name: 'budget empty', budget: 0, code: ResultCode.RetryBudgetExhausted },
  { name: 'draining needs no budget', budget: 0, state: { lastOutcome: 'draining' } },
];

for (const { name, request, state, environment, budget = 10, code } of CASES) {
  test(`retry: ${name}`, () => {
    const policy = new RetryPolicy(
      new RetryBudget({ ratio: 0, capacity: budget }),
      createRandom(1),
    );
    const decision = policy.decide(
      { ...REQUEST, ...request },
      { ...STATE, ...state },
      { ...ENVIRONMENT, ...environment },
    );
    const found = decision.type === 'give-up' ? decision.refusal.code : undefined;
    assert.equal(found, code);
    if (decision.type === 'give-up') assert.equal(decision.refusal.retryAfterMs, 200);
  });
}

test('property: retries never exceed the share of successes and the first burst', () => {
  const events = fc.array(fc.boolean(), { maxLength: 2_000 });
  fc.assert(
    fc.property(events, (successes) => {
      const budget = new RetryBudget();
      let earned = 0;
      let spent = 0;
      for (const isSuccess of successes) {
        if (isSuccess) {
          budget.earn();
          earned += 1;
        } else if (budget.spend()) {
          spent += 1;
        }
        const { capacity, ratio } = DEFAULT_RETRY_BUDGET;
        assert.ok(spent <= capacity + ratio * earned + 1e-6);
      }
    }),
    { numRuns: 100, seed: 31 },
  );
});

test('the retry time grows with the overload, within bounds, and differs between requests', () => {
  const estimate = new RetryAfterEstimate();
  const at = (now: number, id = 'r') => estimate.next(now, id);
  const first = at(0);
  assert.ok(first >= MIN_RETRY_AFTER_MS / 2 && first <= MIN_RETRY_AFTER_MS * 1.5);
  for (let now = 0; now < 60_000; now += 500) at(now);
  const late = at(60_000);
  assert.ok(late > 20 * first && late <= MAX_RETRY_AFTER_MS * 1.5);
  const spread = new Set(['a', 'b', 'c', 'd'].map((id) => at(60_000, id)));
  assert.equal(spread.size, 4);
  // A second without refusals ends the overload.
  assert.equal(at(62_000), first);
});
