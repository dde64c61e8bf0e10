/** What an entry node knows of one short service: whether it is short still, and the plan for it. */
import { isRestrictive, type AdmissionPlan } from './admission-plan.js';
import { PlanInForce } from './plan-in-force.js';

/** Time for which a service counts as short after the last sign of it, in milliseconds. */
const SHORT_FOR_MS = 2_000;

/** Time between the reports of a node, in milliseconds. */
const REPORT_INTERVAL_MS = 200;
/** The same just after a shortage began: the first plans are made before all nodes have reported. */
const FIRST_REPORTS_INTERVAL_MS = 60;
const FIRST_REPORTS_MS = 300;

/** Decides how long an entry node takes part in the admission to a service. */
export class ShortService {
  readonly plan = new PlanInForce();
  private lastSignAt = -Infinity;
  private shortSince = -Infinity;

  /** Records that a load report named the service. */
  noteShort(now: number): void {
    if (!this.isShort(now)) this.shortSince = now;
    this.lastSignAt = now;
  }

  /**
   * Records a plan. One that refuses requests shows that the service is short: while it works, no gate is
   * overloaded enough to name the service in its load reports.
   */
  notePlan(now: number, plan: AdmissionPlan): void {
    this.plan.note(now, plan);
    if (isRestrictive(plan)) this.lastSignAt = now;
  }

  /** Time until the next report, in milliseconds. */
  reportDelayMs(now: number): number {
    const isFirst = now - this.shortSince < FIRST_REPORTS_MS;
    return isFirst ? FIRST_REPORTS_INTERVAL_MS : REPORT_INTERVAL_MS;
  }

  /** Whether this node reports its demand. */
  isShort(now: number): boolean {
    return now - this.lastSignAt <= SHORT_FOR_MS;
  }
}
