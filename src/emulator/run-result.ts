/** Result of one run as plain data, as the experiment tool writes it. */
import { CRITICALITIES } from '../core/request.js';
import { goodputBound } from './capacity-bound.js';
import type { Deployment } from './deployment.js';
import { causePeriod, phasesOf } from './phases.js';
import { type KindSeries, type Recorder, type ServiceSeries, WINDOW_MS } from './recorder.js';
import { levelBeforeCause, recoveryTime } from './recovery.js';
import type { RequestEnd } from './request-record.js';
import type { Scenario } from './scenario.js';

const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Result by kind. */
export interface KindResult {
  readonly kind: string;
  readonly criticality: string;
  readonly sent: number;
  readonly ends: Readonly<Record<RequestEnd, number>>;
  readonly attempts: number;
  readonly calls: number;
  readonly maxAttempts: number;
  readonly attemptsBound: number;
  /** Complete requests that the capacity bound allows, with more important classes first. */
  readonly bound: number;
  readonly latencyMs: { readonly p50: number; readonly p99: number };
}

/** Slot time of a service as shares of all slot time of the measured part. */
export interface ServiceResult {
  readonly service: string;
  readonly useful: number;
  readonly wasted: number;
  readonly late: number;
}

/** Result of one run. */
export interface RunResult {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  readonly events: number;
  readonly kinds: readonly KindResult[];
  readonly services: readonly ServiceResult[];
  /** Complete requests divided by the bound, with more important classes first. */
  readonly goodputRatio: number;
  /** The same ratio for the most important class alone. */
  readonly criticalRatio: number;
  /** Complete requests divided by the bound in which all kinds count the same. */
  readonly unrankedRatio: number;
  /** Attempts per distinct call of the chain. */
  readonly attemptsPerCall: number;
  readonly maxAttemptsPerCall: number;
  /** In milliseconds; `null` when not recovered by the end, absent without a cause. */
  readonly recoveryMs?: number | null;
  /** Completed requests per sent request before the cause; the reference level of recovery. */
  readonly levelBefore?: number;
  /** Count by `place code service depth`. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Mean wait in the gate by `kind at service depth`, in milliseconds. */
  readonly gateWaitMs: Readonly<Record<string, number>>;
  readonly series: {
    readonly windowMs: number;
    readonly kinds: Readonly<Record<string, KindSeries>>;
    readonly services: Readonly<Record<string, ServiceSeries>>;
  };
}

/** Inputs of {@link createRunResult}. */
export interface FinishedRun {
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly policy: string;
  readonly seed: number;
  readonly events: number;
  readonly recorder: Recorder;
}

/** Builds the result of a finished run. */
export function createRunResult(run: FinishedRun): RunResult {
  const { scenario, deployment, recorder } = run;
  const bound = integrateBound(run, true);
  const unranked = sum(integrateBound(run, false));
  const kinds = deployment.kinds.map((_, index) => kindResult(run, index, bound[index]!));
  const complete = sum(kinds.map(({ ends }) => ends.complete));
  const calls = sum(kinds.map((kind) => kind.calls));
  const recovery = recoveryOf(scenario, recorder);
  return {
    scenario: scenario.name,
    policy: run.policy,
    seed: run.seed,
    events: run.events,
    kinds,
    services: deployment.services.map((_, index) => serviceResult(run, index)),
    goodputRatio: ratio(complete, sum(bound)),
    criticalRatio: criticalRatio(kinds),
    unrankedRatio: ratio(complete, unranked),
    attemptsPerCall: ratio(sum(kinds.map(({ attempts }) => attempts)), calls),
    maxAttemptsPerCall: Math.max(...recorder.kinds.map((kind) => kind.maxAttemptsPerCall)),
    ...recovery,
    refusals: Object.fromEntries([...recorder.refusals].sort()),
    gateWaitMs: Object.fromEntries(
      [...recorder.gateWaits].sort().map(([key, { count, totalMs }]) => [key, totalMs / count]),
    ),
    series: {
      windowMs: WINDOW_MS,
      kinds: byName(deployment.kinds, recorder.kindSeries),
      services: byName(deployment.services, recorder.serviceSeries),
    },
  };
}

