/** Runs every policy of a scenario with every seed and summarises the results over the seeds. */
import { type ProgressListener, runAll } from './run-pool.js';
import type { KindResult, RunResult } from './run-result.js';
import type { Scenario } from './scenario.js';
import { median, type Spread, spreadOf } from './statistics.js';

/** Summary of one kind under one policy. */
export interface KindSummary {
  readonly kind: string;
  readonly criticality: string;
  readonly sent: Spread;
  /** Shares of the sent requests. */
  readonly complete: Spread;
  readonly refused: Spread;
  readonly failed: Spread;
  readonly timeout: Spread;
  /** Complete requests divided by those that the capacity bound allows. */
  readonly boundRatio: Spread;
  readonly p50Ms: Spread;
  readonly p99Ms: Spread;
  readonly attemptsPerCall: Spread;
  readonly maxAttempts: number;
  readonly attemptsBound: number;
}

/** Summary of one policy. */
export interface PolicySummary {
  readonly policy: string;
  readonly seeds: number;
  readonly goodputRatio: Spread;
  readonly criticalRatio: Spread;
  readonly unrankedRatio: Spread;
  readonly attemptsPerCall: Spread;
  /** Highest value of all seeds. */
  readonly maxAttemptsPerCall: number;
  /** In milliseconds; `Infinity` means not recovered. Absent without a cause. */
  readonly recoveryMs?: Spread;
  /** Completed requests per sent request before the cause. */
  readonly levelBefore?: Spread;
  /** Whether a request of any seed caused more attempts than its kind allows. */
  readonly overAttemptsBound: boolean;
  readonly kinds: readonly KindSummary[];
  /** Median shares of the slot time, by service. */
  readonly services: readonly {
    readonly service: string;
    readonly useful: number;
    readonly wasted: number;
    readonly late: number;
  }[];
  /** Median count by `place code service depth`. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Median of the mean wait in the gate by `kind at service depth`, in milliseconds. */
  readonly gateWaitMs: Readonly<Record<string, number>>;
}

/** All runs of an experiment and their summary by policy. */
export interface ExperimentResult {
  readonly scenario: Scenario;
  readonly runs: readonly RunResult[];
  readonly summary: readonly PolicySummary[];
}

/**
 * Runs an experiment; the same scenario gives the same result with any number of jobs.
 *
 * @param jobs maximum number of concurrent runs
 */
export async function runExperiment(
  scenario: Scenario,
  jobs: number,
  onProgress: ProgressListener,
): Promise<ExperimentResult> {
  const pairs = scenario.policies.flatMap((policy) =>
    scenario.seeds.map((seed) => ({ policy, seed })),
  );
  const requests = pairs.map((pair, index) => ({ index, ...pair }));
  const runs = await runAll(scenario, requests, jobs, onProgress);
  const summary = scenario.policies.map((policy) =>
    summarise(
      policy,
      runs.filter((run) => run.policy === policy),
    ),
  );
  return { scenario, runs, summary };
}

function summarise(policy: string, runs: readonly RunResult[]): PolicySummary {
  const over = (value: (run: RunResult) => number) => spreadOf(runs.map(value));
  const kinds = (runs[0]?.kinds ?? []).map((_, index) =>
    summariseKind(runs.map((run) => run.kinds[index]!)),
  );
  const hasCause = runs[0]?.recoveryMs !== undefined;
  return {
    policy,
    seeds: runs.length,
    goodputRatio: over((run) => run.goodputRatio),
    criticalRatio: over((run) => run.criticalRatio),
    unrankedRatio: over((run) => run.unrankedRatio),
    attemptsPerCall: over((run) => run.attemptsPerCall),
    maxAttemptsPerCall: Math.max(...runs.map((run) => run.maxAttemptsPerCall)),
    ...(hasCause
      ? {
          recoveryMs: over((run) => run.recoveryMs ?? Infinity),
          levelBefore: over((run) => run.levelBefore ?? 0),
        }
      : {}),
    overAttemptsBound: kinds.some(({ maxAttempts, attemptsBound }) => maxAttempts > attemptsBound),
    kinds,
    services: (runs[0]?.services ?? []).map(({ service }, index) => ({
      service,
      useful: over((run) => run.services[index]!.useful).median,
      wasted: over((run) => run.services[index]!.wasted).median,
      late: over((run) => run.services[index]!.late).median,
    })),
    refusals: medianByKey(runs.map(({ refusals }) => refusals)),
    gateWaitMs: medianByKey(runs.map(({ gateWaitMs }) => gateWaitMs)),
  };
}

function summariseKind(results: readonly KindResult[]): KindSummary {
  const { kind, criticality, attemptsBound } = results[0]!;
  const over = (value: (result: KindResult) => number) => spreadOf(results.map(value));
  const share = (end: keyof KindResult['ends']) => over(({ ends, sent }) => ratio(ends[end], sent));
  return {
    kind,
    criticality,
    attemptsBound,
    sent: over(({ sent }) => sent),
    complete: share('complete'),
    refused: share('refused'),
    failed: share('failed'),
    timeout: share('timeout'),
    boundRatio: over(({ ends, bound }) => ratio(ends.complete, bound)),
    p50Ms: over(({ latencyMs }) => latencyMs.p50),
    p99Ms: over(({ latencyMs }) => latencyMs.p99),
    attemptsPerCall: over(({ attempts, calls }) => ratio(attempts, calls)),
    maxAttempts: Math.max(...results.map(({ maxAttempts }) => maxAttempts)),
  };
}

/** Median of each key's values; a run without the key counts as 0. */
function medianByKey(records: readonly Readonly<Record<string, number>>[]): Record<string, number> {
  const keys = [...new Set(records.flatMap((record) => Object.keys(record)))].sort();
  return Object.fromEntries(
    keys.map((key) => [key, median(records.map((record) => record[key] ?? 0))]),
  );
}

function ratio(value: number, of: number): number {
  return of === 0 ? 0 : value / of;
}
