/** The Idempotency-Key field: a UUIDv7, bare or as the quoted string of the IETF draft. */
import { Result } from 'true-myth';
import type { KindRules } from '../config/rules.js';
import { createFailure, type Failure } from '../core/failure.js';
import { findHeader, type HeaderFields } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';

const FIELD = 'idempotency-key';
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

/** Reads the key; undefined when there is none and the kind needs none. */
export function readIdempotencyKey(
  headers: HeaderFields,
  kind: KindRules,
): Result<string | undefined, Failure> {
  const value = findHeader(headers, FIELD);
  if (value === undefined) return withoutKey(kind);
  const key = value
    .trim()
    .replace(/^"(.*)"$/, '$1')
    .toLowerCase();
  if (!UUID_V7.test(key)) {
    return Result.err(createFailure(ResultCode.InvalidField, 'Idempotency-Key is not a UUIDv7'));
  }
  return Result.ok(key);
}

function withoutKey(kind: KindRules): Result<string | undefined, Failure> {
  if (kind.idempotent) return Result.ok(undefined);
  const detail = `kind ${kind.name} needs a key: its requests may take effect at most once`;
  return Result.err(createFailure(ResultCode.IdempotencyKeyRequired, detail));
}
