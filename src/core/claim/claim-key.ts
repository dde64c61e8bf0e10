/** Idempotency keys: UUIDv7, whose time stamp bounds how long a claim has to be kept. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../failure.js';
import { ResultCode } from '../result-code.js';
import { KEY_HORIZON_MS, MAX_CLOCK_SKEW_MS } from './claim-limits.js';

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

/**
 * Reads the issue time of a key.
 *
 * @param key an Idempotency-Key
 * @returns Unix milliseconds, or `undefined` when the key is not a UUIDv7 in lower case
 * @see RFC 9562, section 5.7
 */
export function readIssueTime(key: string): number | undefined {
  const parts = UUID_V7.exec(key);
  if (parts === null) return undefined;
  return Number.parseInt(`${parts[1]}${parts[2]}`, 16);
}

/** Whether a key issued at `issuedAtMs` is older than the horizon at wall time `wallNowMs`. */
export function isExpired(issuedAtMs: number, wallNowMs: number): boolean {
  return wallNowMs - issuedAtMs > KEY_HORIZON_MS;
}

/**
 * Checks a key and reads its issue time.
 *
 * @param wallNowMs Unix milliseconds of this node
 * @returns issue time, or `InvalidField` (no UUIDv7, or from the future) or `IdempotencyKeyExpired`
 */
export function checkKey(key: string, wallNowMs: number): Result<number, Failure> {
  const issuedAtMs = readIssueTime(key.toLowerCase());
  if (issuedAtMs === undefined) {
    return Result.err(createFailure(ResultCode.InvalidField, 'Idempotency-Key is not a UUIDv7'));
  }
  if (issuedAtMs > wallNowMs + MAX_CLOCK_SKEW_MS) {
    const aheadMs = issuedAtMs - wallNowMs;
    const detail = `Idempotency-Key was issued ${aheadMs} ms in the future`;
    return Result.err(createFailure(ResultCode.InvalidField, detail));
  }
  if (isExpired(issuedAtMs, wallNowMs)) {
    const detail = `Idempotency-Key is older than ${KEY_HORIZON_MS} ms`;
    return Result.err(createFailure(ResultCode.IdempotencyKeyExpired, detail));
  }
  return Result.ok(issuedAtMs);
}
