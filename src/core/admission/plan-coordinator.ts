/** Merges the reports of entry nodes and gates about one short service into its admission plan. */
import {
  computeAdmissionPlan,
  isRestrictive,
  requestsByClass,
  wantedByClass,
  type AdmissionPlan,
  type AdmissionPlanOptions,
} from './admission-plan.js';
import { CapacityControl, type GateCapacity } from './capacity-control.js';
import { ClassBalance, type ClassService } from './class-balance.js';
import { meanCost, OTHER_KINDS, type DemandRow } from './demand-rows.js';
import { DemandTrend } from './demand-trend.js';

/** Time for which a report counts, in milliseconds. */
const REPORT_LIFETIME_MS = 600;
/**
 * Shortest time between two plans, in milliseconds. A plan of 71 nodes with 60 rows each takes 1.7 ms of processor
 * time, which would be spent for each of 355 reports a second otherwise.
 */
const PLAN_INTERVAL_MS = 100;
/** The same while nodes begin to report, since a plan made from a part of the demand admits too much. */
const FIRST_PLANS_INTERVAL_MS = 40;
const MS_PER_SECOND = 1_000;
/** Shortest time between two calls of `onPlanned`, in milliseconds. */
const NOTICE_INTERVAL_MS = 1_000;

interface Dated<T> {
  readonly at: number;
  readonly report: T;
}

export interface PlanCoordinatorOptions extends Pick<AdmissionPlanOptions, 'limitOf'> {
  /** Targets of the service whose nodes are reachable; those that don't report are not busy. */
  reachableTargets(): number;
  /** Called at most once a second with a plan that refuses requests. */
  onPlanned?(planned: PlannedAdmission): void;
}

/** What a plan was made from. */
export interface PlannedAdmission {
  readonly plan: AdmissionPlan;
  /** Slots of the service, those of gates that are not busy included. */
  readonly slots: number;
  /** Gates that reported. */
  readonly gates: number;
  /** Mean load of these, in calls in flight and waiting per slot. */
  readonly load: number;
  /** Part of the slots that the plan divides. */
  readonly factor: number;
  /** Slots that the demand of each class takes, by rank. */
  readonly wantedSlots: readonly number[];
}

/** Coordinates the admission to one service. */
export class PlanCoordinator {
  private readonly demand = new Map<string, Dated<readonly DemandRow[]>>();
  private readonly gates = new Map<string, Dated<GateCapacity>>();
  private readonly control = new CapacityControl();
  private readonly trend = new DemandTrend();
  private readonly balance = new ClassBalance();
  private current: AdmissionPlan | undefined;
  private computedAt = -Infinity;
  /** Nodes whose demand the current plan was made from. */
  private planned = 0;
  private lastReportAt = -Infinity;
  private noticedAt = -Infinity;

  constructor(private readonly options: PlanCoordinatorOptions) {}

  /** Records the report of an entry node. */
  noteDemand(now: number, node: string, rows: readonly DemandRow[]): void {
    this.lastReportAt = now;
    this.demand.set(node, { at: now, report: rows });
  }

  /** Records the report of a gate. */
  noteCapacity(now: number, node: string, capacity: GateCapacity): void {
    this.lastReportAt = now;
    this.gates.set(node, { at: now, report: capacity });
    this.control.noteCalls(capacity);
    const isRefusing = this.current !== undefined && isRestrictive(this.current);
    this.control.update(now, fresh(now, this.gates), isRefusing);
  }

  /** The newest plan; undefined while no gate reports. */
  plan(now: number): AdmissionPlan | undefined {
    const isGrowing = this.demand.size > this.planned;
    const intervalMs = isGrowing ? FIRST_PLANS_INTERVAL_MS : PLAN_INTERVAL_MS;
    if (now - this.computedAt >= intervalMs) {
      this.computedAt = now;
      this.current = this.compute(now);
    }
    return this.current;
  }

  /** Time of the last report. */
  get usedAt(): number {
    return this.lastReportAt;
  }

