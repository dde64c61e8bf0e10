/** Synthetic fleets, which run the decision logic at sizes that no deployment has today. */
import { CRITICALITIES } from '../core/request.js';
import {
  createCallSites,
  type CallerKind,
  type CallSite,
  type CallTree,
  type Deployment,
  type ServiceKind,
  type ServiceModel,
} from './deployment.js';
import { createStream } from './sampling.js';

/** Size and shape of a fleet. */
export interface FleetShape {
  readonly targets: number;
  readonly services: number;
  readonly zones: number;
  readonly regions: number;
  /** Number of services on the longest chain. */
  readonly depth: number;
  readonly kinds: number;
  /** Number of calls that each back end of a chain makes; {@link MAX_SITES} bounds their total. */
  readonly fanOut: number;
  readonly seed: number;
}

const MIN_SLOTS = 6;
const MAX_SLOTS = 20;
const CONNECTIONS = 120;
const MIN_SERVICE_TIME_MS = 5;
const MAX_SERVICE_TIME_MS = 25;
const SERVICE_TIME_SIGMA = 0.5;
const DEADLINE_PER_HOP_MS = 300;
const ATTEMPTS_PER_HOP = 2;
/**
 * Maximum number of call sites of one tree, so that a request stays small; a larger fan-out is cut
 * off.
 */
const MAX_SITES = 24;

/** Creates a fleet; the same shape gives the same fleet. */
export function createSyntheticFleet(shape: FleetShape): Deployment {
  const zones = Array.from({ length: shape.zones }, (_, index) => ({
    name: `zone-${index + 1}`,
    region: `region-${(index % shape.regions) + 1}`,
  }));
  const serviceCount = Math.min(shape.services, shape.targets);
  const kinds = createKinds(shape, serviceCount);
  return {
    name: `synthetic-${shape.targets}`,
    tenant: 'synthetic',
    zones,
    zoneDelayMs: 0.5,
    regionDelayMs: 15,
    clientDelayMs: 1,
    localDelayMs: 0.05,
    connectMs: 1,
    nodesPerZone: 1,
    subsets: false,
    services: createServices(
      shape,
      serviceCount,
      zones.map(({ name }) => name),
      collectCalls(kinds),
    ),
    kinds,
  };
}

function createServices(
  shape: FleetShape,
  serviceCount: number,
  zones: readonly string[],
  calls: ReadonlyMap<string, readonly string[]>,
): ServiceModel[] {
  const random = createStream(shape.seed, 'fleet services');
  return Array.from({ length: serviceCount }, (_, index) => {
    const name = serviceName(index);
    const extra = index < shape.targets % serviceCount ? 1 : 0;
    const targets = Math.floor(shape.targets / serviceCount) + extra;
    return {
      name,
      slots: MIN_SLOTS + random.nextInt(MAX_SLOTS - MIN_SLOTS + 1),
      connections: CONNECTIONS,
      calls: calls.get(name) ?? [],
      targets: Array.from({ length: targets }, (__, target) => ({
        id: `${name}-${target + 1}`,
        zone: zones[(index + target) % zones.length]!,
      })),
    };
  });
}

function createKinds(shape: FleetShape, serviceCount: number): CallerKind[] {
  const random = createStream(shape.seed, 'fleet kinds');
  const serviceTimes = Array.from(
    { length: serviceCount },
    () => MIN_SERVICE_TIME_MS + random.next() * (MAX_SERVICE_TIME_MS - MIN_SERVICE_TIME_MS),
  );
  return Array.from({ length: shape.kinds }, (_, index) => {
    const first = Math.floor((index * serviceCount) / shape.kinds);
    return {
      name: kindName(index),
      criticality: CRITICALITIES[index % CRITICALITIES.length]!,
      share: 1,
      root: createCallSites(createTree(shape, index, first, serviceTimes)),
    };
  });
}

/** Creates a chain of services; the additional calls of a fan-out are leaves. */
function createTree(
  shape: FleetShape,
  kindIndex: number,
  first: number,
  serviceTimes: readonly number[],
): CallTree {
  const serviceCount = serviceTimes.length;
  let sites = shape.depth;
  const node = (position: number, calls: readonly CallTree[]): CallTree => {
    const index = position % serviceCount;
    const kind: ServiceKind = {
      name: kindName(kindIndex),
      deadlineMs: DEADLINE_PER_HOP_MS * (shape.depth + 1),
      attempts: ATTEMPTS_PER_HOP * MAX_SITES,
      idempotent: calls.length > 0 || kindIndex % CRITICALITIES.length !== 1,
      serviceTimeMs: serviceTimes[index]!,
      serviceTimeSigma: SERVICE_TIME_SIGMA,
      serviceTimeShape: 'lognormal',
    };
    return { service: serviceName(index), kind, calls, parallel: shape.fanOut > 1 };
  };
  const build = (position: number, depth: number): CallTree => {
    if (depth === shape.depth) return node(position, []);
    const calls = [build(position + 1, depth + 1)];
    for (let extra = 1; extra < shape.fanOut && sites < MAX_SITES; extra += 1) {
      sites += 1;
      calls.push(node(position + shape.depth + extra, []));
    }
    return node(position, calls);
  };
  return build(first, 1);
}

/** Returns the services that each service calls, over all kinds. */
function collectCalls(kinds: readonly CallerKind[]): Map<string, string[]> {
  const calls = new Map<string, string[]>();
  const visit = (site: CallSite): void => {
    const known = calls.get(site.service) ?? [];
    const callees = site.calls.map(({ service }) => service);
    calls.set(site.service, [...new Set([...known, ...callees])]);
    for (const call of site.calls) visit(call);
  };
  for (const { root } of kinds) visit(root);
  return calls;
}

function serviceName(index: number): string {
  return `service-${index + 1}`;
}

function kindName(index: number): string {
  return `kind-${index + 1}`;
}
