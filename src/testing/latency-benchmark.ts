/**
 * The latency benchmark: direct, one hop (entry and target side in one node) and two hops
 * (entry node, then the node that fronts the target), interleaved in one run over separate
 * processes. Requests carry no request id; one more path shows what a request id costs.
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
import { formatTable } from './text-table.js';

/** Options of the benchmark. */
export interface LatencyBenchmarkOptions {
  /** Requests a second on each path: one run for each. */
  readonly rates: readonly number[];
  /** Milliseconds that are counted in each run. */
  readonly durationMs: number;
  readonly seed: number;
}

/** One row of the result, in milliseconds. */
export interface LatencyRow {
  readonly path: string;
  readonly count: number;
  readonly failed: number;
  readonly p50: number;
  readonly p99: number;
  readonly addedP50: number;
  readonly addedP99: number;
  /** Back end's own time. */
  readonly backendP50: number;
  readonly backendP99: number;
}

/** Result at one rate. */
export interface LatencyRun {
  readonly ratePerPath: number;
  readonly rows: readonly LatencyRow[];
}

const WARM_UP_MS = 2_000;
const SERVICE_MS = 5;
const SLOTS = 200;
const EXAMPLE = 'recife';

/** Starts a deployment, measures at each rate in turn, and stops it. */
export async function runLatencyBenchmark(
  options: LatencyBenchmarkOptions,
): Promise<readonly LatencyRun[]> {
  const fronting: string[] = [];
  const deployment = await Deployment.start({
    example: EXAMPLE,
    changeRules: keepProbeTarget,
    changeWorkload: useConstantTime,
    changeSettings: (settings) => frontByFirst(settings, fronting),
  });
  try {
    const runs: LatencyRun[] = [];
    for (const ratePerPath of options.rates) {
      const { paths } = await measurePaths({
        stream: deployment.plan.workload.probe,
        paths: listPaths(deployment),
        ratePerPath,
        durationMs: options.durationMs,
        warmUpMs: WARM_UP_MS,
        seed: options.seed,
      });
      runs.push({ ratePerPath, rows: paths.map((path) => createRow(paths[0]!, path)) });
    }
    return runs;
  } finally {
    await deployment.stop();
  }
}

function listPaths(deployment: Deployment): LatencyPath[] {
  const [first, second] = deployment.nodes;
  const target = deployment.targets[0]!;
  return [
    { name: 'direct', entries: [`http://${target.plan.address}`] },
    { name: 'one hop', entries: [first!.entry] },
    { name: 'two hops', entries: [second!.entry] },
    { name: 'one hop, request id', entries: [first!.entry], stream: { requestId: true } },
  ];
}

/** One service with one target, so that every path ends at the same back end. */
function keepProbeTarget(rules: Rules): Rules {
  const [service] = rules.services;
  const kinds = service!.kinds.filter(({ name }) => name === 'latency-probe');
  const only = {
    ...service!,
    slots: SLOTS,
    connections: SLOTS,
    calls: [],
    targets: service!.targets.slice(0, 1),
    kinds,
  };
  return { ...rules, services: [only] };
}

function useConstantTime(workload: Workload): Workload {
  const backends = workload.backends.map((backend) => ({
    ...backend,
    serviceMs: SERVICE_MS,
    sigma: 0,
    work: [],
    calls: [],
  }));
  return { ...workload, backends };
}

/** The first node planned fronts the target, the others never do. */
function frontByFirst(settings: Settings, fronting: string[]): Settings {
  if (fronting.length > 0) return settings;
  fronting.push(settings.node.id);
  return { ...settings, node: { ...settings.node, fronts: ['script-guide-1'] } };
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

/** Lays a run out as text. */
export function formatLatencyRun({ ratePerPath, rows }: LatencyRun): string {
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
  return `${ratePerPath} calls/s on each path\n${table}`;
}
