/** The deployments of Recife and Trondheim at their sizes of today. */
import {
  createCallSites,
  type Deployment,
  type KindModel,
  type ServiceModel,
} from './deployment.js';

const CONNECT_MS = 1;
const LOCAL_DELAY_MS = 0.05;
const REGION_DELAY_MS = 15;
const SERVICE_TIME_SIGMA = 0.5;

interface ServiceSize {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  readonly serviceTimeMs: number;
}

function createService(size: ServiceSize, zones: readonly string[]): ServiceModel {
  const targets = Array.from({ length: size.targets }, (_, index) => ({
    id: `${size.name}-${index + 1}`,
    zone: zones[index % zones.length]!,
  }));
  return {
    name: size.name,
    slots: size.slots,
    connections: size.connections,
    serviceTimeMs: size.serviceTimeMs,
    serviceTimeSigma: SERVICE_TIME_SIGMA,
    serviceTimeShape: 'lognormal',
    targets,
  };
}

const RECIFE_ZONES = ['recife-a', 'recife-b', 'recife-c'];

const RECIFE_SERVICES: readonly ServiceSize[] = [
  { name: 'script-guide', targets: 3, slots: 12, connections: 110, serviceTimeMs: 20 },
  { name: 'promise-ledger', targets: 3, slots: 15, connections: 110, serviceTimeMs: 30 },
  { name: 'recording-archive', targets: 3, slots: 18, connections: 110, serviceTimeMs: 40 },
  { name: 'objection-answers', targets: 3, slots: 20, connections: 110, serviceTimeMs: 25 },
];

const RECIFE_KINDS: readonly KindModel[] = [
  {
    name: 'script-step',
    criticality: 'critical',
    deadlineMs: 800,
    attempts: 6,
    idempotent: true,
    share: 0.4,
    root: createCallSites({
      service: 'script-guide',
      calls: [{ service: 'objection-answers', calls: [{ service: 'recording-archive' }] }],
    }),
  },
  {
    name: 'promise-entry',
    criticality: 'critical',
    deadlineMs: 1_500,
    attempts: 4,
    idempotent: false,
    share: 0.15,
    root: createCallSites({ service: 'promise-ledger' }),
  },
  {
    name: 'plan-change',
    criticality: 'high',
    deadlineMs: 1_500,
    attempts: 4,
    idempotent: false,
    share: 0.1,
    root: createCallSites({ service: 'promise-ledger', calls: [{ service: 'objection-answers' }] }),
  },
  {
    name: 'objection-lookup',
    criticality: 'normal',
    deadlineMs: 1_000,
    attempts: 4,
    idempotent: true,
    share: 0.15,
    root: createCallSites({ service: 'objection-answers' }),
  },
  {
    name: 'pack-download',
    criticality: 'sheddable',
    deadlineMs: 3_000,
    attempts: 4,
    idempotent: true,
    share: 0.2,
    root: createCallSites({ service: 'recording-archive' }),
  },
];

const TRONDHEIM_ZONES = ['trondheim-a', 'trondheim-b', 'trondheim-c'];

const TRONDHEIM_SERVICES: readonly ServiceSize[] = [
  { name: 'build-log', targets: 4, slots: 6, connections: 130, serviceTimeMs: 20 },
  { name: 'deployment-control', targets: 3, slots: 8, connections: 130, serviceTimeMs: 30 },
  { name: 'artefact-storage', targets: 3, slots: 9, connections: 130, serviceTimeMs: 30 },
  { name: 'pipeline-history', targets: 4, slots: 10, connections: 130, serviceTimeMs: 40 },
];

const TRONDHEIM_KINDS: readonly KindModel[] = [
  {
    name: 'deployment-trigger',
    criticality: 'critical',
    deadlineMs: 2_000,
    attempts: 6,
    idempotent: false,
    share: 0.15,
    root: createCallSites({
      service: 'deployment-control',
      calls: [{ service: 'pipeline-history', calls: [{ service: 'artefact-storage' }] }],
    }),
  },
  {
    name: 'log-fetch',
    criticality: 'critical',
    deadlineMs: 1_000,
    attempts: 4,
    idempotent: true,
    share: 0.35,
    root: createCallSites({ service: 'build-log', calls: [{ service: 'artefact-storage' }] }),
  },
  {
    name: 'artefact-fetch',
    criticality: 'high',
    deadlineMs: 2_000,
    attempts: 4,
    idempotent: true,
    share: 0.25,
    root: createCallSites({ service: 'artefact-storage' }),
  },
  {
    name: 'history-query',
    criticality: 'sheddable',
    deadlineMs: 3_000,
    attempts: 4,
    idempotent: true,
    share: 0.25,
    root: createCallSites({ service: 'pipeline-history' }),
  },
];

/** Recife: three zones, four services with three targets each. */
export const RECIFE: Deployment = {
  name: 'recife',
  tenant: 'roteiro-vivo',
  zones: RECIFE_ZONES.map((name) => ({ name, region: 'recife' })),
  zoneDelayMs: 0.5,
  regionDelayMs: REGION_DELAY_MS,
  clientDelayMs: 1,
  localDelayMs: LOCAL_DELAY_MS,
  connectMs: CONNECT_MS,
  nodesPerZone: 1,
  services: RECIFE_SERVICES.map((size) => createService(size, RECIFE_ZONES)),
  kinds: RECIFE_KINDS,
};

/** Trondheim: three zones, four services with three or four targets each. */
export const TRONDHEIM: Deployment = {
  name: 'trondheim',
  tenant: 'fjordbygg',
  zones: TRONDHEIM_ZONES.map((name) => ({ name, region: 'trondheim' })),
  zoneDelayMs: 1,
  regionDelayMs: REGION_DELAY_MS,
  clientDelayMs: 3,
  localDelayMs: LOCAL_DELAY_MS,
  connectMs: CONNECT_MS,
  nodesPerZone: 1,
  services: TRONDHEIM_SERVICES.map((size) => createService(size, TRONDHEIM_ZONES)),
  kinds: TRONDHEIM_KINDS,
};

/** Deployments known by name. */
export const BUILT_IN_DEPLOYMENTS: ReadonlyMap<string, Deployment> = new Map(
  [RECIFE, TRONDHEIM].map((deployment) => [deployment.name, deployment]),
);
