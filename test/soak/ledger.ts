/**
 * Records what callers, targets and operators observe in a soak run. All times are of the monotonic
 * clock of the process that drives the run, in milliseconds.
 */
import type { CallerRecord } from '../support/raw-caller.js';

/** A request as its caller observed it. */
export interface ObservedRequest extends CallerRecord {
  /** Machine to whose node it was sent. */
  readonly machine: string;
  /** Whether it was sent over a relay, so that its caller can't know whether the node was running. */
  readonly relayed: boolean;
  readonly deadlineMs: number;
  /** Requests that were unanswered on its connection when it was sent. */
  readonly outstandingBefore: number;
  /** When the caller closed the connection before an answer; undefined: it did not. */
  readonly disconnectedAt: number | undefined;
}

/** A run of a request at a target. */
export interface ObservedRun {
  readonly attemptId: string;
  readonly path: string;
  readonly machine: string;
  readonly service: string;
  readonly targetId: string;
  /** Tenant that the target was given; empty: none. */
  readonly tenant?: string;
  readonly startedAt: number;
  /** Time left by the deadline field that the target received; undefined: no field. */
  readonly timeLeftMs: number | undefined;
  /** When it was answered or aborted; undefined: not before the end of the soak run. */
  endedAt: number | undefined;
  /** Whether its connection closed before its answer was written. */
  aborted: boolean;
  /** Whether its answer stated a request limit. */
  statedLimit?: boolean;
  /** Whether its answer stated that the target leaves. */
  statedLeaving?: boolean;
}

/** A span in which the answers of a target state a request limit. */
export interface StatedLimit {
  readonly machine: string;
  readonly targetId: string;
  readonly requestsPerSecond: number;
  readonly from: number;
  readonly to: number;
}

/** A span in which a machine was disrupted. */
export interface Disruption {
  readonly machine: string;
  readonly kind:
    'stop' | 'kill' | 'pause' | 'callers' | 'target' | 'store' | 'connections' | 'crowd';
  readonly from: number;
  /** Infinity while it lasts. */
  to: number;
}

/** A span in which the process that drives the run stood still, with its callers, relays and targets. */
export interface DriverStall {
  readonly from: number;
  readonly to: number;
}

/** The exit of a node's process. */
export interface ProcessExit {
  readonly machine: string;
  readonly at: number;
  readonly code: number | null;
  readonly signal: string | null;
  /** Whether the soak run had stopped or killed it. */
  readonly expected: boolean;
  /** Whether the process had not begun to run the program, as it has written no output. */
  readonly beforeStart: boolean;
  /** Whether it was killed because a planned stop took longer than the grace period. */
  readonly overdue: boolean;
}

/** An acknowledged leave of a target. */
export interface AcknowledgedLeave {
  readonly machine: string;
  readonly targetId: string;
  readonly at: number;
}

/** A version of the rules: when it was written, and the service of the moving route. */
export interface RulesChange {
  readonly at: number;
  readonly movedTo: string;
}

/** Everything that was observed. */
export interface Ledger {
  readonly requests: ObservedRequest[];
  readonly runs: ObservedRun[];
  readonly disruptions: Disruption[];
  readonly driverStalls: DriverStall[];
  readonly exits: ProcessExit[];
  readonly leaves: AcknowledgedLeave[];
  readonly rules: RulesChange[];
  readonly limits: StatedLimit[];
  /** Log lines of internal errors. */
  readonly internalErrors: string[];
  /** Machines that did not serve again after the last fault. */
  readonly notRecovered: string[];
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
  return {
    requests: [],
    runs: [],
    disruptions: [],
    driverStalls: [],
    exits: [],
    leaves: [],
    rules: [],
    limits: [],
    internalErrors: [],
    notRecovered: [],
  };
}
