/** Interface of concurrency limits: how many requests one target may serve at a time. */
import type { AttemptOutcome } from '../request.js';

/** One dispatched request that has ended. */
export interface LimitSample {
  readonly now: number;
  /** Kind of the request. */
  readonly kind: string;
  /** From dispatch to the end, in milliseconds. */
  readonly latencyMs: number;
  readonly outcome: AttemptOutcome;
  /** Requests in flight just before this one ended, itself included. */
  readonly inFlight: number;
  /** Whether all slots were taken and requests were waiting when this one ended. */
  readonly queued: boolean;
}

/** A limit that may learn from completed requests. */
export interface ConcurrencyLimit {
  /** Requests that may be in flight at once; at least 1. */
  current(): number;
  /** Learns from one completed request. */
  onComplete(sample: LimitSample): void;
}
