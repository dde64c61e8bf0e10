/** Options of the emulated callers. */
import type { EmulatedNode } from './emulated-node.js';

/** How callers retry a request. */
export interface CallerBehaviour {
  /** Maximum number of caller attempts of one request, the first included. */
  readonly tries: number;
  /** Timeout of one caller attempt, as a share of the kind's deadline. */
  readonly tryTimeoutShare: number;
  /** Delay before a retry, in milliseconds. */
  readonly backoffMs: number;
  /** Whether a retry waits for the retry time that a refusal gives. */
  readonly honoursRetryAfter: boolean;
  /** Time until callers notice that their zone is lost, in milliseconds. */
  readonly failoverMs: number;
}

/** Load, timing and entry nodes of the callers of one run. */
export interface CallersOptions {
  readonly behaviour: CallerBehaviour;
  readonly seed: number;
  /** Requests per second of a kind at a time. */
  readonly rateOf: (kindIndex: number, now: number) => number;
  /** Highest rate of a kind over the run. */
  readonly peakRateOf: (kindIndex: number) => number;
  /** Time from which no new request is sent. */
  readonly endMs: number;
  /** Returns the entry node for a caller of a zone; `undefined` while it sends into a lost zone. */
  readonly entryNode: (zoneIndex: number, choice: number) => EmulatedNode | undefined;
}
