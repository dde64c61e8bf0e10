/** The calling side of a node: takes a classified request to one final result. */
import type { Failure } from '../core/failure.js';
import type { HttpAnswer, HttpRequest } from '../core/http-message.js';
import type { RequestContext } from '../core/request.js';
import type { KindRules, ServiceRules } from '../config/rules.js';

/** A classified request at the entry. */
export interface InboundCall {
  readonly context: RequestContext;
  readonly request: HttpRequest;
  readonly service: ServiceRules;
  readonly kind: KindRules;
  /** Attempts that this call and everything below it may use. */
  readonly attempts: number;
  /** Value of Idempotency-Key, when given. */
  readonly idempotencyKey?: string;
  /** Parent attempt of a call by a back end; absent for requests of callers. */
  readonly parentAttemptId?: string;
}

/** The final result of a call. */
export type CallResult =
  | { readonly type: 'answer'; readonly answer: HttpAnswer; readonly attemptsUsed: number }
  | { readonly type: 'failure'; readonly failure: Failure; readonly attemptsUsed: number };

/** Routes calls: entry admission, claims, target choice, retries. */
export interface CallRouter {
  /** Never rejects. `signal` aborts when the caller goes away. */
  route(call: InboundCall, signal: AbortSignal): Promise<CallResult>;
  /** Calls in progress. */
  readonly inProgress: number;
}
