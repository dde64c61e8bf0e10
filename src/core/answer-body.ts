/** What the head of an HTTP answer says about its body (RFC 9110, section 6.4.1). */

/** Statuses whose answers have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** The head of an answer as Node's HTTP client reads it. */
export interface AnswerHead {
  readonly statusCode?: number | undefined;
  /** Fields by name in lower case. */
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Whether answers with this status have a body, unless the request was a HEAD. */
export function hasBody(status: number): boolean {
  return !STATUSES_WITHOUT_BODY.has(status);
}

/**
 * Whether the head says where the answer ends. An answer that ends with its connection cannot be
 * distinguished from one that was cut off: both end with a plain close (see
 * docs/design/new-machines.md).
 *
 * @param method of the request
 */
export function hasKnownLength(method: string, { statusCode, headers }: AnswerHead): boolean {
  if (method === 'HEAD' || !hasBody(statusCode ?? 0)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
