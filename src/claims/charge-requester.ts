/** Charges attempts of a request id at the group, so that all entry nodes share one bound. */
import { Result } from 'true-myth';
import type { BudgetCharge } from '../core/claim/attempt-budgets.js';
import { ChargeRound, type ChargeOutcome } from '../core/claim/charge-coordinator.js';
import { BUDGET_RETENTION_MS } from '../core/claim/claim-limits.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { AttemptCharge, ChargeGrant } from './claim-service.js';
import { settleRound, type RequesterOptions } from './requester.js';
import { pause } from '../kernel/pause.js';

/** Rounds of one charge in which concurrent charges split the slots. */
const MAX_SPLITS = 4;

/** Largest bound that the replicas keep slots for. */
const MAX_BOUND = 255;

/**
 * Attempts that one node grants by itself to one request id while no majority answers; a charge
 * that wants more is refused. The bound that then holds is the kind's bound plus this for each
 * entry node that is cut off; for calls that need more attempts it is the kind's bound.
 */
export const ATTEMPTS_WITHOUT_MAJORITY = 1;

/** Request ids remembered for that; with more, charges without a majority are refused. */
const MAX_LOCAL_IDS = 20_000;

/** One round with the charge that it asked for. */
interface EndedRound {
  readonly budget: BudgetCharge;
  readonly outcome: ChargeOutcome;
}

/** Time after which charges that got in each other's way have been given back. */
const CONTENDED_RETRY_MS = 200;

/** Coordinator of charges. */
export class ChargeRequester {
  private charges = 0;
  private readonly local = new Map<string, { granted: number; createdAt: number }>();

  /** @param name unique per process start; makes charge ids unique */
  constructor(
    private readonly options: RequesterOptions,
    private readonly name: string,
  ) {}

  /** Charges attempts; see `ClaimService.chargeReturnable`. */
  async chargeReturnable(charge: AttemptCharge): Promise<Result<ChargeGrant, Failure>> {
    const key = `${charge.tenant}/${charge.requestId}`;
    let splits = 0;
    let majorityAnswers = false;
    while (this.options.clock.now() < charge.deadline && splits < MAX_SPLITS) {
      const ended = await this.runRound(key, charge);
      if (ended === undefined) break;
      const { budget, outcome } = ended;
      if (outcome.slots.length > 0) return Result.ok(this.createGrant(budget, outcome.slots));
      if (outcome.heardMajority) {
        if (!outcome.split) return exhausted('all attempts of this request id are spent');
        splits += 1;
        majorityAnswers = true;
      }
      // Without a majority the replicas may just be changing their epoch, which takes less time
      // than a charge may wait.
      await pause(
        this.options.clock,
        1 + this.options.random.next() * this.options.timing.retryJitterMs,
      );
    }
    return majorityAnswers ? contended() : this.grantLocally(key, charge.wanted);
  }

  /** One round under a charge id of its own; gives back what does not count. */
  private async runRound(key: string, charge: AttemptCharge): Promise<EndedRound | undefined> {
    const group = this.options.groupOf(key);
    const record = group?.placement;
    if (group === undefined || record === undefined) return undefined;
    const wanted = Math.min(charge.wanted, charge.bound, MAX_BOUND);
    const budget = this.createBudgetCharge(key, wanted, charge.bound);
    const round = new ChargeRound(record, wanted);
    const request = { type: 'charge', epoch: record.epoch, charge: budget } as const;
    await settleRound(this.options, group.client, round, request, charge.deadline, () => {
      return round.complete;
    });
    const outcome = round.outcome();
    this.giveBackUnused(budget, outcome.slots);
    return { budget, outcome };
  }

  private createGrant(budget: BudgetCharge, slots: readonly number[]): ChargeGrant {
    const { key, chargeId } = budget;
    const giveBack = (count: number): void => {
      const unused = slots.slice(0, count);
      if (unused.length === 0) return;
      void this.options.delivery.deliver(key, { type: 'give-back', key, chargeId, unused });
    };
    return { attempts: slots.length, giveBack };
  }

  private createBudgetCharge(key: string, wanted: number, bound: number): BudgetCharge {
    this.charges += 1;
    return {
      key,
      chargeId: `${this.name}.${this.charges}`,
      wanted,
      bound: Math.min(bound, MAX_BOUND),
    };
  }

  private giveBackUnused(charge: BudgetCharge, used: readonly number[]): void {
    if (used.length >= charge.wanted) return;
    const all = Array.from({ length: charge.bound }, (_, slot) => slot);
    const unused = all.filter((slot) => !used.includes(slot));
    const { key, chargeId } = charge;
    void this.options.delivery.deliver(key, { type: 'give-back', key, chargeId, unused });
  }

  private grantLocally(key: string, wanted: number): Result<ChargeGrant, Failure> {
    const now = this.options.clock.now();
    for (const [known, { createdAt }] of this.local) {
      if (now - createdAt <= BUDGET_RETENTION_MS) break;
      this.local.delete(known);
    }
    const entry = this.local.get(key) ?? { granted: 0, createdAt: now };
    // A call that needs more attempts than that for its chain would only spend one in vain.
    const left = ATTEMPTS_WITHOUT_MAJORITY - entry.granted;
    if (this.local.size >= MAX_LOCAL_IDS || left < 1 || wanted > ATTEMPTS_WITHOUT_MAJORITY) {
      const detail = 'no majority of replicas to charge attempts at';
      return Result.err(
        createFailure(ResultCode.ClaimUnavailable, detail, { retryAfterMs: 1_000 }),
      );
    }
    this.local.set(key, { ...entry, granted: entry.granted + 1 });
    return Result.ok({ attempts: 1, giveBack: () => {} });
  }
}

/** A majority answers and grants nothing: a grant of this node alone would pass the bound. */
function contended(): Result<ChargeGrant, Failure> {
  const detail = 'charges of the same request id are in progress';
  const options = { retryAfterMs: CONTENDED_RETRY_MS };
  return Result.err(createFailure(ResultCode.ClaimUnavailable, detail, options));
}

function exhausted(detail: string): Result<ChargeGrant, Failure> {
  return Result.err(createFailure(ResultCode.AttemptsExhausted, detail));
}
