/** How callers behave, and what they need of the run. */
import type { EmulatedNode } from './emulated-node.js';

/** How callers repeat a request. */
export interface CallerBehaviour {
  /** Most tries of one request, the first included. */
  readonly tries: number;
  /** Part of the kind's deadline that one try waits before it is repeated. */
  readonly tryTimeoutShare: number;
  /** Wait before a repeat, in milliseconds. */
  readonly backoffMs: number;
  /** Whether a repeat waits for the retry time of a refusal. */
  readonly honoursRetryAfter: boolean;
  /** Time after which callers know that their zone is lost, in milliseconds. */
  readonly failoverMs: number;
}

/** What the callers need of the run. */
export interface CallersOptions {
  readonly behaviour: CallerBehaviour;
  readonly seed: number;
  /** Requests per second of a kind at a time. */
  readonly rateOf: (kindIndex: number, now: number) => number;
  /** Highest rate of a kind over the run. */
  readonly peakRateOf: (kindIndex: number) => number;
  /** No request is sent from here on. */
  readonly endMs: number;
  /** The node a caller of a zone uses now, or `undefined` when its zone has just been lost. */
  readonly entryNode: (zoneIndex: number, choice: number) => EmulatedNode | undefined;
}
