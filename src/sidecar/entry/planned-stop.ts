/**
 * Admission of requests during a planned stop. At first all requests are accepted, since callers do
 * not know of the stop yet; later only those that are sure to end before the node does. Requests that
 * could be cut off are refused while it is still certain that they have not run.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';

/** Time for callers to notice the stop and use other nodes, in milliseconds: two missed checks. */
export const LEAVING_PHASE_MS = 2_600;
/** Longest leaving phase as a share of the stop; applies to short stops. */
const MAX_LEAVING_SHARE = 0.5;
/**
 * Time for which the target accepts new work during a planned stop, in milliseconds. The node cannot
 * stop sooner, since callers need longer than this to notice the stop. The target keeps running, and
 * without this time each stop of a node would leave its target idle for that long.
 */
export const TARGET_ACCEPT_TIME_MS = 1_300;
/** Limit of this time as a share of the stop; applies to short stops. */
const MAX_TARGET_ACCEPT_SHARE = 0.25;
/** Time reserved at the end of a planned stop for the stop itself, in milliseconds. */
const STOP_MARGIN_MS = 800;
/** Limit of this time as a share of the stop; before it, callers may expect that running requests complete. */
const MAX_STOP_MARGIN_SHARE = 1 / 6;
/** Callers can use another node at once; this delay spreads those that arrive together. */
const RETRY_AFTER_MS = 200;

/** State of a planned stop. All times are monotonic, in milliseconds. */
export class PlannedStop {
  private refusingFrom = Infinity;
  private endAt = Infinity;

  /** @param endAt time at which all requests in progress are abandoned */
  begin(now: number, endAt: number): void {
    this.endAt = endAt;
    this.refusingFrom = now + Math.min(LEAVING_PHASE_MS, (endAt - now) * MAX_LEAVING_SHARE);
  }

  /** Whether callers have had time to move to other nodes. */
  isRefusing(now: number): boolean {
    return now >= this.refusingFrom;
  }

  isOver(now: number): boolean {
    return now >= this.endAt;
  }

  /** Refuses a request whose `deadline` is after the end of the stop; else returns undefined. */
  check(now: number, deadline: number): Failure | undefined {
    return this.isRefusing(now) && deadline > this.endAt ? createDrainingFailure() : undefined;
  }
}

/** Time for which the target accepts new work during a stop of this length, in milliseconds. */
export function targetAcceptTimeMs(stopMs: number): number {
  return Math.min(TARGET_ACCEPT_TIME_MS, stopMs * MAX_TARGET_ACCEPT_SHARE);
}

/** Time reserved for the stop itself at the end of a stop of this length, in milliseconds. */
export function stopMarginMs(stopMs: number): number {
  return Math.min(STOP_MARGIN_MS, stopMs * MAX_STOP_MARGIN_SHARE);
}

/** Failure of requests that are refused or abandoned because of the stop. */
export function createDrainingFailure(): Failure {
  const options = { execution: 'not-run', retryAfterMs: RETRY_AFTER_MS } as const;
  return createFailure(ResultCode.NodeDraining, 'planned stop', options);
}
