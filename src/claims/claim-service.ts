/**
 * Claims: at most one dispatch for a non-idempotent request, and one attempt budget for a
 * request that is repeated at several entry nodes. See docs/design/claims.md.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';

/** What is claimed. */
export interface ClaimRequest {
  readonly tenant: string;
  readonly service: string;
  /** The caller's Idempotency-Key, a UUIDv7: its time stamp bounds how long the claim is kept. */
  readonly key: string;
  /** Digest of method, path and body; a repeat with another one is refused. */
  readonly fingerprint: string;
  /** The attempt that asks. */
  readonly attemptId: string;
  /** Give up at this local monotonic time. */
  readonly deadline: number;
}

/** Result of a claim. */
export type ClaimDecision =
  /** This attempt alone may be dispatched, until `notAfter` (local monotonic ms). */
  | { readonly type: 'granted'; readonly notAfter: number }
  /** An earlier attempt holds the key and its end is not known (yet). */
  | { readonly type: 'in-progress' }
  /** An earlier attempt ended; its answer, when it was kept. */
  | { readonly type: 'finished'; readonly answer?: HttpAnswer }
  /** Refused before any dispatch: not run by this attempt. */
  | { readonly type: 'refused'; readonly failure: Failure };

/** The claim protocol as the call router uses it. */
export interface ClaimService {
  claim(request: ClaimRequest): Promise<ClaimDecision>;
  /** Releases a claim whose attempt was certainly not run; fire and forget. */
  release(request: ClaimRequest): void;
  /** Records the end of a dispatched attempt; without an answer the outcome stays unknown. */
  finish(request: ClaimRequest, answer: HttpAnswer | undefined): void;
  /**
   * Charges attempts of a request that carries a request id, so that repeats at
   * other entry nodes share one bound.
   *
   * @returns attempts granted (at most `wanted`), or `AttemptsExhausted` / `ClaimUnavailable`
   */
  charge(charge: AttemptCharge): Promise<Result<number, Failure>>;
  /** As {@link ClaimService.charge}, with a way to give back what was not used after all. */
  chargeReturnable(charge: AttemptCharge): Promise<Result<ChargeGrant, Failure>>;
}

/** Attempts granted by a charge. */
export interface ChargeGrant {
  readonly attempts: number;
  /**
   * Gives attempts back that were certainly not dispatched, so that a repeat of the request id
   * can have them; fire and forget. Call it once at most.
   */
  giveBack(unused: number): void;
}

/** A charge to the shared attempt budget of a request id. */
export interface AttemptCharge {
  readonly tenant: string;
  readonly requestId: string;
  readonly wanted: number;
  /** The kind's bound for the whole chain. */
  readonly bound: number;
  /** Give up at this local monotonic time. */
  readonly deadline: number;
}
