/**
 * Counts tenants' requests for all nodes, with one token bucket per tenant from which nodes are granted
 * requests in batches. A counter begins with empty buckets, so that one that takes over never adds to what
 * its predecessor granted.
 */

import { RetrySchedule } from '../retry/retry-schedule.js';

/** Requests that a tenant may make over all nodes together. */
export interface QuotaLimit {
  readonly requestsPerSecond: number;
  /** Requests that may come at once after a time with fewer. */
  readonly burst: number;
}

/** A node's request for grants for one tenant. */
export interface QuotaRequest {
  readonly tenant: string;
  /** Requests that wait for the reply. */
  readonly waiting: number;
  /** Requests that are expected soon. */
  readonly ahead: number;
  /** Granted requests that were not made. */
  readonly returned: number;
}

/** The reply for one tenant. */
export interface QuotaGrant {
  readonly tenant: string;
  /** Requests that may be made; those that wait come first. */
  readonly granted: number;
  /** Time until the waiting requests that were not granted can be made, in milliseconds. */
  readonly retryAfterMs: number;
}

interface Bucket {
  tokens: number;
  /** Time up to which tokens have been added. */
  filledAt: number;
  readonly retries: RetrySchedule;
}

const MS_PER_SECOND = 1_000;
/** Share of the burst that is kept for waiting requests. */
const WAITING_RESERVE_SHARE = 0.5;
/** Smallest capacity of a bucket, in requests; with a lower one, small tenants could make none. */
const MIN_BURST = 1;
/** Longest retry time for refused callers, in milliseconds. */
const MAX_RETRY_AFTER_MS = 5_000;

/** Token buckets of all tenants; times are those of a monotonic clock, in milliseconds. */
export class QuotaCounter {
  private readonly buckets = new Map<string, Bucket>();

  constructor(private readonly startedAt: number) {}

  /** Grants as many requests as the tenant's bucket allows. */
  grant(now: number, request: QuotaRequest, limit: QuotaLimit): QuotaGrant {
    const bucket = this.refill(now, request, limit);
    const forWaiting = Math.min(request.waiting, Math.floor(bucket.tokens));
    bucket.tokens -= forWaiting;
    const forExpected =
      forWaiting < request.waiting ? 0 : spareTokens(bucket, request.ahead, limit);
    bucket.tokens -= forExpected;
    const refused = request.waiting - forWaiting;
    const retryAfterMs =
      refused === 0 ? 0 : bucket.retries.next(now, refused, limit.requestsPerSecond);
    return { tenant: request.tenant, granted: forWaiting + forExpected, retryAfterMs };
  }

  private refill(now: number, { tenant, returned }: QuotaRequest, limit: QuotaLimit): Bucket {
    let bucket = this.buckets.get(tenant);
    if (bucket === undefined) {
      const retries = new RetrySchedule(MAX_RETRY_AFTER_MS);
      bucket = { tokens: 0, filledAt: this.startedAt, retries };
      this.buckets.set(tenant, bucket);
    }
    const added = ((now - bucket.filledAt) * limit.requestsPerSecond) / MS_PER_SECOND;
    const capacity = Math.max(MIN_BURST, limit.burst);
    bucket.tokens = Math.min(capacity, bucket.tokens + added + returned);
    bucket.filledAt = now;
    return bucket;
  }
}

function spareTokens({ tokens }: Bucket, wanted: number, { burst }: QuotaLimit): number {
  return Math.max(0, Math.min(wanted, Math.floor(tokens - burst * WAITING_RESERVE_SHARE)));
}
