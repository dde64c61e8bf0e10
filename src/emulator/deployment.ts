/** Model of a deployment: zones, services with their targets, request kinds and call trees. */
import type { Criticality } from '../core/request.js';

/** One zone; one-way delays follow from {@link Deployment.zoneDelayMs}. */
export interface ZoneModel {
  readonly name: string;
  readonly region: string;
}

/** Distribution of a target's service time. */
export type ServiceTimeShape = 'lognormal' | 'exponential';

/** One service; its targets have equal capacity. */
export interface ServiceModel {
  readonly name: string;
  /** Requests that one target serves at once. */
  readonly slots: number;
  /** Connections that one target accepts. */
  readonly connections: number;
  /** Services that its targets call. */
  readonly calls: readonly string[];
  readonly targets: readonly TargetModel[];
}

/** One back end. */
export interface TargetModel {
  readonly id: string;
  readonly zone: string;
}

/** A kind of request at one service. */
export interface ServiceKind {
  readonly name: string;
  /** Maximum time that a caller waits, in milliseconds. */
  readonly deadlineMs: number;
  /** Bound on attempts at and below the service. */
  readonly attempts: number;
  readonly idempotent: boolean;
  /** Mean of a target's own work, in milliseconds, downstream calls not included. */
  readonly serviceTimeMs: number;
  /** Standard deviation of the logarithm of the service time (lognormal). */
  readonly serviceTimeSigma: number;
  readonly serviceTimeShape: ServiceTimeShape;
}

/** One call in a request's call tree: a service and the calls that its target makes. */
export interface CallSite {
  readonly service: string;
  /** Kind of the call at the service. */
  readonly kind: ServiceKind;
  /** Position in the tree, unique; 0 is the caller's own call. */
  readonly index: number;
  /** Hops above this call; 0 for the caller's own call. */
  readonly depth: number;
  /** Calls made after the target's own work, in order, or all at once when `parallel`. */
  readonly calls: readonly CallSite[];
  readonly parallel: boolean;
  /** Number of calls at and below this one. */
  readonly size: number;
}

/** A kind of caller's request. */
export interface CallerKind {
  readonly name: string;
  readonly criticality: Criticality;
  /** Rate of the callers' requests, relative to the other kinds. */
  readonly share: number;
  readonly root: CallSite;
}

/** Value of `nodesPerZone` that gives each target its own node, as sidecars do. */
export const ONE_PER_TARGET = 'one-per-target';

/** A whole deployment. */
export interface Deployment {
  readonly name: string;
  readonly tenant: string;
  readonly zones: readonly ZoneModel[];
  /** One-way delay between two zones of one region, in milliseconds. */
  readonly zoneDelayMs: number;
  /** One-way delay between regions, in milliseconds. */
  readonly regionDelayMs: number;
  /** One-way delay between a caller and its zone, in milliseconds. */
  readonly clientDelayMs: number;
  /** One-way delay inside a zone, in milliseconds. */
  readonly localDelayMs: number;
  /** Cost of a new connection to a target, in milliseconds. */
  readonly connectMs: number;
  /** Nodes of each zone; the zone's targets are spread evenly over them. */
  readonly nodesPerZone: number | typeof ONE_PER_TARGET;
  /** Whether each node uses a subset of the targets of a large service. */
  readonly subsets: boolean;
  readonly services: readonly ServiceModel[];
  readonly kinds: readonly CallerKind[];
}

/** A call tree before its sites are numbered. */
export interface CallTree {
  readonly service: string;
  readonly kind: ServiceKind;
  readonly calls: readonly CallTree[];
  readonly parallel: boolean;
}

/** Numbers the sites of a call tree. */
export function createCallSites(tree: CallTree): CallSite {
  let created = 0;
  const build = (node: CallTree, depth: number): CallSite => {
    const index = created;
    created += 1;
    const calls = node.calls.map((child) => build(child, depth + 1));
    const size = calls.reduce((sum, child) => sum + child.size, 1);
    const { service, kind, parallel } = node;
    return { service, kind, index, depth, calls, parallel, size };
  };
  return build(tree, 0);
}

/** Finds a service; throws when the deployment has none of that name. */
export function findService(deployment: Deployment, name: string): ServiceModel {
  const service = deployment.services.find((candidate) => candidate.name === name);
  if (service === undefined) throw new Error(`deployment has no service ${name}`);
  return service;
}

/** One-way delay between two zones, in milliseconds. */
export function delayBetween(deployment: Deployment, from: string, to: string): number {
  if (from === to) return deployment.localDelayMs;
  const regionOf = (name: string) => deployment.zones.find((zone) => zone.name === name)?.region;
  return regionOf(from) === regionOf(to) ? deployment.zoneDelayMs : deployment.regionDelayMs;
}
