/**
 * Claims: at most one dispatch for a non-idempotent request, and one attempt budget for a
 * request that is retried at several entry nodes. See docs/design/claims.md.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';

/** A claim of an idempotency key for one attempt. */
export interface ClaimRequest {
  readonly tenant: string;
  readonly service: string;
  /** The caller's Idempotency-Key, a UUIDv7: its time stamp bounds how long the claim is kept. */
  readonly key: string;
  /** Digest of method, path and body; a retry with another one is refused. */
  readonly fingerprint: string;
  /** The attempt that claims the key. */
  readonly attemptId: string;
  /** Give up at this local monotonic time. */
  readonly deadline: number;
}

/** Result of a claim. */
export type ClaimDecision =
  /** This attempt alone may be dispatched, until `notAfter` (local monotonic ms). */
  | { readonly type: 'granted'; readonly notAfter: number }
  /** An earlier attempt holds the key and its outcome is not known (yet). */
  | { readonly type: 'in-progress' }
  /** An earlier attempt ended; `answer` is present when it was kept. */
  | { readonly type: 'finished'; readonly answer?: HttpAnswer }
  /** Refused before any dispatch: this attempt was not run. */
  | { readonly type: 'refused'; readonly failure: Failure };

/** The claim protocol as the call router uses it. */
export interface ClaimService {
  claim(request: ClaimRequest): Promise<ClaimDecision>;
  /** Releases a claim whose attempt was certainly not run; fire and forget. */
  release(request: ClaimRequest): void;
  /** Records the end of a dispatched attempt; without an answer the outcome stays unknown. */
  finish(request: ClaimRequest, answer: HttpAnswer | undefined): void;
  /**
   * Charges attempts of a request that carries a request id, so that retries at
   * other entry nodes share one bound.
   *
   * @returns attempts granted (at most `wanted`), or `AttemptsExhausted` / `ClaimUnavailable`
   */
  charge(charge: AttemptCharge): Promise<Result<number, Failure>>;
  /** Like {@link ClaimService.charge}, but attempts that are not used can be released. */
  chargeReturnable(charge: AttemptCharge): Promise<Result<ChargeGrant, Failure>>;
}

/** Attempts granted by a charge. */
export interface ChargeGrant {
  readonly attempts: number;
  /**
   * Releases attempts that were certainly not dispatched, so that a retry with the request id
   * can use them; fire and forget. Call it at most once.
   */
  release(unused: number): void;
}

/** A charge to the shared attempt budget of a request id. */
export interface AttemptCharge {
  readonly tenant: string;
  readonly requestId: string;
  readonly wanted: number;
  /** Attempt bound of the request's kind for the whole chain. */
  readonly bound: number;
  /** Give up at this local monotonic time. */
  readonly deadline: number;
}
