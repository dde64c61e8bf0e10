/**
 * Latency over several paths to the same kind of work, interleaved in one run.
 *
 * "Added" is the difference of quantiles: the quantile of the latencies through a path less the
 * same quantile of the direct ones. It is not a quantile of differences, since no request goes
 * both ways.
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

/** One way to the work. */
export interface LatencyPath {
  readonly name: string;
  /** Base URLs, used in turn at random. */
  readonly entries: readonly string[];
  /** Replaces members of the stream for this path. */
  readonly stream?: Partial<Stream>;
}

/** What one path gave. */
export interface PathLatency {
  readonly name: string;
  /** Requests that did not get their complete answer. */
  readonly failed: number;
  /** Milliseconds from sending to the complete answer. */
  readonly latency: Quantiles;
  /** Milliseconds that the back end spent, by its own account. */
  readonly backend: Quantiles;
}

/** Result of a run over all paths. */
export interface PathLatencies {
  readonly paths: readonly PathLatency[];
  readonly records: readonly RequestRecord[];
}

/** Options of a run. */
export interface LatencyRunOptions {
  readonly stream: Stream;
  readonly paths: readonly LatencyPath[];
  /** Requests a second on each path. */
  readonly ratePerPath: number;
  readonly durationMs: number;
  /** Milliseconds at the start that are sent but not counted. */
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

/** Sends requests over all paths in turn at Poisson times. */
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
  const countFrom = performance.now() + options.warmUpMs;
  const records: RequestRecord[] = [];
  const running: Promise<void>[] = [];
  const send = async (state: PathState): Promise<void> => {
    const sentAt = performance.now();
    const record = await makeRequest(state.context, state.stream, sentAt);
    records.push(record);
    if (sentAt >= countFrom) count(state, record);
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

/** Difference of quantiles in milliseconds between a path and the direct one. */
export interface AddedLatency {
  readonly p50: number;
  readonly p99: number;
}

/** What a path adds to the direct one. */
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
