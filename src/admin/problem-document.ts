/** Problem documents (RFC 9457) for requests to the admin port that are not remote calls. */
import type { Response } from 'express';
import type { Failure } from '../core/failure.js';
import { describeResultCode } from '../core/result-code.js';
import { RESULT_HEADER } from './connect-error.js';

export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

export function toProblemDocument(failure: Failure): Record<string, unknown> {
  const { title, httpStatus } = describeResultCode(failure.code);
  const { code, detail, execution } = failure;
  return { type: 'about:blank', title, status: httpStatus, code, detail, execution };
}

/** Responds to a request with a problem document. */
export function sendProblem(response: Response, failure: Failure): void {
  const document = toProblemDocument(failure);
  response
    .status(describeResultCode(failure.code).httpStatus)
    .set(RESULT_HEADER, String(failure.code))
    .type(PROBLEM_MEDIA_TYPE)
    .send(JSON.stringify(document));
}

/** Formats a complete HTTP/1.1 response to bytes that are not a valid HTTP request. */
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
