/**
 * The deployments of `examples/`, read from the rules and workload documents that nodes and
 * stand-ins also use, so that each figure is defined in one place.
 */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { Result } from 'true-myth';
import { parseRules, type KindRules, type Rules, type ServiceRules } from '../config/rules.js';
import type { Failure } from '../core/failure.js';
import {
  parseWorkload,
  type BackendWorkload,
  type Stream,
  type Workload,
} from '../stand-ins/workload.js';
import {
  createCallSites,
  type CallerKind,
  type CallTree,
  type Deployment,
  type ServiceKind,
} from './deployment.js';

/** One-way delays in milliseconds, which neither document contains. */
interface NetworkDelays {
  readonly zoneDelayMs: number;
  readonly clientDelayMs: number;
}

const NETWORKS: ReadonlyMap<string, NetworkDelays> = new Map([
  ['recife', { zoneDelayMs: 0.5, clientDelayMs: 1 }],
  ['trondheim', { zoneDelayMs: 1, clientDelayMs: 3 }],
  ['mesh', { zoneDelayMs: 0.9, clientDelayMs: 3 }],
]);

const CONNECT_MS = 1;
const LOCAL_DELAY_MS = 0.05;
const REGION_DELAY_MS = 15;

/** Names of the example deployments. */
export const EXAMPLE_NAMES: readonly string[] = [...NETWORKS.keys()];

/** Reads the deployment of an example; throws when the example is unknown or invalid. */
export function readExampleDeployment(name: string): Deployment {
  const network = NETWORKS.get(name);
  if (network === undefined) throw new Error(`no example ${name}`);
  const rules = expectValid(parseRules(readExample(name, 'rules.yaml')));
  const workload = expectValid(parseWorkload(readExample(name, 'workload.yaml')));
  return createDeployment(name, rules, workload, network);
}

/** Builds the model of a deployment from its documents. */
export function createDeployment(
  name: string,
  rules: Rules,
  workload: Workload,
  network: NetworkDelays,
): Deployment {
  const zones = new Set(
    rules.services.flatMap(({ targets }) => targets.map((target) => target.zone)),
  );
  return {
    name,
    tenant: rules.tenant,
    zones: [...zones].map((zone) => ({ name: zone, region: name })),
    regionDelayMs: REGION_DELAY_MS,
    localDelayMs: LOCAL_DELAY_MS,
    connectMs: CONNECT_MS,
    nodesPerZone: 1,
    subsets: false,
    ...network,
    services: rules.services.map(({ name: service, slots, connections, calls, targets }) => ({
      name: service,
      slots,
      connections,
      calls,
      targets: targets.map(({ id, zone }) => ({ id, zone })),
    })),
    kinds: workload.streams.map((stream) => createCallerKind(rules, workload, stream)),
  };
}

function createCallerKind(rules: Rules, workload: Workload, stream: Stream): CallerKind {
  const { kind } = findKind(rules, stream.service, stream.method, stream.path);
  return {
    name: kind.name,
    criticality: kind.criticality,
    share: stream.ratePerSecond,
    root: createCallSites(createTree(rules, workload, stream)),
  };
}

/** Identifies a call in the documents. */
interface CallReference {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

function createTree(rules: Rules, workload: Workload, call: CallReference): CallTree {
  const { service, kind } = findKind(rules, call.service, call.method, call.path);
  const backend = workload.backends.find((candidate) => candidate.service === service.name);
  if (backend === undefined) throw new Error(`workload has no service ${service.name}`);
  const calls = backend.calls.filter(({ on }) => matches(on, call));
  return {
    service: service.name,
    kind: createServiceKind(kind, backend, call),
    calls: calls.map((below) => createTree(rules, workload, below)),
    parallel: false,
  };
}

function createServiceKind(
  kind: KindRules,
  backend: BackendWorkload,
  call: CallReference,
): ServiceKind {
  const work = backend.work.find(({ on }) => matches(on, call)) ?? backend;
  return {
    name: kind.name,
    deadlineMs: kind.deadlineMs,
    attempts: kind.attempts,
    idempotent: kind.idempotent,
    serviceTimeMs: work.serviceMs,
    serviceTimeSigma: work.sigma,
    serviceTimeShape: 'lognormal',
  };
}

function findKind(
  rules: Rules,
  serviceName: string,
  method: string,
  path: string,
): { readonly service: ServiceRules; readonly kind: KindRules } {
  const service = rules.services.find(({ name }) => name === serviceName);
  const kind = service?.kinds
    .filter(({ match }) => matches(match, { method, path }))
    .sort((left, right) => right.match.pathPrefix.length - left.match.pathPrefix.length)[0];
  if (service === undefined || kind === undefined) {
    throw new Error(`rules have no kind for ${method} ${path} at ${serviceName}`);
  }
  return { service, kind };
}

interface RequestMatch {
  readonly method?: string | undefined;
  readonly pathPrefix?: string | undefined;
}

function matches(match: RequestMatch, call: { method: string; path: string }): boolean {
  const methodFits = match.method === undefined || match.method === call.method;
  return methodFits && call.path.startsWith(match.pathPrefix ?? '/');
}

function readExample(name: string, file: string): string {
  const url = new URL(`../../../examples/${name}/${file}`, import.meta.url);
  return readFileSync(fileURLToPath(url), 'utf8');
}

function expectValid<T>(result: Result<T, Failure>): T {
  if (result.isErr) throw new Error(`example is invalid: ${JSON.stringify(result.error)}`);
  return result.value;
}
