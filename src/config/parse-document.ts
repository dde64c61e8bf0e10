/** Parses YAML or JSON documents and validates them with zod; reports all errors at once. */
import { Result } from 'true-myth';
import { parseDocument } from 'yaml';
import type { z } from 'zod';
import { createFailure, type Failure } from '../core/failure.js';
import type { ResultCode } from '../core/result-code.js';
import { validateValue } from './validate-value.js';

/** Longest document accepted, in characters; a guard against mistaken input. */
export const MAX_DOCUMENT_LENGTH = 4 * 1024 * 1024;

/**
 * Parses and validates a document.
 *
 * @param text YAML 1.2 or JSON
 * @param schema zod schema; use strict objects so that unknown keys are errors
 * @param code result code of the failure
 */
export function parseAndValidate<T>(
  text: string,
  schema: z.ZodType<T>,
  code: ResultCode,
): Result<T, Failure> {
  if (text.length > MAX_DOCUMENT_LENGTH) {
    return Result.err(
      createFailure(code, `document is longer than ${MAX_DOCUMENT_LENGTH} characters`),
    );
  }
  const document = parseDocument(text, { prettyErrors: true });
  if (document.errors.length > 0) {
    const violations = document.errors.map((error) => ({ path: '', message: error.message }));
    return Result.err(createFailure(code, 'document is not valid YAML or JSON', { violations }));
  }
  return validateValue(document.toJS(), schema, code);
}
