/** Answers to callers that the node itself makes: refusals and failures as problem documents (RFC 9457). */
import type { Failure } from '../../core/failure.js';
import { meansNotRun } from '../../core/http-status.js';
import { describeResultCode, ResultCode } from '../../core/result-code.js';
import type { RawFields } from '../link/link-messages.js';

const MS_PER_SECOND = 1_000;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;

/** An answer made by the node itself. */
export interface ProblemAnswer {
  readonly status: number;
  readonly fields: RawFields;
  readonly body: Buffer;
}

/**
 * Builds the answer for a failure. A status that means that the request was not run is used
 * only when that is certain.
 */
export function createProblemAnswer(failure: Failure): ProblemAnswer {
  const { code, title } = describeResultCode(failure.code);
  const status = statusOf(failure);
  const { detail, execution, retryAfterMs } = failure;
  const document = { type: `urn:sillshore:result:${code}`, title, status, detail, code, execution };
  const fields = [
    'Content-Type',
    'application/problem+json',
    'Sillshore-Result',
    String(code),
    'Sillshore-Execution',
    execution,
  ];
  if (retryAfterMs !== undefined && execution === 'not-run') {
    fields.push('Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3));
  }
  return { status, fields, body: Buffer.from(JSON.stringify(document)) };
}

function statusOf({ code, execution }: Failure): number {
  const { httpStatus } = describeResultCode(code);
  if (execution === 'not-run') {
    // Invalid input keeps its own status. Any other request that was not run may be retried.
    return httpStatus < 500 && code !== ResultCode.Cancelled ? httpStatus : UNAVAILABLE;
  }
  return meansNotRun(httpStatus) ? BAD_GATEWAY : httpStatus;
}
