/** The callers stand-in: open-loop streams of requests against the nodes' entries. */
import { hash32 } from '../../core/hash.js';
import { createRandom } from '../../core/random.js';
import { createAgent } from '../http-exchange.js';
import { EntryChooser } from '../entry-chooser.js';
import type { Stream } from '../workload.js';
import { startArrivals, type ArrivalProcess } from './arrivals.js';
import { makeRequest, type CallerContext, type RetryBehaviour } from './caller.js';
import type { RequestRecord } from './caller-journal.js';
import { DurationHistogram, summarizeKind, type KindSummary, type Quantiles } from './summary.js';

/** Options of a run of callers. */
export interface CallersOptions {
  /** Base URLs of the entries. */
  readonly entries: readonly string[];
  readonly streams: readonly Stream[];
  /** Multiplies the rate of every stream. */
  readonly rateFactor: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly retries: RetryBehaviour;
}

/** Result of a run. */
export interface CallersResult {
  readonly kinds: readonly KindSummary[];
  readonly records: readonly RequestRecord[];
  /** Delay from planned to actual sending in milliseconds: the error of the stand-in itself. */
  readonly sendLag: Quantiles;
}

/** A run of callers. */
export interface Callers {
  setRateFactor(factor: number): void;
  /** Stops sending; requests in flight are completed. */
  stop(): void;
  /** Result so far. */
  result(): CallersResult;
  /** Resolves when all requests have ended. */
  readonly done: Promise<CallersResult>;
}

/** Starts the streams. */
export function startCallers(options: CallersOptions): Callers {
  const agent = createAgent();
  const entries = new EntryChooser(options.entries);
  const records: RequestRecord[] = [];
  const lag = new DurationHistogram();
  const running = new Set<Promise<void>>();

  const send = (context: CallerContext, stream: Stream, plannedAt: number): void => {
    lag.record(performance.now() - plannedAt);
    const completion = makeRequest(context, stream, plannedAt).then((record) => {
      records.push(record);
      running.delete(completion);
    });
    running.add(completion);
  };
  const arrivals: ArrivalProcess[] = options.streams.map((stream, index) => {
    const random = createRandom(hash32(`callers ${options.seed} ${index}`));
    const context = { entries, agent, random, retries: options.retries };
    const rate = stream.ratePerSecond;
    const process = startArrivals(random, rate, options.durationMs, (plannedAt) => {
      send(context, stream, plannedAt);
    });
    process.setFactor(options.rateFactor);
    return process;
  });

  const result = (): CallersResult => {
    const kinds = [...new Set(options.streams.map((stream) => stream.kind))];
    const summaries = kinds.map((kind) =>
      summarizeKind(
        kind,
        records.filter((record) => record.kind === kind),
      ),
    );
    return { kinds: summaries, records, sendLag: lag.quantiles() };
  };
  const finish = async (): Promise<CallersResult> => {
    await Promise.all(arrivals.map((process) => process.done));
    while (running.size > 0) await Promise.all(running);
    agent.destroy();
    return result();
  };
  return {
    setRateFactor: (factor) => {
      for (const process of arrivals) process.setFactor(factor);
    },
    stop: () => {
      for (const process of arrivals) process.stop();
    },
    result,
    done: finish(),
  };
}
