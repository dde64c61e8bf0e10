/** Authorizes a request for a tenant: at its entry node, and again before it is sent to a target. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import type { Authorization } from '../link/link-messages.js';
import type { Route, RouteTable } from '../rules/route-table.js';
import type { RulesFreshness } from '../rules/rules-freshness.js';
import type { TenantRules } from '../rules/routing-rules.js';

/** Retry delay for callers while API keys or the parent request cannot be checked, in milliseconds. */
const OUTDATED_RETRY_MS = 500;
/** Retry delay for callers when the rules change while their request is in progress, in milliseconds. */
const CHANGED_RETRY_MS = 50;

/** Data of a request on which its authorization depends. */
export interface RequestHead {
  /** API key that the caller sent; undefined: none. */
  readonly apiKey: string | undefined;
  /** Whether its attempt id is that of a call that a target makes for a request that it serves. */
  readonly isCall: boolean;
  /** Whether the local target serves the parent request of that call now. */
  readonly isParentRunning: boolean;
}

/** Result of a successful check. */
export interface Authorized {
  /** Absent: the request needs no API key. */
  readonly tenant?: TenantRules;
  readonly authorization?: Authorization;
}

export interface RequestAuthorizerOptions {
  /** Rules in force; undefined: none. */
  table(): RouteTable | undefined;
  readonly freshness: RulesFreshness;
}

const WITHOUT_TENANT: Authorized = {};

/** Checks API keys against the rules in force. */
export class RequestAuthorizer {
  constructor(private readonly options: RequestAuthorizerOptions) {}

  /**
   * Checks a request at its entry node. Calls that the local target makes for a request that it serves need no
   * key, since that request was checked.
   */
  authorize(table: RouteTable, route: Route, head: RequestHead): Result<Authorized, Failure> {
    const { tenants } = table;
    if (tenants === undefined || route.rules.isPublic || head.isParentRunning) {
      return Result.ok(WITHOUT_TENANT);
    }
    const { apiKey } = head;
    if (apiKey === undefined && head.isCall) return Result.err(parentUnknown());
    const validForMs = this.options.freshness.remainingMs();
    // Outdated rules may lack a key that was added: only recently confirmed rules can reject a key as unknown.
    if (validForMs <= 0) return Result.err(outdated());
    const tenant = apiKey === undefined ? undefined : tenants.holderOf(apiKey);
    if (apiKey === undefined || tenant === undefined) return Result.err(rejected(apiKey));
    const fingerprint = tenants.fingerprintOf(apiKey);
    const rulesVersion = table.rules.version;
    const authorization = { tenant: tenant.name, fingerprint, rulesVersion, validForMs };
    return Result.ok({ tenant, authorization });
  }

  /**
   * Checks a request again before it is sent to a target. A newer version of the rules may have come into force
   * at this node, or the first check may no longer be valid.
   *
   * @param validForMs milliseconds for which the first check is still valid
   */
  recheck(authorization: Authorization, validForMs: number): Failure | undefined {
    const { tenant, fingerprint, rulesVersion } = authorization;
    const table = this.options.table();
    const hasSameOrNewerRules = table !== undefined && table.rules.version >= rulesVersion;
    if (hasSameOrNewerRules && table.tenants?.isHeldBy(tenant, fingerprint) !== true)
      return changed();
    if (validForMs > 0) return undefined;
    return hasSameOrNewerRules && this.options.freshness.remainingMs() > 0 ? undefined : outdated();
  }
}

function rejected(apiKey: string | undefined): Failure {
  const detail =
    apiKey === undefined ? 'the request has no API key' : 'no tenant holds the API key';
  return createFailure(ResultCode.ApiKeyRejected, detail, { execution: 'not-run' });
}

function outdated(): Failure {
  const detail = 'the rules were not confirmed recently, so API keys may have been revoked';
  const options = { execution: 'not-run', retryAfterMs: OUTDATED_RETRY_MS } as const;
  return createFailure(ResultCode.RulesOutdated, detail, options);
}

function changed(): Failure {
  const detail = 'the API key was revoked or given to another tenant while the request waited';
  const options = { execution: 'not-run', retryAfterMs: CHANGED_RETRY_MS } as const;
  return createFailure(ResultCode.RulesOutdated, detail, options);
}

function parentUnknown(): Failure {
  const detail = 'the local target does not serve the request for which this call is made';
  const options = { execution: 'not-run', retryAfterMs: OUTDATED_RETRY_MS } as const;
  return createFailure(ResultCode.ParentUnknown, detail, options);
}
