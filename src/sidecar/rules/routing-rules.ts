/** Routing rules: the routes, the services that run their requests, and the limits that apply. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../../core/failure.js';
import type { QuotaLimit } from '../../core/quota/quota-counter.js';
import type { Criticality } from '../../core/request.js';
import { CRITICALITIES } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';

/** Share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  /** Part of the sum of all weights of the route; at least 0. */
  readonly weight: number;
}

/** One route: requests of a host below a path. */
export interface RouteRules {
  readonly name: string;
  /** Value of the Host field, without port, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request that may have run can be retried. */
  readonly idempotent: boolean;
  /** Rank among the routes; 0 is the most important. */
  readonly rank: number;
  /** Longest time until a request is answered, in milliseconds. */
  readonly timeoutMs: number;
  /** Objective for the time until an answer, in milliseconds; an answer within it is worth most. */
  readonly aimMs: number;
  /** Maximum number of targets that one request may be sent to. */
  readonly maxAttempts: number;
  readonly shares: readonly ServiceShare[];
  /** Whether requests need no API key even if the rules have tenants. */
  readonly isPublic: boolean;
}

/** A tenant: callers that share API keys, a rank and a limit. */
export interface TenantRules {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Rank among the tenants; 0 is the most important. Takes precedence over the rank of the route. */
  readonly rank?: number;
  /** Limit over all nodes; absent: none. */
  readonly limit?: QuotaLimit;
}

/** Properties of a service in the rules. */
export interface MeshServiceRules {
  /** Path of the targets' health check. */
  readonly healthPath: string;
  /** Maximum number of connections that one target accepts from all callers together. */
  readonly maxConnections: number;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  /** Largest header section of a request. */
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the header of a request must be received, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest time for which a connection may be idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A complete rules document. */
export interface RoutingRules {
  /** Increases with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly RouteRules[];
  readonly services: ReadonlyMap<string, MeshServiceRules>;
  readonly limits: CallerLimits;
  /** Absent: requests need no API key. */
  readonly tenants?: readonly TenantRules[];
}

/** Checks the consistency of a document; see {@link checkRules}. */
function findDefect(rules: RoutingRules): string | undefined {
  return findRouteDefect(rules) ?? findTenantDefect(rules);
}

function findTenantDefect({ tenants = [] }: RoutingRules): string | undefined {
  const holders = new Map<string, string>();
  for (const { name, apiKeys } of tenants) {
    for (const key of apiKeys) {
      const holder = holders.get(key) ?? name;
      if (holder !== name) return `tenants ${holder} and ${name} hold the same API key`;
      holders.set(key, name);
    }
  }
  return undefined;
}

function findRouteDefect({ routes, services }: RoutingRules): string | undefined {
  const places = new Set<string>();
  for (const { name, host, pathPrefix, shares } of routes) {
    const place = `${host}${pathPrefix}`;
    if (places.has(place)) return `two routes at ${place}`;
    places.add(place);
    const unknown = shares.find(({ service }) => !services.has(service));
    if (unknown !== undefined) return `route ${name} names unknown service ${unknown.service}`;
    if (!shares.some(({ weight }) => weight > 0))
      return `route ${name} has no service with a weight above 0`;
  }
  return undefined;
}

/** Rejects an inconsistent document as a whole (4001). */
export function checkRules(rules: RoutingRules): Result<RoutingRules, Failure> {
  const defect = findDefect(rules);
  if (defect === undefined) return Result.ok(rules);
  return Result.err(createFailure(ResultCode.RulesInvalid, defect));
}

/**
 * Class of a request, by the rank of its tenant first and of its route second. With tenant ranks, only the
 * most important tenants have the highest class; the ranks of the others and of their routes are added.
 *
 * @param tenantRank undefined: the request has no tenant, or its tenant no rank
 */
export function criticalityOf(tenantRank: number | undefined, routeRank: number): Criticality {
  if (tenantRank === undefined) return criticalityOfRank(routeRank);
  return criticalityOfRank(tenantRank <= 0 ? 0 : tenantRank + Math.max(0, routeRank));
}

/** Class of a rank; ranks beyond the last class share it. */
export function criticalityOfRank(rank: number): Criticality {
  const last = CRITICALITIES.length - 1;
  return CRITICALITIES[Math.min(last, Math.max(0, Math.trunc(rank)))]!;
}
