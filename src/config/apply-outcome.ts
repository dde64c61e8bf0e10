/** Outcomes of a change of the rules; platform-rules-repository.ts runs the rounds. */
import { isDeepStrictEqual } from 'node:util';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { RevisionRecord } from './config-store.js';
import type { Rules } from './rules.js';
import type { ApplyFailure, ApplyRequest } from './rules-repository.js';

const OPERATION_ID = /^[A-Za-z0-9._:-]{1,128}$/;
const MAX_AUTHOR_LENGTH = 256;
/** Retry delay reported when other changes came first, in milliseconds. */
const CONTENDED_RETRY_MS = 20;
/** Retry delay reported when the outcome is unknown, in milliseconds. */
const UNKNOWN_RETRY_MS = 1_000;

/** Outcome of one round of an apply; `again` means that another round is needed. */
export type Round =
  | { readonly type: 'done'; readonly result: Result<RevisionRecord, ApplyFailure> }
  | { readonly type: 'again'; readonly failure: Failure };

/** A request whose document is valid. */
export interface Change extends ApplyRequest {
  readonly rules: Rules;
}

/** Ends the rounds with a result. */
export function endWith(result: Result<RevisionRecord, ApplyFailure>): Round {
  return { type: 'done', result };
}

/** Ends the rounds: the operator has not seen the tenant's newest revision. */
export function reportConflict({ expectedRevision }: Change, currentRevision: number): Round {
  const detail = `revision ${expectedRevision} was expected, ${currentRevision} is current`;
  const failure = createFailure(ResultCode.RevisionConflict, detail);
  return endWith(Result.err({ ...failure, currentRevision }));
}

/** Checks all members of a request except the document. */
export function checkFields({
  operationId,
  author,
  expectedRevision,
}: ApplyRequest): Result<true, Failure> {
  const problems = [
    !OPERATION_ID.test(operationId) && 'operation id: 1 to 128 of A-Z a-z 0-9 . _ : -',
    author.length > MAX_AUTHOR_LENGTH && `author: at most ${MAX_AUTHOR_LENGTH} characters`,
    !(Number.isSafeInteger(expectedRevision) && expectedRevision >= 0) &&
      'expected revision: a whole number from 0',
  ].filter((problem) => problem !== false);
  if (problems.length === 0) return Result.ok(true);
  return Result.err(createFailure(ResultCode.InvalidArgument, problems.join('; ')));
}

/** Result of a retried operation: the first result if the document is the same. */
export function expectSameChange(
  change: Change,
  record: RevisionRecord,
): Result<RevisionRecord, ApplyFailure> {
  if (isDeepStrictEqual(record.rules, change.rules)) return Result.ok(record);
  const detail = `operation ${change.operationId} was used for another document`;
  return Result.err(createFailure(ResultCode.IdempotencyKeyReused, detail));
}

/** Failure when other changes came first; nothing was written. */
export function createContentionFailure(): Failure {
  const detail = 'other changes came first';
  return createFailure(ResultCode.PlatformRateLimited, detail, {
    retryAfterMs: CONTENDED_RETRY_MS,
  });
}

/** Failure when the time is up while a copy of the write may still arrive. */
export function toUnknown({ detail }: Failure): Failure {
  const text = `outcome not settled in time, repeat with the same operation id: ${detail}`;
  return createFailure(ResultCode.WriteOutcomeUnknown, text, { retryAfterMs: UNKNOWN_RETRY_MS });
}
