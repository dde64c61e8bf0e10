/** Results of attempts that were not dispatched. */
import type { AttemptResult } from '../core/attempt.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { AttemptOutcome, LoadReport } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';

/** Time after which a retry at another target is worthwhile; short, for lack of a better value. */
const RETRY_AFTER_MS = 50;

/** Creates the result of an attempt that was never dispatched. */
export function notDispatched(
  outcome: AttemptOutcome,
  failure: Failure,
  load?: LoadReport,
): AttemptResult {
  const end = { type: 'failure', outcome, failure, attemptsUsed: 0 } as const;
  return load === undefined ? end : { ...end, load };
}

/** The target is leaving. */
export function refusedByLeavingTarget(target: string): AttemptResult {
  const options = { execution: 'not-run', retryAfterMs: RETRY_AFTER_MS } as const;
  const failure = createFailure(ResultCode.TargetRefused, `target ${target} is leaving`, options);
  return notDispatched('draining', failure);
}

/** The mailbox of the target's task is full. */
export function refusedByFullMailbox(target: string): AttemptResult {
  const detail = `mailbox of target ${target} is full`;
  const failure = createFailure(ResultCode.MailboxFull, detail, { retryAfterMs: RETRY_AFTER_MS });
  return notDispatched('overloaded', failure);
}

/** The caller went away while the attempt waited. */
export function cancelledWhileWaiting(): AttemptResult {
  const options = { execution: 'not-run' } as const;
  return notDispatched('cancelled', createFailure(ResultCode.Cancelled, 'cancelled', options));
}

/** The deadline or the time limit of the claim passed before the dispatch. */
export function tooLateToDispatch(): AttemptResult {
  const detail = 'the deadline or the time limit of the claim passed before the dispatch';
  const options = { execution: 'not-run' } as const;
  const failure = createFailure(ResultCode.DeadlineExceeded, detail, options);
  return notDispatched('cancelled', failure);
}