  /**
   * Gates report once they are busy. The first of them would otherwise stand for the whole service, and the
   * plan would refuse what the others can take.
   */
  private slots(gates: readonly GateCapacity[]): number {
    const reported = gates.reduce((sum, { limit }) => sum + limit, 0);
    const idle = Math.max(0, this.options.reachableTargets() - gates.length);
    return reported + (idle * reported) / gates.length;
  }

  private compute(now: number): AdmissionPlan | undefined {
    const gates = fresh(now, this.gates);
    if (gates.length === 0) return undefined;
    const slots = this.slots(gates);
    const reports = fresh(now, this.demand);
    this.planned = this.demand.size;
    const demand = withMergedCosts(reports.flat());
    this.trend.note(now, totalOf(demand), reports.length);
    // Less capacity for the demand measured stands for more demand when the plan takes effect.
    const factor = this.control.factor / this.trend.factor();
    const plan = computeAdmissionPlan(demand, slots * factor * MS_PER_SECOND, {
      limitOf: (tenant) => this.options.limitOf(tenant),
      minimumShares: this.balance.minimumShares(),
    });
    this.balance.notePlan(now, servedByClass(plan, demand));
    this.notice(now, plan, { slots, factor, gates, demand });
    return plan;
  }

  private notice(
    now: number,
    plan: AdmissionPlan,
    { slots, factor, gates, demand }: PlanBasis,
  ): void {
    const { onPlanned } = this.options;
    const isDue = now - this.noticedAt >= NOTICE_INTERVAL_MS;
    if (onPlanned === undefined || !isDue || !isRestrictive(plan)) return;
    this.noticedAt = now;
    const wantedSlots = wantedByClass(demand).map((wantedMs) => wantedMs / MS_PER_SECOND);
    onPlanned({ plan, slots, gates: gates.length, load: loadOf(gates), factor, wantedSlots });
  }
}

interface PlanBasis {
  readonly slots: number;
  readonly factor: number;
  readonly gates: readonly GateCapacity[];
  readonly demand: readonly DemandRow[];
}

/** Reports that still count; drops the others. */
function fresh<T>(now: number, reports: Map<string, Dated<T>>): readonly T[] {
  const found: T[] = [];
  for (const [node, { at, report }] of reports) {
    if (now - at <= REPORT_LIFETIME_MS) found.push(report);
    else reports.delete(node);
  }
  return found;
}

/** Gives rows without a cost the cost that other nodes have learned for their kind and class. */
function withMergedCosts(rows: readonly DemandRow[]): readonly DemandRow[] {
  if (rows.every(({ costMs }) => costMs !== undefined)) return rows;
  const known = new Map<string, { total: number; samples: number }>();
  for (const { kind, rank, costMs, samples } of rows) {
    if (costMs === undefined) continue;
    const key = `${rank} ${kind}`;
    const sum = known.get(key) ?? { total: 0, samples: 0 };
    sum.total += costMs * samples;
    sum.samples += samples;
    known.set(key, sum);
  }
  return rows.map((row) => {
    const sum = known.get(`${row.rank} ${row.kind}`);
    const isKnown = row.costMs !== undefined || row.kind === OTHER_KINDS;
    if (isKnown || sum === undefined || sum.samples === 0) return row;
    return { ...row, costMs: sum.total / sum.samples };
  });
}

/** Calls in flight and waiting per slot; gates that do not report are less busy. */
function loadOf(gates: readonly GateCapacity[]): number {
  const pending = gates.reduce((sum, gate) => sum + gate.pending, 0);
  return pending / gates.reduce((sum, { limit }) => sum + limit, 0);
}

function servedByClass({ shares }: AdmissionPlan, demand: readonly DemandRow[]): ClassService[] {
  return requestsByClass(demand).map((perSecond, rank) => {
    return { perSecond, share: shares[rank] ?? 1 };
  });
}

/** Slot time wanted, in milliseconds a second. */
function totalOf(rows: readonly DemandRow[]): number {
  const typical = meanCost(rows);
  return rows.reduce((sum, { perSecond, costMs = typical }) => sum + perSecond * costMs, 0);
}
