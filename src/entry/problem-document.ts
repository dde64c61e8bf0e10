/** Refusals and failures as problem documents (RFC 9457) with sillshore's fields. */
import type { Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { describeResultCode, ResultCode } from '../core/result-code.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** The JSON members of a problem document; docs/CALLERS.md describes them. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: number;
  readonly execution: string;
  readonly retryAfterMs?: number;
}

/** Builds the answer that a caller gets for a failure. */
export function toProblemAnswer(failure: Failure, nodeId: string): HttpAnswer {
  const entry = describeResultCode(failure.code);
  const { retryAfterMs } = failure;
  const document: ProblemDocument = {
    type: `urn:sillshore:result:${entry.code}`,
    title: entry.title,
    status: entry.httpStatus,
    detail: failure.detail,
    code: entry.code,
    execution: failure.execution,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) }),
  };
  const headers: [string, string][] = [
    ['Content-Type', 'application/problem+json'],
    ['Sillshore-Result', String(entry.code)],
    ['Sillshore-Execution', failure.execution],
    ['Proxy-Status', `${nodeId}; error=${proxyErrorOf(entry.code)}`],
  ];
  if (retryAfterMs !== undefined) {
    headers.push(['Retry-After', String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND))]);
  }
  return { status: entry.httpStatus, headers, body: Buffer.from(JSON.stringify(document)) };
}

/** Error types of RFC 9209, section 2.3, where one fits. */
const PROXY_ERRORS: ReadonlyMap<ResultCode, string> = new Map([
  [ResultCode.UnknownService, 'destination_not_found'],
  [ResultCode.UnknownKind, 'http_request_denied'],
  [ResultCode.MalformedRequest, 'http_request_error'],
  [ResultCode.BodyTooLarge, 'http_request_error'],
  [ResultCode.InvalidField, 'http_request_error'],
  [ResultCode.BodyIncomplete, 'http_request_error'],
  [ResultCode.RequestReadTimeout, 'http_request_error'],
  [ResultCode.IdempotencyKeyRequired, 'http_request_error'],
  [ResultCode.IdempotencyKeyReused, 'http_request_error'],
  [ResultCode.CallContextRequired, 'http_request_error'],
  [ResultCode.NoTargetAvailable, 'destination_unavailable'],
  [ResultCode.TargetRefused, 'destination_unavailable'],
  [ResultCode.TargetUnreachable, 'connection_refused'],
  [ResultCode.AnswerIncomplete, 'http_response_incomplete'],
  [ResultCode.AnswerTimeout, 'http_response_timeout'],
  [ResultCode.DeadlineExceeded, 'http_response_timeout'],
  [ResultCode.AnswerTooLarge, 'http_response_body_size'],
  [ResultCode.ConcurrencyLimitReached, 'connection_limit_reached'],
  [ResultCode.PeerLost, 'connection_terminated'],
]);

function proxyErrorOf(code: ResultCode): string {
  const known = PROXY_ERRORS.get(code);
  if (known !== undefined) return known;
  return describeResultCode(code).httpStatus >= 500
    ? 'proxy_internal_error'
    : 'http_request_denied';
}
