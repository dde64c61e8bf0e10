/**
 * What a planned stop means for requests that come while it lasts: at first all are taken, since
 * callers have not heard of it; later only those that are sure to end before the node does. What
 * could be cut off is refused while it is known not to have run.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';

/** Time in which callers hear of the stop and go elsewhere, in milliseconds: two missed checks. */
export const LEAVING_PHASE_MS = 2_600;
/** The leaving phase takes no more than this share of a short stop. */
const MAX_LEAVING_SHARE = 0.5;
/**
 * Time for which the target takes new work in a planned stop, in milliseconds. Callers need longer
 * to hear of the stop, so that the node cannot end before; without it each stop of a node would
 * keep its target, which works on, idle for that time.
 */
export const TARGET_WORKS_ON_MS = 1_300;
/** The same as a share of a short stop. */
const MAX_WORK_SHARE = 0.25;
/** A caller can go to another node at once; this spreads those that come together. */
const RETRY_AFTER_MS = 200;

/** See the module comment; times are those of the monotonic clock, in milliseconds. */
export class PlannedStop {
  private refusingFrom = Infinity;
  private endAt = Infinity;

  /** @param endAt time at which all that is under way is given up */
  begin(now: number, endAt: number): void {
    this.endAt = endAt;
    this.refusingFrom = now + Math.min(LEAVING_PHASE_MS, (endAt - now) * MAX_LEAVING_SHARE);
  }

  /** Whether callers have had the time to go elsewhere. */
  isRefusing(now: number): boolean {
    return now >= this.refusingFrom;
  }

  isOver(now: number): boolean {
    return now >= this.endAt;
  }

  /** Refuses a request that may last until `deadline`, when that is too long; else undefined. */
  check(now: number, deadline: number): Failure | undefined {
    return this.isRefusing(now) && deadline > this.endAt ? createStopping() : undefined;
  }
}

/** Time for which the target takes new work in a stop of this length, in milliseconds. */
export function timeOfNewWork(stopMs: number): number {
  return Math.min(TARGET_WORKS_ON_MS, stopMs * MAX_WORK_SHARE);
}

/** The failure of requests that the stop ends. */
export function createStopping(): Failure {
  const options = { execution: 'not-run', retryAfterMs: RETRY_AFTER_MS } as const;
  return createFailure(ResultCode.NodeDraining, 'planned stop', options);
}
