/** Converts the result of a back-end call to the result of the attempt. Pure. */
import type { AttemptResult } from '../core/attempt.js';
import { createFailure } from '../core/failure.js';
import { forwardAnswerFields } from '../core/forwarded-fields.js';
import { findHeader, type HttpAnswer } from '../core/http-message.js';
import type { AttemptOutcome, LoadReport } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';
import type { BackendErrorCause, BackendResult } from './backend-client.js';

/** Field by which a back end reports that it is leaving or sheds load. */
const BACKEND_STATE_FIELD = 'backend-state';
const SERVICE_UNAVAILABLE = 503;
const DEFAULT_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_SECONDS = 3_600;

const OUTCOMES: Readonly<Record<BackendErrorCause, AttemptOutcome>> = {
  unreachable: 'unreachable',
  withdrawn: 'cancelled',
  failed: 'failed',
  timeout: 'timeout',
  cancelled: 'cancelled',
  'too-large': 'failed',
  'buffer-exhausted': 'failed',
};

/** Whether an answer says that the back end is leaving, whatever its status. */
export function saysDraining(result: BackendResult): boolean {
  return result.type === 'answer' && backendState(result.answer) === 'draining';
}

/** Returns how the attempt ended. */
export function outcomeOf(result: BackendResult): AttemptOutcome {
  if (result.type === 'failure') return OUTCOMES[result.cause];
  if (!isRefusal(result.answer)) return 'success';
  return backendState(result.answer) === 'draining' ? 'draining' : 'overloaded';
}

/** Returns the result of the attempt. A request refused by the back end itself was not run. */
export function toAttemptResult(
  result: BackendResult,
  attemptsUsed: number,
  load: LoadReport,
): AttemptResult {
  const end = { attemptsUsed, load, outcome: outcomeOf(result) };
  if (result.type === 'failure') return { type: 'failure', failure: result.failure, ...end };
  if (!isRefusal(result.answer)) {
    const { status, headers, body } = result.answer;
    const answer = { status, headers: forwardAnswerFields(headers), body };
    return { type: 'answer', answer, ...end };
  }
  const detail = `the back end refused with Backend-State ${backendState(result.answer) ?? ''}`;
  const failure = createFailure(ResultCode.TargetRefused, detail, {
    execution: 'not-run',
    retryAfterMs: retryAfterOf(result.answer),
  });
  return { type: 'failure', failure, ...end };
}

function isRefusal(answer: HttpAnswer): boolean {
  return answer.status === SERVICE_UNAVAILABLE && backendState(answer) !== undefined;
}

function backendState(answer: HttpAnswer): string | undefined {
  return findHeader(answer.headers, BACKEND_STATE_FIELD)?.trim().toLowerCase();
}

function retryAfterOf(answer: HttpAnswer): number {
  const seconds = Number(findHeader(answer.headers, 'retry-after') ?? Number.NaN);
  if (!Number.isFinite(seconds) || seconds < 0) return DEFAULT_RETRY_AFTER_MS;
  return Math.min(seconds, MAX_RETRY_AFTER_SECONDS) * 1_000;
}
