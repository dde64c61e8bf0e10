/** Validates values with zod; reports all errors at once. */
import { Result } from 'true-myth';
import type { z } from 'zod';
import { createFailure, type Failure, type Violation } from '../core/failure.js';
import type { ResultCode } from '../core/result-code.js';

/**
 * Validates an already parsed value.
 *
 * @param schema zod schema
 * @param code result code of the failure
 */
export function validateValue<T>(
  value: unknown,
  schema: z.ZodType<T>,
  code: ResultCode,
): Result<T, Failure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const violations: Violation[] = parsed.error.issues.map((issue) => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
  return Result.err(createFailure(code, `${violations.length} invalid member(s)`, { violations }));
}