/** Goodput of the most important class that the deployment has, divided by its bound. */
function criticalRatio(kinds: readonly KindResult[]): number {
  const first = CRITICALITIES.find((name) => kinds.some(({ criticality }) => criticality === name));
  const critical = kinds.filter(({ criticality }) => criticality === first);
  return ratio(sum(critical.map(({ ends }) => ends.complete)), sum(critical.map((k) => k.bound)));
}

/** Requests that the bound allows by kind, given the requests that were actually sent. */
function integrateBound(run: FinishedRun, prioritised: boolean): number[] {
  const totals = run.deployment.kinds.map(() => 0);
  for (const { fromMs, toMs, conditions } of phasesOf(run.scenario, run.deployment)) {
    const seconds = (toMs - fromMs) / MS_PER_SECOND;
    const demand = run.recorder.kindSeries.map(
      ({ sent }) => sentBetween(sent, fromMs, toMs) / seconds,
    );
    const rates = goodputBound(run.deployment, conditions, demand, prioritised);
    for (const [index, rate] of rates.entries()) totals[index]! += rate * seconds;
  }
  return totals;
}

function sentBetween(sent: readonly number[], fromMs: number, toMs: number): number {
  return sum(sent.slice(Math.round(fromMs / WINDOW_MS), Math.round(toMs / WINDOW_MS)));
}

function kindResult(run: FinishedRun, index: number, bound: number): KindResult {
  const kind = run.deployment.kinds[index]!;
  const totals = run.recorder.kinds[index]!;
  const quantile = (percentile: number) =>
    totals.latencyUs.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    kind: kind.name,
    criticality: kind.criticality,
    sent: totals.sent,
    ends: { ...totals.ends },
    attempts: totals.attempts,
    calls: totals.calls,
    maxAttempts: totals.maxAttempts,
    attemptsBound: kind.root.kind.attempts,
    bound,
    latencyMs: { p50: quantile(50), p99: quantile(99) },
  };
}

function serviceResult(run: FinishedRun, index: number): ServiceResult {
  const { name, slots, targets } = run.deployment.services[index]!;
  const { useful, wasted, late } = run.recorder.slots[index]!;
  const total = slots * targets.length * (run.scenario.durationMs - run.scenario.warmUpMs);
  return {
    service: name,
    useful: useful / total,
    wasted: wasted / total,
    late: late / total,
  };
}

function recoveryOf(
  scenario: Scenario,
  recorder: Recorder,
): Pick<RunResult, 'recoveryMs' | 'levelBefore'> {
  const cause = causePeriod(scenario);
  if (cause === undefined || cause.toMs >= scenario.durationMs) return {};
  const series = {
    sent: addSeries(recorder.kindSeries.map(({ sent }) => sent)),
    complete: addSeries(recorder.kindSeries.map(({ complete }) => complete)),
  };
  const times = {
    warmUpMs: scenario.warmUpMs,
    causeStartMs: cause.fromMs,
    causeEndMs: cause.toMs,
  };
  return {
    recoveryMs: recoveryTime(series, times) ?? null,
    levelBefore: levelBeforeCause(series, times),
  };
}

function addSeries(all: readonly (readonly number[])[]): number[] {
  return (all[0] ?? []).map((_, window) => sum(all.map((series) => series[window]!)));
}

function byName<T>(
  named: readonly { readonly name: string }[],
  values: readonly T[],
): Record<string, T> {
  return Object.fromEntries(named.map(({ name }, index) => [name, values[index]!]));
}

function ratio(value: number, of: number): number {
  return of === 0 ? 0 : value / of;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
