/** Charges attempts of a request id at the group, so that all entry nodes share one bound. */
import { Result } from 'true-myth';
import type { BudgetCharge } from '../core/claim/attempt-budgets.js';
import { ChargeRound, type ChargeOutcome } from '../core/claim/charge-coordinator.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { AttemptCharge, ChargeGrant } from './claim-service.js';
import { settleRound, type RequesterOptions } from './requester.js';
import { pause } from '../kernel/pause.js';

/** Rounds of one charge in which concurrent charges split the slots. */
const MAX_SPLITS = 4;

/** Largest bound that the replicas keep slots for. */
const MAX_BOUND = 255;

/** One round with the charge that it asked for. */
interface EndedRound {
  readonly budget: BudgetCharge;
  readonly outcome: ChargeOutcome;
}

/** Time after which charges that got in each other's way have been given back. */
const CONTENDED_RETRY_MS = 200;
/** Replicas that change their epoch vote again within this time, in milliseconds. */
const NO_MAJORITY_RETRY_MS = 1_000;

/**
 * Coordinator of charges. Without a majority it grants nothing: an attempt granted by each entry
 * node alone took requests above their bound (3 attempts where 2 are allowed, when three nodes on
 * a busy machine heard no majority in time).
 */
export class ChargeRequester {
  private charges = 0;

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
    return majorityAnswers ? contended() : withoutMajority();
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
}

/** A majority answers and grants nothing: a grant of this node alone would pass the bound. */
function contended(): Result<ChargeGrant, Failure> {
  const detail = 'charges of the same request id are in progress';
  const options = { retryAfterMs: CONTENDED_RETRY_MS };
  return Result.err(createFailure(ResultCode.ClaimUnavailable, detail, options));
}

/** What an earlier try has spent is not known, so this one gets nothing. */
function withoutMajority(): Result<ChargeGrant, Failure> {
  const detail = 'no majority of replicas to charge attempts at';
  const options = { retryAfterMs: NO_MAJORITY_RETRY_MS };
  return Result.err(createFailure(ResultCode.ClaimUnavailable, detail, options));
}

function exhausted(detail: string): Result<ChargeGrant, Failure> {
  return Result.err(createFailure(ResultCode.AttemptsExhausted, detail));
}
