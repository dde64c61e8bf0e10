/**
 * Measures the latency of the same kind of request over several paths, interleaved in one run.
 *
 * Added latency is a difference of quantiles: a quantile of the latencies over a path, minus the
 * same quantile over the direct path. It is not a quantile of differences, since each request
 * takes one path only.
 */
import { hash32 } from '../core/hash.js';
import { createRandom } from '../core/random.js';
import { EntryChooser } from '../stand-ins/entry-chooser.js';
import { startArrivals } from '../stand-ins/callers/arrivals.js';
import { makeRequest, NO_RETRIES, type CallerContext } from '../stand-ins/callers/caller.js';
import { createAgent } from '../stand-ins/http-exchange.js';
import type { RequestRecord } from '../stand-ins/callers/caller-journal.js';
import { DurationHistogram, type Quantiles } from '../stand-ins/callers/summary.js';
import type { Stream } from '../stand-ins/workload.js';

export interface LatencyPath {
  readonly name: string;
  /** Base URLs; each request chooses one at random. */
  readonly entries: readonly string[];
  /** Overrides members of the stream for this path. */
  readonly stream?: Partial<Stream>;
}

export interface PathLatency {
  readonly name: string;
  /** Requests without a complete answer. */
  readonly failed: number;
  /** Milliseconds from sending to the complete answer. */
  readonly latency: Quantiles;
  /** Milliseconds spent in the back end, as it reports them. */
  readonly backend: Quantiles;
}

export interface PathLatencies {
  readonly paths: readonly PathLatency[];
  readonly records: readonly RequestRecord[];
}

export interface LatencyRunOptions {
  readonly stream: Stream;
  readonly paths: readonly LatencyPath[];
  /** Requests per second on each path. */
  readonly ratePerPath: number;
  readonly durationMs: number;
  /** Time at the start in which requests are sent but not counted. */
  readonly warmUpMs: number;
  readonly seed: number;
}

interface PathState {
  readonly path: LatencyPath;
  readonly stream: Stream;
  readonly context: CallerContext;
  readonly latency: DurationHistogram;
  readonly backend: DurationHistogram;
  failed: number;
}

/** Sends requests over the paths in turn, with Poisson arrivals. */
export async function measurePaths(options: LatencyRunOptions): Promise<PathLatencies> {
  const agent = createAgent();
  const random = createRandom(hash32(`paths ${options.seed}`));
  const states = options.paths.map((path): PathState => ({
    path,
    stream: { ...options.stream, ...path.stream },
    context: { entries: new EntryChooser(path.entries), agent, random, retries: NO_RETRIES },
    latency: new DurationHistogram(),
    backend: new DurationHistogram(),
    failed: 0,
  }));
  const countedFrom = performance.now() + options.warmUpMs;
  const records: RequestRecord[] = [];
  const running: Promise<void>[] = [];
  const send = async (state: PathState): Promise<void> => {
    const sentAt = performance.now();
    const record = await makeRequest(state.context, state.stream, sentAt);
    records.push(record);
    if (sentAt >= countedFrom) count(state, record);
  };
  let sent = 0;
  const rate = options.ratePerPath * states.length;
  const arrivals = startArrivals(random, rate, options.warmUpMs + options.durationMs, () => {
    running.push(send(states[sent % states.length]!));
    sent += 1;
  });
  await arrivals.done;
  await Promise.all(running);
  agent.destroy();
  return { paths: states.map(summarize), records };
}

function count(state: PathState, record: RequestRecord): void {
  if (record.verdict !== 'complete') {
    state.failed += 1;
    return;
  }
  state.latency.record(record.latencyMs);
  const backendMs = record.tries.at(-1)?.backendMs;
  if (backendMs !== undefined) state.backend.record(backendMs);
}

function summarize({ path, failed, latency, backend }: PathState): PathLatency {
  return {
    name: path.name,
    failed,
    latency: latency.quantiles(),
    backend: backend.quantiles(),
  };
}

/** Added latency in milliseconds. */
export interface AddedLatency {
  readonly p50: number;
  readonly p99: number;
}

/** Computes the latency that a path adds to the direct one. */
export function addedLatency(direct: PathLatency, path: PathLatency): AddedLatency {
  return {
    p50: roundMs(path.latency.p50 - direct.latency.p50),
    p99: roundMs(path.latency.p99 - direct.latency.p99),
  };
}

/** Rounds to microseconds. */
export function roundMs(milliseconds: number): number {
  return Math.round(milliseconds * 1_000) / 1_000;
}
