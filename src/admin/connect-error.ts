/** Converts failures to Connect errors with an ErrorDetail, and back. */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { Result } from 'true-myth';
import type { ApplyFailure } from '../config/rules-repository.js';
import { createFailure, type Failure } from '../core/failure.js';
import { describeResultCode, ResultCode, RESULT_CODES } from '../core/result-code.js';
import type { Execution } from '../core/result-code.js';
import {
  ErrorDetailSchema,
  Execution as WireExecution,
  type ErrorDetail,
} from '../gen/sillshore/admin/v1/admin_pb.js';

/** Header field with the numeric result code, in every error response. */
export const RESULT_HEADER = 'sillshore-result';

const CODE_BY_HTTP_STATUS: Readonly<Record<number, Code>> = {
  400: Code.InvalidArgument,
  401: Code.Unauthenticated,
  403: Code.PermissionDenied,
  404: Code.NotFound,
  408: Code.DeadlineExceeded,
  409: Code.Aborted,
  413: Code.ResourceExhausted,
  422: Code.FailedPrecondition,
  429: Code.ResourceExhausted,
  499: Code.Canceled,
  500: Code.Internal,
  502: Code.Unknown,
  503: Code.Unavailable,
  504: Code.DeadlineExceeded,
};

/** Result codes for errors without a detail, from the Connect library or the network. */
const RESULT_BY_CONNECT_CODE: Partial<Record<Code, ResultCode>> = {
  [Code.InvalidArgument]: ResultCode.MalformedRequest,
  [Code.ResourceExhausted]: ResultCode.BodyTooLarge,
  [Code.Unimplemented]: ResultCode.UnknownKind,
  [Code.NotFound]: ResultCode.UnknownKind,
  [Code.Unauthenticated]: ResultCode.OperatorUnauthenticated,
  [Code.PermissionDenied]: ResultCode.OperatorForbidden,
  [Code.Unavailable]: ResultCode.PeerUnreachable,
  [Code.DeadlineExceeded]: ResultCode.PeerTimeout,
  [Code.Aborted]: ResultCode.PeerLost,
  [Code.Canceled]: ResultCode.Cancelled,
};

const EXECUTION_TO_WIRE: Readonly<Record<Execution, WireExecution>> = {
  'not-run': WireExecution.NOT_RUN,
  run: WireExecution.RUN,
  unknown: WireExecution.UNKNOWN,
};

/** Returns the Connect code of a result code; docs/RESULT-CODES.md lists the HTTP status. */
export function toConnectCode(code: ResultCode): Code {
  return CODE_BY_HTTP_STATUS[describeResultCode(code).httpStatus] ?? Code.Internal;
}

/** Creates the error that an operator's client receives for a failure. */
export function toConnectError(failure: ApplyFailure): ConnectError {
  const { title } = describeResultCode(failure.code);
  const value = create(ErrorDetailSchema, {
    code: failure.code,
    title,
    detail: failure.detail,
    execution: EXECUTION_TO_WIRE[failure.execution],
    violations: (failure.violations ?? []).map(({ path, message }) => ({ path, message })),
    ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: toInt64(failure.retryAfterMs) }),
    ...(failure.currentRevision === undefined
      ? {}
      : { currentRevision: toInt64(failure.currentRevision) }),
  });
  return new ConnectError(
    `${failure.code} ${title}: ${failure.detail}`,
    toConnectCode(failure.code),
    { [RESULT_HEADER]: String(failure.code) },
    [{ desc: ErrorDetailSchema, value }],
  );
}

/** Returns the failure in an error that a client received; network errors get a code as well. */
export function toFailure(error: unknown): ApplyFailure {
  const connectError = ConnectError.from(error);
  const [detail] = connectError.findDetails(ErrorDetailSchema);
  if (detail !== undefined) return fromDetail(detail);
  if (failedBeforeRequest(connectError.cause)) {
    return createFailure(ResultCode.PeerUnreachable, `TLS: ${connectError.rawMessage}`);
  }
  const header = Number(connectError.metadata.get(RESULT_HEADER) ?? Number.NaN);
  const code = RESULT_CODES.has(header)
    ? (header as ResultCode)
    : (RESULT_BY_CONNECT_CODE[connectError.code] ?? ResultCode.Internal);
  return createFailure(code, connectError.rawMessage);
}

/** Errors from checking a server's certificate, which happens before the request is sent. */
const CERTIFICATE_ERROR = /^(CERT_|UNABLE_TO_|SELF_SIGNED_|DEPTH_ZERO_|ERR_TLS_CERT_)/;

/** Whether TLS setup failed: certificate of another CA or name, or a server without TLS. */
function failedBeforeRequest(cause: unknown): boolean {
  if (!(cause instanceof Error)) return false;
  const code = String((cause as NodeJS.ErrnoException).code);
  if (CERTIFICATE_ERROR.test(code)) return true;
  return code === 'EPROTO' && cause.message.includes('wrong version number');
}

/** Returns the value of a result, or throws the Connect error for its failure. */
export function unwrapOrThrow<T>(result: Result<T, Failure>): T {
  if (result.isErr) throw toConnectError(result.error);
  return result.value;
}

function fromDetail(detail: ErrorDetail): ApplyFailure {
  const code = RESULT_CODES.has(detail.code) ? (detail.code as ResultCode) : ResultCode.Internal;
  const violations = detail.violations.map(({ path, message }) => ({ path, message }));
  const failure = createFailure(code, detail.detail, {
    execution: fromWireExecution(detail.execution),
    ...(violations.length === 0 ? {} : { violations }),
    ...(detail.retryAfterMs === undefined ? {} : { retryAfterMs: Number(detail.retryAfterMs) }),
  });
  if (detail.currentRevision === undefined) return failure;
  return { ...failure, currentRevision: Number(detail.currentRevision) };
}

function fromWireExecution(execution: WireExecution): Execution {
  if (execution === WireExecution.NOT_RUN) return 'not-run';
  return execution === WireExecution.RUN ? 'run' : 'unknown';
}

function toInt64(value: number): bigint {
  return BigInt(Math.ceil(value));
}
