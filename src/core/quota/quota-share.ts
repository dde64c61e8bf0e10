/**
 * A node's share of tenants' limits: requests that were granted to it in batches and not made yet, and
 * requests that wait for a grant. Grants expire, so that what a disconnected node holds is bounded.
 */
import type { QuotaGrant, QuotaLimit, QuotaRequest } from './quota-counter.js';

/** A granted request, which can be returned. */
export interface QuotaToken {
  readonly tenant: string;
  /** When the grant was requested: it was not granted earlier. */
  readonly requestedAt: number;
}

/** Whether a request may be made. */
export type QuotaDecision =
  | { readonly type: 'granted'; readonly token: QuotaToken }
  /** The tenant is over its limit. */
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** The node that counts did not reply in time. */
  | { readonly type: 'uncounted' };

/** Receives the decision, once. */
export type OnQuotaDecision = (decision: QuotaDecision) => void;

interface Batch {
  readonly requestedAt: number;
  count: number;
}

interface WaitingAdmission {
  readonly since: number;
  readonly onDecision: OnQuotaDecision;
}

interface Share {
  limit: QuotaLimit;
  readonly batches: Batch[];
  readonly waiting: WaitingAdmission[];
  /** Number of waiting requests that the outstanding quota request covers. */
  requestedCount: number;
  returned: number;
  readonly demand: DemandMeter;
}

/** Longest time that a request waits for a grant, in milliseconds. */
const MAX_WAIT_MS = 1_000;
/** Time ahead for which a node requests grants, in milliseconds. */
const LOOKAHEAD_MS = 500;
const MS_PER_SECOND = 1_000;

/** Excess over the limits that operators allow; it covers grants that are used late. */
export interface QuotaAllowance {
  /** Window over which requests are counted, in milliseconds. */
  readonly windowMs: number;
  /** Allowed excess, as a share of what the limit admits in a window. */
  readonly overshoot: number;
  /** Further allowed excess, in requests per window. */
  readonly slack: number;
}

/** Share of the allowance that grants use. */
const ALLOWANCE_SHARE = 0.8;
/** Longest lifetime of a grant, in milliseconds. */
const MAX_GRANT_LIFETIME_MS = 3_000;

/**
 * Lifetime of a grant, in milliseconds. A window can contain requests granted in it or one lifetime before
 * it. At the rate of the limit, the allowance covers the requests of that additional lifetime.
 */
export function grantLifetimeMs(limit: QuotaLimit, allowance: QuotaAllowance): number {
  const { requestsPerSecond, burst } = limit;
  const { windowMs, overshoot, slack } = allowance;
  const perWindow = (requestsPerSecond * windowMs) / MS_PER_SECOND + burst;
  const allowedExcess = overshoot * perWindow + slack;
  const lifetimeMs = (ALLOWANCE_SHARE * allowedExcess * MS_PER_SECOND) / requestsPerSecond;
  return Math.min(MAX_GRANT_LIFETIME_MS, lifetimeMs);
}

/** Granted and waiting requests of one node, by tenant. */
export class QuotaShare {
  private readonly shares = new Map<string, Share>();
  /** Tenants with waiting requests. */
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
   * Decides on a request, at once when a granted one is left.
   *
   * @returns a function that ends the wait without a decision
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

  /** Returns a granted request that was not made. */
  returnGrant({ tenant, requestedAt }: QuotaToken): void {
    const share = this.shares.get(tenant);
    if (share === undefined) return;
    if (this.isValid(share, requestedAt)) share.batches.push({ requestedAt, count: 1 });
    else share.returned += 1;
  }

  /**
   * Creates quota requests for the node that counts; empty when no request waits. The reply goes to
   * {@link onGrants}. Expected requests are included, because a separate message for them would wake both
   * nodes once more.
   */
  createRequests(): readonly QuotaRequest[] {
    return [...this.waitingTenants].map((tenant) =>
      this.createRequest(tenant, this.shares.get(tenant)!),
    );
  }

  /** @param requestedAt when the grants were requested */
  onGrants(grants: readonly QuotaGrant[], requestedAt: number): void {
    for (const grant of grants) {
      const share = this.shares.get(grant.tenant);
      if (share !== undefined) this.onGrant(share, grant, requestedAt);
    }
  }

  /** The quota request got no reply; grants for waiting requests are requested again. */
  onNoReply(): void {
    for (const share of this.shares.values()) share.requestedCount = 0;
  }

  /** Ends waits that have lasted too long, with the decision `uncounted`. */
  expireWaits(): void {
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

/** Requests of one tenant at this node in the current and the previous interval. */
class DemandMeter {
  private interval = -Infinity;
  private current = 0;
  private previous = 0;

  note(now: number): void {
    this.advance(now);
    this.current += 1;
  }

  /** Requests that are expected in the next interval. */
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
