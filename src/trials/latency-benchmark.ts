/**
 * The latency benchmark. Compares three paths, interleaved in one run over separate processes:
 * direct, one hop (one node is the entry and fronts the target) and two hops (entry node, then the
 * node that fronts the target). Each path has its own nodes and its own back end, so each node
 * serves the configured rate: the first node serves one hop, the second is the entry and the third
 * the fronting node of two hops.
 */
import { Deployment } from './deployment.js';
import type { Rules } from '../config/rules.js';
import type { Settings } from '../config/settings.js';
import type { Workload } from '../stand-ins/workload.js';
import {
  addedLatency,
  measurePaths,
  roundMs,
  type LatencyPath,
  type PathLatency,
} from './latency-paths.js';
import { formatTable } from '../cli/table.js';

export interface LatencyBenchmarkOptions {
  /** Calls per second at each node; one run for each rate. */
  readonly rates: readonly number[];
  /** Measured time of each run, without the warm-up. */
  readonly durationMs: number;
  readonly seed: number;
  /** Whether requests carry an Idempotency-Key, which is charged at the claim replicas. */
  readonly requestId: boolean;
}

/** Result of one path. Times are in milliseconds. */
export interface LatencyRow {
  readonly path: string;
  readonly count: number;
  readonly failed: number;
  readonly p50: number;
  readonly p99: number;
  readonly addedP50: number;
  readonly addedP99: number;
  /** Time spent in the back end, as it reports it. */
  readonly backendP50: number;
  readonly backendP99: number;
}

export interface LatencyRun {
  readonly ratePerNode: number;
  readonly rows: readonly LatencyRow[];
}

const WARM_UP_MS = 2_000;
const SERVICE_MS = 5;
const SLOTS = 200;
const EXAMPLE = 'recife';
const REMOTE_SERVICE = 'latency-remote';
const REMOTE_HOST = 'latency-remote.example';

/** Starts a deployment, measures at each rate in turn, and stops it. */
export async function runLatencyBenchmark(
  options: LatencyBenchmarkOptions,
): Promise<readonly LatencyRun[]> {
  let plannedNodes = 0;
  const deployment = await Deployment.start({
    example: EXAMPLE,
    changeRules: createRules,
    changeWorkload: useConstantServiceTime,
    changeSettings: (settings) => {
      plannedNodes += 1;
      return frontOneTarget(settings, plannedNodes);
    },
  });
  try {
    const { probe } = deployment.plan.workload;
    const runs: LatencyRun[] = [];
    for (const ratePerNode of options.rates) {
      const { paths } = await measurePaths({
        stream: { ...probe, requestId: options.requestId },
        paths: listPaths(deployment),
        ratePerPath: ratePerNode,
        durationMs: options.durationMs,
        warmUpMs: WARM_UP_MS,
        seed: options.seed,
      });
      runs.push({ ratePerNode, rows: paths.map((path) => createRow(paths[0]!, path)) });
    }
    return runs;
  } finally {
    await deployment.stop();
  }
}

function listPaths({ nodes, targets }: Deployment): LatencyPath[] {
  const remote = { service: REMOTE_SERVICE, host: REMOTE_HOST };
  return [
    { name: 'direct', entries: targets.map(({ plan }) => `http://${plan.address}`) },
    { name: 'one hop', entries: [nodes[0]!.entry] },
    { name: 'two hops', entries: [nodes[1]!.entry], stream: remote },
  ];
}

/** Creates two services with one target each: one for the path of one hop, one for two hops. */
function createRules(rules: Rules): Rules {
  const [service] = rules.services;
  const base = {
    ...service!,
    slots: SLOTS,
    connections: SLOTS,
    calls: [],
    kinds: service!.kinds.filter(({ name }) => name === 'latency-probe'),
  };
  const [oneHopTarget, , twoHopTarget] = service!.targets;
  const remote = { ...base, name: REMOTE_SERVICE, hosts: [REMOTE_HOST], targets: [twoHopTarget!] };
  return { ...rules, services: [{ ...base, targets: [oneHopTarget!] }, remote] };
}

/** The first node fronts the first target, the third node the other one. */
function frontOneTarget(settings: Settings, position: number): Settings {
  const fronts = { 1: ['script-guide-1'], 3: ['script-guide-3'] }[position] ?? [];
  return { ...settings, node: { ...settings.node, fronts } };
}

function useConstantServiceTime(workload: Workload): Workload {
  const [first] = workload.backends;
  const constant = { ...first!, serviceMs: SERVICE_MS, sigma: 0, work: [], calls: [] };
  return { ...workload, backends: [constant, { ...constant, service: REMOTE_SERVICE }] };
}

function createRow(direct: PathLatency, path: PathLatency): LatencyRow {
  const added = addedLatency(direct, path);
  return {
    path: path.name,
    count: path.latency.count,
    failed: path.failed,
    p50: roundMs(path.latency.p50),
    p99: roundMs(path.latency.p99),
    addedP50: added.p50,
    addedP99: added.p99,
    backendP50: roundMs(path.backend.p50),
    backendP99: roundMs(path.backend.p99),
  };
}

/** Formats a run as a table. */
export function formatLatencyRun({ ratePerNode, rows }: LatencyRun): string {
  const heading = ['path', 'counted', 'failed', 'p50 ms', 'p99 ms', 'added p50', 'added p99'];
  const table = formatTable(
    [...heading, 'back end p50', 'back end p99'],
    rows.map((row) => [
      row.path,
      ...[row.count, row.failed],
      ...[row.p50, row.p99, row.addedP50, row.addedP99, row.backendP50, row.backendP99].map(
        (value) => value.toFixed(2),
      ),
    ]),
  );
  return `${ratePerNode} calls/s at each node\n${table}`;
}
