/** The Sillshore-Timeout field: the caller's own time limit in milliseconds. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { findHeader, type HeaderFields } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';

const FIELD = 'sillshore-timeout';
const MAX_TIMEOUT_MS = 600_000;

/** Reads the caller's time limit; undefined when the field is absent. */
export function readCallerTimeout(headers: HeaderFields): Result<number | undefined, Failure> {
  const value = findHeader(headers, FIELD)?.trim();
  if (value === undefined) return Result.ok(undefined);
  const milliseconds = /^\d{1,6}$/.test(value) ? Number(value) : 0;
  if (milliseconds >= 1 && milliseconds <= MAX_TIMEOUT_MS) return Result.ok(milliseconds);
  const detail = `Sillshore-Timeout must be whole milliseconds, 1 to ${MAX_TIMEOUT_MS}`;
  return Result.err(createFailure(ResultCode.InvalidField, detail));
}
