/** Port for sending attempts: to the local target, or over a link to another target's sidecar. */
import type { AttemptCall, AttemptEnd, AttemptFailure } from './link-messages.js';
import type { Execution, ResultCode } from '../../core/result-code.js';
import type { AttemptOutcome } from '../../core/request.js';

/**
 * Cancels an attempt.
 *
 * @returns whether the target may have run it; false: the target has not run it and never will
 */
export type CancelAttempt = () => boolean;

export interface AttemptPort {
  /**
   * Sends one attempt.
   *
   * @param onEnd called exactly once, possibly before this returns, unless the attempt is cancelled first
   * @returns cancels the attempt and aborts its exchange with the target
   */
  dispatch(call: AttemptCall, onEnd: (end: AttemptEnd) => void): CancelAttempt;
}

/** Creates the failure of an attempt that was never offered to a target. */
export function createNotOfferedFailure(
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

/** Creates a failure; omits `retryAfterMs` when it is undefined. */
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
