/** Ends of attempts as the calling side sees them. */
import type { Refusal } from '../core/overload.js';
import type { AttemptOutcome, LoadReport } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';

/** The end of one attempt, as the calling node learns it. */
export interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  /** Whether a complete answer came and it was not an error answer. */
  readonly complete: boolean;
  readonly code: ResultCode;
  readonly load: LoadReport | undefined;
  readonly retryAfterMs: number | undefined;
  readonly mayHaveRun: boolean;
  readonly attemptsUsed: number;
}

/** No answer came: everything that was granted counts as used. */
export function unanswered(
  outcome: 'timeout' | 'failed',
  code: ResultCode,
  attemptsUsed: number,
): AttemptEnd {
  const load = undefined;
  const retryAfterMs = undefined;
  return { outcome, complete: false, code, load, retryAfterMs, mayHaveRun: true, attemptsUsed };
}

/** The refusal of a call whose attempts are used up. */
export function attemptsExhausted(): Refusal {
  return { code: ResultCode.AttemptsExhausted, detail: 'no attempts left', retryAfterMs: 0 };
}
