/** Divides a scenario into phases with constant conditions, for the capacity bound. */
import type { Conditions, ServiceCondition } from './capacity-bound.js';
import type { Deployment, ServiceModel, TargetModel } from './deployment.js';
import type { Fault, Scenario } from './scenario.js';

/** Length of the phases into which a warm-up is divided, in milliseconds. */
const WARM_UP_STEP_MS = 500;

/** A period of the run in which conditions do not change. */
export interface Phase {
  readonly fromMs: number;
  readonly toMs: number;
  readonly conditions: Conditions;
}

/** Divides the measured part of a scenario into phases. */
export function phasesOf(scenario: Scenario, deployment: Deployment): Phase[] {
  const { warmUpMs, durationMs } = scenario;
  const boundaries = [warmUpMs, durationMs, ...changeTimes(scenario)]
    .filter((at) => at >= warmUpMs && at <= durationMs)
    .sort((left, right) => left - right);
  const phases: Phase[] = [];
  for (const [index, fromMs] of boundaries.entries()) {
    const toMs = boundaries[index + 1];
    if (toMs === undefined || toMs <= fromMs) continue;
    const conditions = conditionsAt(scenario, deployment, (fromMs + toMs) / 2);
    phases.push({ fromMs, toMs, conditions });
  }
  return phases;
}

/**
 * Time from the first start to the last end of all surges and faults; `undefined` without any.
 * The warm-up of targets that restart cold is included.
 */
export function causePeriod(
  scenario: Scenario,
): { readonly fromMs: number; readonly toMs: number } | undefined {
  // A platform outage alone adds no load.
  const faults = scenario.faults.filter(({ type }) => type !== 'platform-outage');
  const periods = [
    ...scenario.load.surges,
    ...faults.map((fault) => ({ fromMs: fault.fromMs, toMs: fault.toMs + warmUpOf(fault) })),
  ];
  if (periods.length === 0) return undefined;
  return {
    fromMs: Math.min(...periods.map(({ fromMs }) => fromMs)),
    toMs: Math.max(...periods.map(({ toMs }) => toMs)),
  };
}

function changeTimes(scenario: Scenario): number[] {
  const edges = [...scenario.load.surges, ...scenario.faults].flatMap(({ fromMs, toMs }) => [
    fromMs,
    toMs,
  ]);
  const steps = scenario.faults.flatMap((fault) => {
    const warmUpMs = warmUpOf(fault);
    const count = Math.ceil(warmUpMs / WARM_UP_STEP_MS);
    return Array.from({ length: count }, (_, step) => fault.toMs + (step + 1) * WARM_UP_STEP_MS);
  });
  return [...edges, ...steps];
}

function warmUpOf(fault: Fault): number {
  return 'warmUpMs' in fault ? fault.warmUpMs : 0;
}

function conditionsAt(scenario: Scenario, deployment: Deployment, at: number): Conditions {
  return new Map(
    deployment.services.map((service) => [service.name, conditionOf(scenario, service, at)]),
  );
}

/** Slots of the targets that serve, and one slowdown that stands for their mean service rate. */
function conditionOf(scenario: Scenario, service: ServiceModel, at: number): ServiceCondition {
  const speeds = service.targets.map((target) => speedOf(scenario, service, target, at));
  const serving = speeds.filter((speed) => speed > 0);
  const total = serving.reduce((sum, speed) => sum + speed, 0);
  const slowdown = total === 0 ? 1 : serving.length / total;
  return { slots: serving.length * service.slots, slowdown };
}

/** Relative speed of a target: 1 for a normal target, 0 for one that does not serve. */
function speedOf(
  scenario: Scenario,
  service: ServiceModel,
  target: TargetModel,
  at: number,
): number {
  const faults = scenario.faults.filter((fault) => appliesTo(fault, service, target));
  return faults.reduce((speed, fault) => speed * speedUnder(fault, at), 1);
}

function speedUnder(fault: Fault, at: number): number {
  const active = at >= fault.fromMs && at < fault.toMs;
  if (fault.type === 'slow') return active ? 1 / fault.factor : 1;
  if (fault.type === 'misleading-health') {
    return active && fault.mode === 'looks-healthy' ? 1 - fault.resetShare : 1;
  }
  if (fault.type === 'lost-answers') return active ? 1 - fault.share : 1;
  if (fault.type === 'shedding' || fault.type === 'platform-outage') return 1;
  // The slots are free: the bound does not know of the limit.
  if (fault.type === 'stated-limit') return 1;
  if (active) return 0;
  const warmUpLeft = fault.toMs + fault.warmUpMs - at;
  if (at < fault.toMs || warmUpLeft <= 0) return 1;
  return 1 / (1 + (fault.coldFactor - 1) * (warmUpLeft / fault.warmUpMs));
}

function appliesTo(fault: Fault, service: ServiceModel, target: TargetModel): boolean {
  if (fault.type === 'platform-outage') return false;
  if (fault.type === 'zone-loss') return fault.zone === target.zone;
  return (
    fault.service === service.name && (fault.target === undefined || fault.target === target.id)
  );
}
