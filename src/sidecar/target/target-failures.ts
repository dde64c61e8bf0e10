/** Failures of attempts at the local target. */
import { meansNotRun } from '../../core/http-status.js';
import type { AttemptOutcome } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';
import { createAttemptFailure, createNotOfferedFailure } from '../link/attempt-port.js';
import type { AttemptFailure } from '../link/link-messages.js';
import type { ExchangeEnd } from './target-client.js';

/** Status of an answer of another target than the requested one. */
export const MISDIRECTED_REQUEST = 421;
const LEAVING_RETRY_AFTER_MS = 50;
const UNREGISTERED_RETRY_AFTER_MS = 500;

/** Refusal while no target has registered. */
export function createUnregisteredFailure(): AttemptFailure {
  const code = ResultCode.NoTargetAvailable;
  return createNotOfferedFailure(
    'unreachable',
    code,
    'no target has registered',
    UNREGISTERED_RETRY_AFTER_MS,
  );
}

/** Refusal while the target or its node leaves. */
export function createLeavingFailure(): AttemptFailure {
  const code = ResultCode.NoTargetAvailable;
  return createNotOfferedFailure('draining', code, 'the target is leaving', LEAVING_RETRY_AFTER_MS);
}

/**
 * The failure that an answer of the target stands for; undefined: the answer is passed on.
 *
 * @param isRefusal whether the answer says that the target did not run the request
 */
export function failureOfAnswer(
  status: number,
  isRefusal: boolean,
  idempotent: boolean,
): AttemptFailure | undefined {
  if (isRefusal || status === MISDIRECTED_REQUEST) return createRefusedByTargetFailure(status);
  if (!idempotent && meansNotRun(status)) return createUnconfirmedRefusalFailure(status);
  return undefined;
}

/** Failure of an attempt that the target has refused by itself. */
function createRefusedByTargetFailure(status: number): AttemptFailure {
  const outcome: AttemptOutcome = status === MISDIRECTED_REQUEST ? 'unreachable' : 'overloaded';
  return createAttemptFailure({
    outcome,
    execution: 'not-run',
    code: ResultCode.TargetRefused,
    detail: `the target refused with status ${status}`,
    offered: true,
  });
}

/**
 * Failure of an attempt that may not run twice and whose answer has a status that callers take for a promise that
 * it has not run, while the target has not said so.
 */
function createUnconfirmedRefusalFailure(status: number): AttemptFailure {
  return createAttemptFailure({
    outcome: 'failed',
    execution: 'unknown',
    code: ResultCode.OutcomeUnknown,
    detail: `the target answered with status ${status} and may have run the request`,
    offered: true,
  });
}

const FAILURE_CODES = {
  unreachable: ResultCode.TargetUnreachable,
  broken: ResultCode.AnswerIncomplete,
  timeout: ResultCode.AnswerTimeout,
} as const;

const FAILURE_OUTCOMES = {
  unreachable: 'unreachable',
  broken: 'failed',
  timeout: 'timeout',
} as const;

/** Failure of an attempt whose exchange with the target has failed. */
export function toFailure({
  cause,
  detail,
  sent,
}: Extract<ExchangeEnd, { type: 'failure' }>): AttemptFailure {
  return createAttemptFailure({
    outcome: FAILURE_OUTCOMES[cause],
    execution: sent ? 'unknown' : 'not-run',
    code: FAILURE_CODES[cause],
    detail,
    offered: sent,
  });
}
