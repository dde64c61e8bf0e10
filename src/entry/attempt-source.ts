/** Source of the attempts of one call: its own budget, or also the shared budget of its key. */
import { Result } from 'true-myth';
import type { ChargeGrant, ClaimService } from '../claims/claim-service.js';
import { AttemptBudget } from '../core/attempt-budget.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { InboundCall } from './call-router.js';

/** Longest wait for a charge of the shared budget, in milliseconds. */
const CHARGE_WAIT_MS = 250;

/** Grants, for each attempt of one call, the attempts that it and the calls below it may use. */
export class AttemptSource {
  private readonly budget: AttemptBudget;
  /** Attempts charged to the shared budget and not granted. */
  private charged = 0;
  private readonly grants: ChargeGrant[] = [];
  private used = 0;

  constructor(
    private readonly call: InboundCall,
    private readonly need: number,
    private readonly claims: ClaimService,
  ) {
    this.budget = new AttemptBudget(call.attempts, need);
  }

  /** Attempts spent, including grants that are not settled. */
  get attemptsUsed(): number {
    return this.used;
  }

  /** Attempts that can still be granted. */
  get remaining(): number {
    return this.budget.remaining;
  }

  /** Returns how many attempts the next one and the calls below it may use, at least 1, or fails. */
  async grant(now: number): Promise<Result<number, Failure>> {
    const wanted = this.budget.grant();
    if (wanted < 1) return Result.err(exhausted());
    const granted = await this.charge(wanted, now);
    if (granted.isErr || granted.value < 1) {
      this.budget.settle(wanted, 0);
      return granted.isErr ? granted : Result.err(exhausted());
    }
    this.budget.settle(wanted, granted.value);
    this.used += granted.value;
    return granted;
  }

  /** Settles a grant; see {@link AttemptBudget.settle}. */
  settle(granted: number, used: number): void {
    const unused = Math.max(0, granted - used);
    this.budget.settle(granted, used);
    this.used -= unused;
    if (this.isShared) this.charged += unused;
  }

  /** Ends the call. Returns charged attempts that were not used, for retries with the same key. */
  release(): void {
    for (const { attempts, release } of this.grants) {
      const unused = Math.min(attempts, this.charged);
      if (unused > 0) release(unused);
      this.charged -= unused;
    }
    this.grants.length = 0;
  }

  /** Retries with the same key at other nodes share one budget; calls by back ends use a ledger. */
  private get isShared(): boolean {
    const { idempotencyKey, parentAttemptId } = this.call;
    return idempotencyKey !== undefined && parentAttemptId === undefined;
  }

  private async charge(wanted: number, now: number): Promise<Result<number, Failure>> {
    if (!this.isShared) return Result.ok(wanted);
    const enough = Math.min(this.need, wanted);
    if (this.charged >= enough) return Result.ok(this.takeCharged(wanted));
    const { context, kind } = this.call;
    const granted = await this.claims.chargeReturnable({
      tenant: context.tenant,
      requestId: context.requestId,
      wanted: wanted - this.charged,
      bound: kind.attempts,
      deadline: Math.min(context.deadline, now + CHARGE_WAIT_MS),
    });
    if (granted.isErr) return Result.err(granted.error);
    this.charged += granted.value.attempts;
    this.grants.push(granted.value);
    return Result.ok(this.takeCharged(wanted));
  }

  private takeCharged(wanted: number): number {
    const taken = Math.min(wanted, this.charged);
    this.charged -= taken;
    return taken;
  }
}

function exhausted(): Failure {
  const detail = 'the attempts of the whole call chain are used up';
  return createFailure(ResultCode.AttemptsExhausted, detail);
}
