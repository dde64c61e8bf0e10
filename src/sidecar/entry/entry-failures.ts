/** Refusals of requests at the node where they begin. */
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import type { CallerExchange } from './caller-exchange.js';

const NOT_READY_RETRY_MS = 500;
const UNCOUNTED_RETRY_MS = 300;
const TOO_MANY_RETRY_MS = 500;

/** Refusal of a request beyond its tenant's limit. */
export function overLimit(retryAfterMs: number): Failure {
  const detail = 'more requests than the limit of the tenant allows';
  return createFailure(ResultCode.TenantLimitReached, detail, { retryAfterMs });
}

/** Refusal while nobody is known to count a tenant's limit. */
export function uncounted(): Failure {
  const options = { retryAfterMs: UNCOUNTED_RETRY_MS };
  const detail = 'the node that counts the limit of the tenant was not reached';
  return createFailure(ResultCode.TenantLimitUncounted, detail, options);
}

/** Refusal while no rules are in force. */
export function notReady(): Failure {
  const options = { execution: 'not-run', retryAfterMs: NOT_READY_RETRY_MS } as const;
  return createFailure(ResultCode.NotReady, 'no rules in force yet', options);
}

/** Refusal of a request that no route takes. */
export function noRoute(exchange: CallerExchange, version: number): Failure {
  const place = `${exchange.field('host') ?? ''}${exchange.path.split('?')[0] ?? ''}`;
  const detail = `no route for ${place} in version ${version}`;
  return createFailure(ResultCode.UnknownKind, detail);
}

/** Refusal of a request that is not read, since callers hold too many unanswered ones. */
export function tooManyRequests(): Failure {
  const detail = 'too many requests are unanswered';
  return createFailure(ResultCode.BufferExhausted, detail, { retryAfterMs: TOO_MANY_RETRY_MS });
}
