/**
 * A node's part of tenants' limits: requests that were granted to it in batches and not made yet, and
 * requests that wait for a grant. Grants end by themselves, so that what a cut-off node holds is bounded.
 */
import type { QuotaGrant, QuotaLimit, QuotaRequest } from './quota-counter.js';

/** A request that was granted, for giving it back. */
export interface QuotaToken {
  readonly tenant: string;
  /** Time before which it was not granted. */
  readonly requestedAt: number;
}

/** Whether a request may be made. */
export type QuotaDecision =
  | { readonly type: 'granted'; readonly token: QuotaToken }
  /** The tenant is over its limit. */
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** The node that counts was not reached in time. */
  | { readonly type: 'uncounted' };

/** Takes a decision, once. */
export type OnQuotaDecision = (decision: QuotaDecision) => void;

interface Batch {
  readonly requestedAt: number;
  count: number;
}

interface WaitingRequest {
  readonly since: number;
  readonly onDecision: OnQuotaDecision;
}

interface Share {
  limit: QuotaLimit;
  readonly batches: Batch[];
  readonly waiting: WaitingRequest[];
  /** How many of those that wait the question under way is about. */
  requestedCount: number;
  returned: number;
  readonly demand: DemandMeter;
}

/** Time that a request waits for a grant, in milliseconds. */
const MAX_WAIT_MS = 1_000;
/** Time for which a node asks ahead, in milliseconds. */
const LOOKAHEAD_MS = 500;
const MS_PER_SECOND = 1_000;

/** What the operators allow beyond the limits, which covers grants that are used late. */
export interface QuotaAllowance {
  /** Window over which requests are counted, in milliseconds. */
  readonly windowMs: number;
  /** Share of what the limit lets through in a window. */
  readonly overshoot: number;
  /** Requests in a window. */
  readonly slack: number;
}

/** Part of the allowance that is used. */
const ALLOWANCE_SHARE = 0.8;
/** Longest life of a grant, in milliseconds. */
const MAX_GRANT_LIFETIME_MS = 3_000;

/**
 * Life of a grant, in milliseconds. A window of length W holds grants of W and of one life before it: at
 * the rate of the limit, as many more as the allowance covers.
 */
export function grantLifetimeMs(limit: QuotaLimit, allowance: QuotaAllowance): number {
  const { requestsPerSecond, burst } = limit;
  const { windowMs, overshoot, slack } = allowance;
  const perWindow = (requestsPerSecond * windowMs) / MS_PER_SECOND + burst;
  const allowedExcess = overshoot * perWindow + slack;
  const lifetimeMs = (ALLOWANCE_SHARE * allowedExcess * MS_PER_SECOND) / requestsPerSecond;
  return Math.min(MAX_GRANT_LIFETIME_MS, lifetimeMs);
}

/** See the module comment. */
export class QuotaShare {
  private readonly shares = new Map<string, Share>();
  /** Tenants of which requests wait. */
  private readonly waitingTenants = new Set<string>();

  constructor(
    /** Monotonic time that also counts suspensions, in milliseconds. */
    private readonly now: () => number,
    private readonly allowance: () => QuotaAllowance,
  ) {}

  /** Whether requests wait for a grant. */
  get isWaiting(): boolean {
    return this.waitingTenants.size > 0;
  }

  /**
   * Decides on a request, at once when a grant is in stock.
   *
   * @returns ends the wait without a decision
   */
  admit(tenant: string, limit: QuotaLimit, onDecision: OnQuotaDecision): () => void {
    const share = this.shareOf(tenant, limit);
    share.demand.note(this.now());
    const batch = this.firstValidBatch(share);
    if (batch !== undefined) {
      batch.count -= 1;
      onDecision({ type: 'granted', token: { tenant, requestedAt: batch.requestedAt } });
      return () => {};
    }
    const waiting = { since: this.now(), onDecision };
    share.waiting.push(waiting);
    this.waitingTenants.add(tenant);
    return () => {
      const index = share.waiting.indexOf(waiting);
      if (index < 0) return;
      share.waiting.splice(index, 1);
      if (index < share.requestedCount) share.requestedCount -= 1;
      this.updateWaitingTenants(tenant, share);
    };
  }

  /** A granted request was not made. */
  giveBack({ tenant, requestedAt }: QuotaToken): void {
    const share = this.shares.get(tenant);
    if (share === undefined) return;
    if (this.isValid(share, requestedAt)) share.batches.push({ requestedAt, count: 1 });
    else share.returned += 1;
  }

