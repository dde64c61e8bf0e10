/** One HTTP exchange with the platform. Never retries; failures show whether an effect is possible. */
import { Agent } from 'node:http';
import { Agent as SecureAgent } from 'node:https';
import got, { RequestError, TimeoutError } from 'got';

/** How an exchange ended. */
export type ExchangeResult =
  /** A complete answer with a JSON body and status 200. */
  | { readonly type: 'answer'; readonly body: unknown }
  /** The service's rate limit was reached: not carried out. */
  | { readonly type: 'rate-limited'; readonly retryAfterMs?: number }
  /** The service rejected the request itself: not carried out. */
  | { readonly type: 'rejected'; readonly detail: string }
  /** No connection was established: not carried out. */
  | { readonly type: 'not-sent'; readonly detail: string }
  /** Sent, but no usable answer: may have been carried out. */
  | { readonly type: 'unclear'; readonly detail: string };

export interface ExchangeOptions {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly json?: unknown;
  /** Time limit of the whole exchange in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Each exchange opens its own connection: on a pooled one that the service has just closed, a write
 * would be `unclear` although it never arrived. Exchanges are rare enough to afford this.
 */
export const unpooledAgents = {
  http: new Agent({ keepAlive: false }),
  https: new SecureAgent({ keepAlive: false }),
};

const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;

/** gRPC status codes with which the service rejects a request before any effect. */
const REJECTING_GRPC_CODES: ReadonlySet<number> = new Set([
  3, // InvalidArgument
  5, // NotFound
  9, // FailedPrecondition
  12, // Unimplemented
  16, // Unauthenticated
]);
const GRPC_RESOURCE_EXHAUSTED = 8;

/** Codes of system errors that occur before a connection exists. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/** Runs one exchange; never rejects. */
export async function exchange(options: ExchangeOptions): Promise<ExchangeResult> {
  try {
    const response = await got(options.url, {
      method: options.method,
      ...(options.json !== undefined && { json: options.json }),
      timeout: { request: options.timeoutMs },
      retry: { limit: 0 },
      agent: unpooledAgents,
      throwHttpErrors: false,
      followRedirect: false,
      responseType: 'text',
    });
    return classifyAnswer(response.statusCode, response.headers['retry-after'], response.body);
  } catch (error) {
    return classifyError(error);
  }
}

/** Classifies a failed connection or stream of got. */
export function classifyError(error: unknown): ExchangeResult {
  const detail = error instanceof Error ? error.message : String(error);
  if (error instanceof TimeoutError && ['lookup', 'connect'].includes(error.event)) {
    return { type: 'not-sent', detail };
  }
  if (error instanceof RequestError && CONNECT_ERRORS.has(error.code)) {
    return { type: 'not-sent', detail };
  }
  return { type: 'unclear', detail };
}

/** Classifies a complete answer by its status and its gRPC-style error body. */
export function classifyAnswer(
  status: number,
  retryAfter: string | undefined,
  text: string,
): ExchangeResult {
  const body = parseJson(text);
  if (status === HTTP_OK && typeof body === 'object' && body !== null) {
    return { type: 'answer', body };
  }
  const grpcCode = readGrpcCode(body);
  if (status === HTTP_TOO_MANY_REQUESTS || grpcCode === GRPC_RESOURCE_EXHAUSTED) {
    const seconds = Number(retryAfter);
    return { type: 'rate-limited', ...(seconds > 0 && { retryAfterMs: seconds * 1000 }) };
  }
  const detail = `status ${status}: ${text.slice(0, 200)}`;
  const rejected = grpcCode !== undefined && REJECTING_GRPC_CODES.has(grpcCode);
  return { type: rejected ? 'rejected' : 'unclear', detail };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function readGrpcCode(body: unknown): number | undefined {
  if (typeof body !== 'object' || body === null || !('code' in body)) return undefined;
  return typeof body.code === 'number' ? body.code : undefined;
}
