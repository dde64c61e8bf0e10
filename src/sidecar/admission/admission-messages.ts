/** Messages between entry nodes, gates and the coordinator of the admission to a short service. */
import type { AdmissionPlan } from '../../core/admission/admission-plan.js';
import type { GateCapacity } from '../../core/admission/capacity-control.js';
import type { DemandRow } from '../../core/admission/demand-rows.js';

/** Demand of the root requests of one entry node for a short service. */
export interface DemandReport {
  readonly node: string;
  readonly service: string;
  readonly rows: readonly DemandRow[];
  /** Rows that were left out, since they held figures that cannot be true. */
  readonly invalid: number;
}

/** Reply to a demand report. */
export interface PlanReply {
  /** Absent: the coordinator has no plan, since no gate reports to it. */
  readonly plan?: AdmissionPlan;
  /** Whether a plan was left out, since it held figures that cannot be true. */
  readonly invalid: number;
}

/** Load of the gate of one target of a short service. */
export interface CapacityReport {
  readonly node: string;
  readonly service: string;
  /** Absent: the figures cannot be true. */
  readonly capacity?: GateCapacity;
}

/** Handles the reply to a report; called once, or never when the report or the reply is lost. */
export type OnPlanReply = (reply: PlanReply) => void;

/** Destination of reports: the coordinators of this node, or a link to another node. */
export interface AdmissionPort {
  reportDemand(report: DemandReport, onReply: OnPlanReply): void;
  reportCapacity(report: CapacityReport): void;
}

/** The messages as they are sent over links. */
export type AdmissionMessage =
  | { readonly type: 'demand-report'; readonly question: number; readonly report: DemandReport }
  | { readonly type: 'admission-plan'; readonly question: number; readonly reply: PlanReply }
  | { readonly type: 'capacity-report'; readonly report: CapacityReport };
