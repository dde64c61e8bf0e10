/** The accepted revisions of the operators' rules, as the platform's key-value service holds them. */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { RevisionRecord } from './config-store.js';
import type { Rules } from './rules.js';

/** A change requested by an operator. */
export interface ApplyRequest {
  readonly tenant: string;
  /** Rules document, YAML or JSON. */
  readonly document: string;
  /** Revision that the operator has seen; 0 when the tenant is new. */
  readonly expectedRevision: number;
  /** Chosen by the operator's client, 1 to 128 characters; a retry with it is the same change. */
  readonly operationId: string;
  readonly author: string;
}

/** Why a change was not accepted, or that its outcome is unknown. */
export interface ApplyFailure extends Failure {
  /** The tenant's current revision, with `RevisionConflict`. */
  readonly currentRevision?: number;
}

/** Reads and changes the accepted revisions. */
export interface RulesRepository {
  /** Checks a document against the schema and the tenant's name; no I/O. */
  validate(tenant: string, document: string): Result<Rules, Failure>;
  /**
   * Accepts a change, or finds the earlier result of its operation id.
   *
   * Failures: `RulesInvalid`, `TenantMismatch`, `InvalidArgument`, `RevisionConflict` (with
   * `currentRevision`), `IdempotencyKeyReused` (operation id of another document),
   * `PlatformUnavailable` and `PlatformRateLimited` (not applied), `WriteOutcomeUnknown`
   * (a retry with the same operation id settles it).
   */
  apply(request: ApplyRequest): Promise<Result<RevisionRecord, ApplyFailure>>;
  /**
   * Reads one revision from the platform; the newest when `revision` is absent.
   * Failures: `RevisionNotFound`, `PlatformUnavailable`, `PlatformRateLimited`.
   */
  get(tenant: string, revision?: number): Promise<Result<RevisionRecord, Failure>>;
  /** Reads the newest revisions, newest first, at most `limit`. Failures as for `get`. */
  history(tenant: string, limit: number): Promise<Result<readonly RevisionRecord[], Failure>>;
}
