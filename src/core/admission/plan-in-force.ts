/** The admission plan of one short service as an entry node applies it: with its age, until it ends. */
import { returningShare } from '../retry/returning-callers.js';
import { hashToUnit } from './admission-priority.js';
import { isRestrictive, MIN_CLASS_SHARE, type AdmissionPlan } from './admission-plan.js';

/** A root request to decide on. */
export interface RootRequest {
  readonly requestId: string;
  readonly rank: number;
  /** Empty: none. */
  readonly tenant: string;
  /** Whether it repeats, in time, a request that was refused; it takes precedence over new ones. */
  readonly isReturning: boolean;
}

/** Time for which a plan holds in full, in milliseconds from its receipt. */
const TIME_TO_LIVE_MS = 600;
/** Time in which the refused share is halved after that, in milliseconds. */
const HALF_LIFE_MS = 300;
/** Refused share below which a plan has ended; reached 1.3 s after the end of its time to live. */
const NEGLIGIBLE_SHARE = 0.05;

/** Holds the newest plan and lets it fade when no newer one arrives. */
export class PlanInForce {
  private plan: AdmissionPlan | undefined;
  private receivedAt = -Infinity;

  /** Replaces the plan. One that refuses nothing ends the plan. */
  note(now: number, plan: AdmissionPlan): void {
    this.plan = isRestrictive(plan) ? plan : undefined;
    this.receivedAt = now;
  }

  /** Whether requests are refused now. */
  isActive(now: number): boolean {
    if (this.plan === undefined) return false;
    if (this.remaining(now) >= NEGLIGIBLE_SHARE) return true;
    this.plan = undefined;
    return false;
  }

  /** Milliseconds since the plan was received. */
  ageMs(now: number): number {
    return now - this.receivedAt;
  }

  /** Shares of the classes now, by rank; undefined: nothing is refused. */
  shares(now: number): readonly number[] | undefined {
    if (this.plan === undefined || !this.isActive(now)) return undefined;
    return this.plan.shares.map((share) => this.faded(now, share));
  }

  /** Share of the requests of a class, and of a tenant in it, that are admitted now. */
  shareOf(now: number, rank: number, tenant: string): number {
    if (this.plan === undefined || !this.isActive(now)) return 1;
    const { shares, cutRank, tenants } = this.plan;
    const ofTenant = rank === cutRank ? tenants.get(tenant) : undefined;
    return this.faded(now, ofTenant ?? shares[rank] ?? MIN_CLASS_SHARE);
  }

  /** Whether a request is admitted. The hash is the one by which gates order requests. */
  admits(now: number, { requestId, rank, tenant, isReturning }: RootRequest): boolean {
    const share = this.shareOf(now, rank, tenant);
    if (share >= 1) return true;
    const admitted = isReturning ? returningShare(share) : share;
    return hashToUnit(requestId) >= 1 - admitted;
  }

  private faded(now: number, share: number): number {
    return 1 - (1 - share) * this.remaining(now);
  }

  /** Part of the refused share that is left at the age of the plan. */
  private remaining(now: number): number {
    const overMs = this.ageMs(now) - TIME_TO_LIVE_MS;
    return overMs <= 0 ? 1 : 0.5 ** (overMs / HALF_LIFE_MS);
  }
}
