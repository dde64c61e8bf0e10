/**
 * Numbered result codes: one enum for every error that sillshore reports, on the
 * callers' interface, the operators' interface and between nodes.
 *
 * docs/RESULT-CODES.md holds the same table; a test fails when the two differ.
 */

/** 1xxx input, 2xxx load, 3xxx delivery, 4xxx configuration, 5xxx peers and operators, 9xxx internal. */
export enum ResultCode {
  Ok = 0,
  UnknownService = 1001,
  UnknownKind = 1002,
  MalformedRequest = 1003,
  BodyTooLarge = 1004,
  InvalidField = 1005,
  BodyIncomplete = 1006,
  RequestReadTimeout = 1007,
  IdempotencyKeyRequired = 1008,
  IdempotencyKeyExpired = 1009,
  IdempotencyKeyReused = 1010,
  CallContextRequired = 1011,
  ApiKeyRejected = 1012,
  AdmissionRefused = 2001,
  QueueFull = 2002,
  DeadlineUnreachable = 2003,
  ConcurrencyLimitReached = 2004,
  AttemptsExhausted = 2005,
  RetryBudgetExhausted = 2006,
  DeadlineExceeded = 2007,
  NoTargetAvailable = 2008,
  TargetRefused = 2009,
  BufferExhausted = 2010,
  NodeDraining = 2011,
  NotReady = 2012,
  RequestQuarantined = 2013,
  RulesOutdated = 2014,
  ParentUnknown = 2015,
  TenantLimitReached = 2016,
  TenantLimitUncounted = 2017,
  TargetRateLimited = 2018,
  ServiceSaturated = 2019,
  TargetUnreachable = 3001,
  AnswerIncomplete = 3002,
  AnswerTimeout = 3003,
  ClaimUnavailable = 3004,
  RequestInProgress = 3005,
  OutcomeUnknown = 3006,
  PeerLost = 3007,
  AnswerTooLarge = 3008,
  Cancelled = 3009,
  RulesInvalid = 4001,
  RevisionConflict = 4002,
  PlatformUnavailable = 4003,
  SettingsInvalid = 4004,
  RevisionNotFound = 4005,
  WriteOutcomeUnknown = 4006,
  PlatformRateLimited = 4007,
  TenantMismatch = 4008,
  ScenarioInvalid = 4009,
  InvalidArgument = 4010,
  FrameTooLarge = 5001,
  FrameMalformed = 5002,
  PeerUnauthenticated = 5003,
  MailboxFull = 5004,
  UnknownMessage = 5005,
  OperatorUnauthenticated = 5006,
  PeerTimeout = 5007,
  PeerUnreachable = 5008,
  OperatorForbidden = 5009,
  Internal = 9001,
}

/** What a caller may conclude about the effects of a request that ended with a code. */
export type Execution = 'not-run' | 'run' | 'unknown';

/** Fixed properties of one result code. */
export interface ResultCodeEntry {
  readonly code: ResultCode;
  /** Short title, used as the `title` member of a problem document (RFC 9457). */
  readonly title: string;
  /** HTTP status on the callers' interface. */
  readonly httpStatus: number;
  /** Default conclusion; a node may report a more certain one. */
  readonly execution: Execution;
}

type Row = readonly [ResultCode, string, number, Execution];

