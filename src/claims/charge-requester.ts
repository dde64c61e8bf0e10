/** Charges attempts of a request id to its replica group, so that entry nodes share one bound. */
import { Result } from 'true-myth';
import type { BudgetCharge } from '../core/claim/attempt-budgets.js';
import { ChargeRound, type ChargeOutcome } from '../core/claim/charge-coordinator.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { AttemptCharge, ChargeGrant } from './claim-service.js';
import { settleRound, type RequesterOptions } from './request-round.js';
import { pause } from '../kernel/pause.js';

/** Maximum number of rounds of one charge in which concurrent charges split the slots. */
const MAX_SPLIT_ROUNDS = 4;

/** Largest bound that the replicas keep slots for. */
const MAX_BOUND = 255;

/** The charge that one round requested, and the outcome of the round. */
interface RoundResult {
  readonly budget: BudgetCharge;
  readonly outcome: ChargeOutcome;
}

/** Time within which charges that contended for slots have released them, in milliseconds. */
const CONTENTION_RETRY_AFTER_MS = 200;
/** Time within which replicas that change their epoch vote again, in milliseconds. */
const NO_MAJORITY_RETRY_AFTER_MS = 1_000;

/**
 * Coordinates charges. Grants nothing without a majority: when each entry node granted an attempt
 * on its own, requests exceeded their bound (3 attempts where 2 are allowed, when three nodes on a
 * busy machine received no majority in time).
 */
export class ChargeRequester {
  private chargeCount = 0;

  /** @param name unique per process start; makes charge ids unique */
  constructor(
    private readonly options: RequesterOptions,
    private readonly name: string,
  ) {}

  /** Charges attempts; see `ClaimService.chargeReturnable`. */
  async chargeReturnable(charge: AttemptCharge): Promise<Result<ChargeGrant, Failure>> {
    const key = `${charge.tenant}/${charge.requestId}`;
    let splits = 0;
    let majorityReplied = false;
    while (this.options.clock.now() < charge.deadline && splits < MAX_SPLIT_ROUNDS) {
      const result = await this.runRound(key, charge);
      if (result === undefined) break;
      const { budget, outcome } = result;
      if (outcome.slots.length > 0) return Result.ok(this.createGrant(budget, outcome.slots));
      if (outcome.majorityReplied) {
        if (!outcome.split) return refuseExhausted('all attempts of this request id are used');
        splits += 1;
        majorityReplied = true;
      }
      // Replicas that give no majority may be changing their epoch, which takes less time than a
      // charge may wait.
      await pause(
        this.options.clock,
        1 + this.options.random.next() * this.options.timing.retryJitterMs,
      );
    }
    return majorityReplied ? refuseContended() : refuseWithoutMajority();
  }

  /** Runs one round under its own charge id; releases the slots that the charge does not use. */
  private async runRound(key: string, charge: AttemptCharge): Promise<RoundResult | undefined> {
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
    this.releaseUnused(budget, outcome.slots);
    return { budget, outcome };
  }

  private createGrant(budget: BudgetCharge, slots: readonly number[]): ChargeGrant {
    const { key, chargeId } = budget;
    const release = (count: number): void => {
      const unused = slots.slice(0, count);
      if (unused.length === 0) return;
      void this.options.delivery.deliver(key, { type: 'give-back', key, chargeId, unused });
    };
    return { attempts: slots.length, release };
  }

  private createBudgetCharge(key: string, wanted: number, bound: number): BudgetCharge {
    this.chargeCount += 1;
    return {
      key,
      chargeId: `${this.name}.${this.chargeCount}`,
      wanted,
      bound: Math.min(bound, MAX_BOUND),
    };
  }

  private releaseUnused(charge: BudgetCharge, used: readonly number[]): void {
    if (used.length >= charge.wanted) return;
    const all = Array.from({ length: charge.bound }, (_, slot) => slot);
    const unused = all.filter((slot) => !used.includes(slot));
    const { key, chargeId } = charge;
    void this.options.delivery.deliver(key, { type: 'give-back', key, chargeId, unused });
  }
}

/** A majority replied but granted nothing; a grant by this node alone would exceed the bound. */
function refuseContended(): Result<ChargeGrant, Failure> {
  const detail = 'other charges of the same request id are in progress';
  const options = { retryAfterMs: CONTENTION_RETRY_AFTER_MS };
  return Result.err(createFailure(ResultCode.ClaimUnavailable, detail, options));
}

/** How many attempts earlier charges have used is not known, so this one is granted none. */
function refuseWithoutMajority(): Result<ChargeGrant, Failure> {
  const detail = 'no majority of replicas available to charge attempts';
  const options = { retryAfterMs: NO_MAJORITY_RETRY_AFTER_MS };
  return Result.err(createFailure(ResultCode.ClaimUnavailable, detail, options));
}

function refuseExhausted(detail: string): Result<ChargeGrant, Failure> {
  return Result.err(createFailure(ResultCode.AttemptsExhausted, detail));
}
