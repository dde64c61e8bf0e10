/** Ends of attempts as the calling node sees them. */
import type { Refusal } from '../core/overload.js';
import type { AttemptOutcome, LoadReport } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';

/** The end of one attempt, as reported to the calling node. */
export interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  /** Whether a complete answer arrived that was not an error answer. */
  readonly complete: boolean;
  readonly code: ResultCode;
  readonly load: LoadReport | undefined;
  readonly retryAfterMs: number | undefined;
  readonly mayHaveRun: boolean;
  readonly attemptsUsed: number;
}

/** Creates the end of an attempt without an answer; all granted attempts count as used. */
export function unanswered(
  outcome: 'timeout' | 'failed',
  code: ResultCode,
  attemptsUsed: number,
): AttemptEnd {
  const load = undefined;
  const retryAfterMs = undefined;
  return { outcome, complete: false, code, load, retryAfterMs, mayHaveRun: true, attemptsUsed };
}

/** Creates the refusal of a call whose attempts are used up. */
export function attemptsExhausted(): Refusal {
  return { code: ResultCode.AttemptsExhausted, detail: 'no attempts left', retryAfterMs: 0 };
}
