/** Synthetic fleets, to try the decision logic at sizes that no deployment has today. */
import { CRITICALITIES } from '../core/request.js';
import {
  createCallSites,
  type CallTree,
  type Deployment,
  type KindModel,
  type ServiceModel,
} from './deployment.js';
import { createStream } from './sampling.js';

/** Size and shape of a fleet. */
export interface FleetShape {
  readonly targets: number;
  readonly services: number;
  readonly zones: number;
  readonly regions: number;
  /** Services in a row on the longest chain. */
  readonly depth: number;
  readonly kinds: number;
  /** Calls that each back end of a chain makes; bounded so that a request stays small. */
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
/** Sites of one call tree; larger trees are cut. */
const MAX_SITES = 24;

/** Creates a fleet; the same shape gives the same fleet. */
export function createSyntheticFleet(shape: FleetShape): Deployment {
  const zones = Array.from({ length: shape.zones }, (_, index) => ({
    name: `zone-${index + 1}`,
    region: `region-${(index % shape.regions) + 1}`,
  }));
  const serviceCount = Math.min(shape.services, shape.targets);
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
    services: createServices(
      shape,
      serviceCount,
      zones.map(({ name }) => name),
    ),
    kinds: createKinds(shape, serviceCount),
  };
}

function createServices(
  shape: FleetShape,
  serviceCount: number,
  zones: readonly string[],
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
      serviceTimeMs:
        MIN_SERVICE_TIME_MS + random.next() * (MAX_SERVICE_TIME_MS - MIN_SERVICE_TIME_MS),
      serviceTimeSigma: SERVICE_TIME_SIGMA,
      serviceTimeShape: 'lognormal' as const,
      targets: Array.from({ length: targets }, (__, target) => ({
        id: `${name}-${target + 1}`,
        zone: zones[(index + target) % zones.length]!,
      })),
    };
  });
}

function createKinds(shape: FleetShape, serviceCount: number): KindModel[] {
  return Array.from({ length: shape.kinds }, (_, index) => {
    const first = Math.floor((index * serviceCount) / shape.kinds);
    const root = createCallSites(createTree(shape, serviceCount, first));
    return {
      name: `kind-${index + 1}`,
      criticality: CRITICALITIES[index % CRITICALITIES.length]!,
      deadlineMs: DEADLINE_PER_HOP_MS * (shape.depth + 1),
      attempts: 2 * root.size,
      idempotent: index % 4 !== 1,
      share: 1,
      root,
    };
  });
}

/** A chain of services in a row; the extra calls of a fan-out are leaves beside it. */
function createTree(shape: FleetShape, serviceCount: number, first: number): CallTree {
  let sites = shape.depth;
  const build = (position: number, depth: number): CallTree => {
    const service = serviceName(position % serviceCount);
    if (depth === shape.depth) return { service };
    const calls: CallTree[] = [build(position + 1, depth + 1)];
    for (let extra = 1; extra < shape.fanOut && sites < MAX_SITES; extra += 1) {
      sites += 1;
      calls.push({ service: serviceName((position + shape.depth + extra) % serviceCount) });
    }
    return { service, calls, parallel: shape.fanOut > 1 };
  };
  return build(first, 1);
}

function serviceName(index: number): string {
  return `service-${index + 1}`;
}
