/** Problem documents (RFC 9457) of the administration port outside of its remote calls. */
import type { Response } from 'express';
import type { Failure } from '../core/failure.js';
import { describeResultCode } from '../core/result-code.js';
import { RESULT_HEADER } from './connect-error.js';

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** The problem document of a failure. */
export function toProblemDocument(failure: Failure): Record<string, unknown> {
  const { title, httpStatus } = describeResultCode(failure.code);
  const { code, detail, execution } = failure;
  return { type: 'about:blank', title, status: httpStatus, code, detail, execution };
}

/** Answers a request with a problem document. */
export function sendProblem(response: Response, failure: Failure): void {
  const document = toProblemDocument(failure);
  response
    .status(describeResultCode(failure.code).httpStatus)
    .set(RESULT_HEADER, String(failure.code))
    .type(PROBLEM_MEDIA_TYPE)
    .send(JSON.stringify(document));
}

/** The whole HTTP/1.1 answer to bytes that are no HTTP request. */
export function formatRawProblem(failure: Failure): string {
  const body = JSON.stringify(toProblemDocument(failure));
  const { httpStatus } = describeResultCode(failure.code);
  const lines = [
    `HTTP/1.1 ${httpStatus} Error`,
    'Connection: close',
    `Content-Type: ${PROBLEM_MEDIA_TYPE}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    `${RESULT_HEADER}: ${failure.code}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
