/** Types that describe one request on its way through the call graph. */

/**
 * Importance of a request kind, most important first. Under overload a lower
 * class is refused before any request of a higher class at the same place.
 */
export const CRITICALITIES = ['critical', 'high', 'normal', 'sheddable'] as const;

/** One of {@link CRITICALITIES}. */
export type Criticality = (typeof CRITICALITIES)[number];

/** Rank of a class: 0 is the most important. */
export function rankOf(criticality: Criticality): number {
  return CRITICALITIES.indexOf(criticality);
}

/** Everything decision logic knows about one request. */
export interface RequestContext {
  /** Identity of the caller's request, unchanged across hops and retries. */
  readonly requestId: string;
  readonly tenant: string;
  readonly service: string;
  readonly kind: string;
  readonly criticality: Criticality;
  /** Absolute time after which an answer is useless, in ms of the local monotonic clock. */
  readonly deadline: number;
  /** Absolute time until which an answer has its full value; absent: until the deadline. */
  readonly dueAt?: number;
  /** Whether the request may be retried when it may already have run. */
  readonly idempotent: boolean;
  /** Service hops above this one; 0 at the caller's entry. */
  readonly depth: number;
  /** Whether a call of the same run, or of one above, was served; a refusal wastes that work. */
  readonly committed?: boolean;
}

/** How one attempt at a target ended, as admission, limits and routing see it. */
export type AttemptOutcome =
  /** A complete answer that was not a refusal. */
  | 'success'
  /** The target (or its fronting node) refused for load; not run. */
  | 'overloaded'
  /** The target said that it is leaving; not run. */
  | 'draining'
  /** The fronting node refused because the target has stated a request limit; not run. */
  | 'rate-limited'
  /** Connection failed before a byte was sent; not run. */
  | 'unreachable'
  /** Sent, but no complete answer: reset, truncated or lost. */
  | 'failed'
  /** Sent, but no answer before the deadline. */
  | 'timeout'
  /** The caller went away first. */
  | 'cancelled';

/** Load of one target, as its fronting node reports it on answers. */
export interface LoadReport {
  /** Requests being served now. */
  readonly inFlight: number;
  /** Requests waiting in the node's queue for the target. */
  readonly queued: number;
  /** Current adaptive concurrency limit. */
  readonly limit: number;
  /** Smoothed service latency in milliseconds. */
  readonly latencyMs: number;
  /**
   * Admission threshold for the whole path at and below the target: 0..1, where
   * requests with {@link admissionPriority} below the threshold would be refused.
   */
  readonly threshold: number;
  /** Share of recent attempts that were sent and not answered, 0 to 1; absent: not counted. */
  readonly failureShare?: number;
  /** Requests a second that the target takes from all nodes together, as it states; absent: no limit. */
  readonly requestLimit?: number;
  /** Service that lacks slots, at or below the target: it has a threshold, or has just refused requests. */
  readonly shortService?: string;
  /** How long work takes on the target's machine now, as it states; 1 is as usual; absent: not stated. */
  readonly slowdown?: number;
  /** Mean time of the kind of the answered request at this target, in milliseconds; absent: unknown. */
  readonly kindLatencyMs?: number;
}
