/** Where tries of requests are sent: the own target, or a link to the node beside another. */
import type { AttemptCall, AttemptEnd, AttemptFailure } from './link-messages.js';
import type { Execution, ResultCode } from '../../core/result-code.js';
import type { AttemptOutcome } from '../../core/request.js';

/**
 * Cancels a try.
 *
 * @returns whether the target may have run it; false: it has not and never will
 */
export type CancelTry = () => boolean;

/** Takes tries of requests. */
export interface AttemptPort {
  /**
   * Sends one try.
   *
   * @param onEnd called exactly once, possibly before this returns, unless it is cancelled first
   * @returns cancels the try; what it has begun at the target is broken off
   */
  dispatch(call: AttemptCall, onEnd: (end: AttemptEnd) => void): CancelTry;
}

/** Makes a failure of a try that was never offered to a target. */
export function createNotOffered(
  outcome: AttemptOutcome,
  code: ResultCode,
  detail: string,
  retryAfterMs?: number,
): AttemptFailure {
  return createAttemptFailure(
    { outcome, code, detail, execution: 'not-run', offered: false },
    retryAfterMs,
  );
}

/** Makes a failure; `retryAfterMs` is left out when undefined. */
export function createAttemptFailure(
  parts: {
    readonly outcome: AttemptOutcome;
    readonly code: ResultCode;
    readonly detail: string;
    readonly execution: Execution;
    readonly offered: boolean;
  },
  retryAfterMs?: number,
): AttemptFailure {
  return { type: 'failure', ...parts, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}