  /**
   * What is to be asked now; empty: nothing. The answer goes to {@link onGrants}. What is expected is asked
   * for together with what waits: a question of its own would wake both nodes once more.
   */
  createRequests(): readonly QuotaRequest[] {
    return [...this.waitingTenants].map((tenant) =>
      this.createRequest(tenant, this.shares.get(tenant)!),
    );
  }

  /** @param requestedAt time before which the requests were not granted */
  onGrants(grants: readonly QuotaGrant[], requestedAt: number): void {
    for (const grant of grants) {
      const share = this.shares.get(grant.tenant);
      if (share !== undefined) this.onGrant(share, grant, requestedAt);
    }
  }

  /** The question was not answered; what waits is asked for again. */
  onNoAnswer(): void {
    for (const share of this.shares.values()) share.requestedCount = 0;
  }

  /** Ends waits that have lasted too long. */
  endWaits(): void {
    for (const tenant of [...this.waitingTenants]) {
      const share = this.shares.get(tenant)!;
      const { waiting } = share;
      while (waiting.length > 0 && this.now() - waiting[0]!.since >= MAX_WAIT_MS) {
        share.requestedCount = Math.max(0, share.requestedCount - 1);
        waiting.shift()!.onDecision({ type: 'uncounted' });
      }
      this.updateWaitingTenants(tenant, share);
    }
  }

  private onGrant(share: Share, grant: QuotaGrant, requestedAt: number): void {
    const { tenant, retryAfterMs } = grant;
    const batch = { requestedAt, count: grant.granted };
    const decided = share.waiting.splice(0, share.requestedCount);
    share.requestedCount = 0;
    this.updateWaitingTenants(tenant, share);
    const isValid = this.isValid(share, requestedAt);
    if (isValid && batch.count > 0) share.batches.push(batch);
    for (const { onDecision } of decided) {
      if (isValid && batch.count > 0) {
        batch.count -= 1;
        onDecision({ type: 'granted', token: { tenant, requestedAt } });
      } else {
        onDecision(isValid ? { type: 'refused', retryAfterMs } : { type: 'uncounted' });
      }
    }
    if (!isValid) share.returned += grant.granted;
  }

  private createRequest(tenant: string, share: Share): QuotaRequest {
    const { waiting, returned } = share;
    const ahead = share.demand.expected(this.now());
    share.requestedCount = waiting.length;
    share.returned = 0;
    return { tenant, waiting: waiting.length, ahead, returned };
  }

  private shareOf(tenant: string, limit: QuotaLimit): Share {
    let share = this.shares.get(tenant);
    if (share === undefined) {
      const demand = new DemandMeter();
      share = { limit, batches: [], waiting: [], requestedCount: 0, returned: 0, demand };
      this.shares.set(tenant, share);
    }
    share.limit = limit;
    return share;
  }

  private updateWaitingTenants(tenant: string, { waiting }: Share): void {
    if (waiting.length === 0) this.waitingTenants.delete(tenant);
  }

  private firstValidBatch(share: Share): Batch | undefined {
    this.dropExpired(share);
    return share.batches[0];
  }

  private dropExpired(share: Share): void {
    const { batches } = share;
    for (let index = batches.length - 1; index >= 0; index -= 1) {
      const { count, requestedAt } = batches[index]!;
      if (count > 0 && this.isValid(share, requestedAt)) continue;
      share.returned += count;
      batches.splice(index, 1);
    }
  }

  private isValid({ limit }: Share, requestedAt: number): boolean {
    return this.now() - requestedAt < grantLifetimeMs(limit, this.allowance());
  }
}

/** Requests of one tenant at this node in the present and the last stretch of time. */
class DemandMeter {
  private interval = -Infinity;
  private current = 0;
  private previous = 0;

  note(now: number): void {
    this.advance(now);
    this.current += 1;
  }

  /** Requests that are expected in the next stretch. */
  expected(now: number): number {
    this.advance(now);
    return Math.max(this.current, this.previous);
  }

  private advance(now: number): void {
    const interval = Math.floor(now / LOOKAHEAD_MS);
    if (interval === this.interval) return;
    this.previous = interval === this.interval + 1 ? this.current : 0;
    this.current = 0;
    this.interval = interval;
  }
}