const ROWS: readonly Row[] = [
  [ResultCode.Ok, 'OK', 200, 'run'],
  [ResultCode.UnknownService, 'No service has this host', 404, 'not-run'],
  [ResultCode.UnknownKind, 'No request kind matches method and path', 404, 'not-run'],
  [ResultCode.MalformedRequest, 'Malformed request', 400, 'not-run'],
  [ResultCode.BodyTooLarge, 'Request body too large', 413, 'not-run'],
  [ResultCode.InvalidField, 'Invalid header field value', 400, 'not-run'],
  [ResultCode.BodyIncomplete, 'Request body ended early', 400, 'not-run'],
  [ResultCode.RequestReadTimeout, 'Request was not received in time', 408, 'not-run'],
  [ResultCode.IdempotencyKeyRequired, 'Idempotency-Key required for this kind', 400, 'not-run'],
  [ResultCode.IdempotencyKeyExpired, 'Idempotency-Key too old', 400, 'unknown'],
  [ResultCode.IdempotencyKeyReused, 'Idempotency-Key used for another request', 422, 'not-run'],
  [ResultCode.CallContextRequired, 'Internal call without its context field', 400, 'not-run'],
  [ResultCode.ApiKeyRejected, 'API key missing or unknown', 401, 'not-run'],
  [ResultCode.AdmissionRefused, 'Refused by criticality', 503, 'not-run'],
  [ResultCode.QueueFull, 'Queue full', 503, 'not-run'],
  [ResultCode.DeadlineUnreachable, 'Deadline cannot be met', 503, 'not-run'],
  [ResultCode.ConcurrencyLimitReached, 'Concurrency limit reached', 503, 'not-run'],
  [ResultCode.AttemptsExhausted, 'No attempts left', 503, 'not-run'],
  [ResultCode.RetryBudgetExhausted, 'Retry budget exhausted', 503, 'unknown'],
  [ResultCode.DeadlineExceeded, 'Deadline exceeded', 504, 'unknown'],
  [ResultCode.NoTargetAvailable, 'No target available', 503, 'not-run'],
  [ResultCode.TargetRefused, 'Target refused the request', 503, 'not-run'],
  [ResultCode.BufferExhausted, 'Buffer budget exhausted', 503, 'not-run'],
  [ResultCode.NodeDraining, 'Node is draining', 503, 'not-run'],
  [ResultCode.NotReady, 'Node has no configuration yet', 503, 'not-run'],
  [ResultCode.RequestQuarantined, 'Targets ended under this request', 503, 'not-run'],
  [ResultCode.RulesOutdated, 'API keys cannot be checked now', 503, 'not-run'],
  [ResultCode.ParentUnknown, 'Call of a run that is not known here', 503, 'not-run'],
  [ResultCode.TenantLimitReached, 'Tenant is over its limit', 429, 'not-run'],
  [ResultCode.TenantLimitUncounted, 'Limit of the tenant cannot be counted now', 503, 'not-run'],
  [ResultCode.TargetRateLimited, 'Targets take no more requests a second', 503, 'not-run'],
  [ResultCode.ServiceSaturated, 'A service below takes no more of this class', 503, 'not-run'],
  [ResultCode.TargetUnreachable, 'Target unreachable', 503, 'not-run'],
  [ResultCode.AnswerIncomplete, 'Answer ended early', 502, 'unknown'],
  [ResultCode.AnswerTimeout, 'No answer in time', 504, 'unknown'],
  [ResultCode.ClaimUnavailable, 'Claim could not be granted', 503, 'not-run'],
  [ResultCode.RequestInProgress, 'Request with this key is in progress', 409, 'unknown'],
  [ResultCode.OutcomeUnknown, 'Outcome unknown', 502, 'unknown'],
  [ResultCode.PeerLost, 'Link to the peer was lost', 502, 'unknown'],
  [ResultCode.AnswerTooLarge, 'Answer too large', 502, 'run'],
  [ResultCode.Cancelled, 'Cancelled by the caller', 499, 'unknown'],
  [ResultCode.RulesInvalid, 'Rules are invalid', 400, 'not-run'],
  [ResultCode.RevisionConflict, 'Expected revision is not the current one', 409, 'not-run'],
  [ResultCode.PlatformUnavailable, 'Platform service unavailable', 503, 'not-run'],
  [ResultCode.SettingsInvalid, 'Settings are invalid', 400, 'not-run'],
  [ResultCode.RevisionNotFound, 'Revision not found', 404, 'not-run'],
  [ResultCode.WriteOutcomeUnknown, 'Outcome of the write is unknown', 504, 'unknown'],
  [ResultCode.PlatformRateLimited, 'Platform service limits the rate', 429, 'not-run'],
  [ResultCode.TenantMismatch, 'Rules belong to another tenant', 403, 'not-run'],
  [ResultCode.ScenarioInvalid, 'Experiment scenario is invalid', 400, 'not-run'],
  [ResultCode.InvalidArgument, 'Invalid argument', 400, 'not-run'],
  [ResultCode.FrameTooLarge, 'Frame too large', 413, 'not-run'],
  [ResultCode.FrameMalformed, 'Frame malformed', 400, 'not-run'],
  [ResultCode.PeerUnauthenticated, 'Peer not authenticated', 401, 'not-run'],
  [ResultCode.MailboxFull, 'Mailbox full', 503, 'not-run'],
  [ResultCode.UnknownMessage, 'Unknown message type', 400, 'not-run'],
  [ResultCode.OperatorUnauthenticated, 'Operator not authenticated', 401, 'not-run'],
  [ResultCode.PeerTimeout, 'Peer did not answer in time', 504, 'unknown'],
  [ResultCode.PeerUnreachable, 'Peer unreachable', 503, 'not-run'],
  [ResultCode.OperatorForbidden, 'Operator token does not allow this', 403, 'not-run'],
  [ResultCode.Internal, 'Internal error', 500, 'unknown'],
];

/** Refusals that mean that a service is overloaded. */
const LOAD_REFUSALS: ReadonlySet<ResultCode> = new Set([
  ResultCode.AdmissionRefused,
  ResultCode.QueueFull,
  ResultCode.DeadlineUnreachable,
  ResultCode.ConcurrencyLimitReached,
  ResultCode.TargetRateLimited,
]);

/** Whether a request that ended with this code was refused for load. */
export function isLoadRefusal(code: ResultCode): boolean {
  return LOAD_REFUSALS.has(code);
}

/** Every result code with its fixed properties, in numeric order. */
export const RESULT_CODES: ReadonlyMap<ResultCode, ResultCodeEntry> = new Map(
  ROWS.map(([code, title, httpStatus, execution]) => [
    code,
    { code, title, httpStatus, execution },
  ]),
);

/** Looks up the fixed properties of a code; unknown numbers map to `Internal`. */
export function describeResultCode(code: ResultCode): ResultCodeEntry {
  return RESULT_CODES.get(code) ?? RESULT_CODES.get(ResultCode.Internal)!;
}
