/** The error value carried by every `Result` in sillshore. */
import { describeResultCode, type Execution, type ResultCode } from './result-code.js';

/** A numbered error. Errors are values (`Result<T, Failure>`); exceptions are for defects only. */
export interface Failure {
  readonly code: ResultCode;
  /** Human-readable description of what happened; never parsed. */
  readonly detail: string;
  /** What is known about the effects of the request. */
  readonly execution: Execution;
  /** Milliseconds after which a retry is worthwhile; absent when a retry cannot help. */
  readonly retryAfterMs?: number;
  /** One entry per invalid member of a document. */
  readonly violations?: readonly Violation[];
}

/** One invalid member of a settings or rules document. */
export interface Violation {
  /** Dotted path, for example `services.0.kinds.1.deadlineMs`. */
  readonly path: string;
  /** What is wrong, with the allowed range. */
  readonly message: string;
}

/** Options of {@link createFailure}; `execution` defaults to that of the code. */
export interface FailureOptions {
  readonly execution?: Execution;
  readonly retryAfterMs?: number;
  readonly violations?: readonly Violation[];
}

/** Creates a failure with the default execution of its code. */
export function createFailure(
  code: ResultCode,
  detail: string,
  options: FailureOptions = {},
): Failure {
  const { execution = describeResultCode(code).execution, ...rest } = options;
  return { code, detail, execution, ...rest };
}
