/** State and functions that all parts of one emulated run share. */
import type { CallGraph } from '../core/attempt-budget.js';
import type { AttemptOutcome, RequestContext } from '../core/request.js';
import type { AttemptEnd } from './attempt-end.js';
import type { CallSite, Deployment } from './deployment.js';
import type { EmulatedNode } from './emulated-node.js';
import type { EventQueue } from './event-queue.js';
import type { PolicyProfile } from './policy-profile.js';
import type { Recorder } from './recorder.js';
import type { RequestRecord } from './request-record.js';

/** An attempt as its target's fronting node receives it. */
export interface IncomingAttempt {
  readonly id: string;
  readonly site: CallSite;
  readonly record: RequestRecord;
  readonly context: RequestContext;
  readonly granted: number;
  /** Sends the end back to the calling node. */
  reply(end: AttemptEnd): void;
}

/** The part of a target side that calls send their attempts to. */
export interface AttemptReceiver {
  readonly node: EmulatedNode;
  receive(attempt: IncomingAttempt): void;
  cancel(attempt: IncomingAttempt, outcome: AttemptOutcome): void;
}

/** Shared state of one run. */
export interface SimulationContext {
  readonly queue: EventQueue;
  readonly deployment: Deployment;
  readonly profile: PolicyProfile;
  readonly recorder: Recorder;
  /** Sends a message between zones; it is dropped when one of them is lost. */
  send(fromZone: string, toZone: string, deliver: () => void): void;
  /** Returns the target side of a target on its fronting node. */
  readonly targetSide: (target: string) => AttemptReceiver;
  /** Returns the services that a service calls. */
  readonly callsOf: CallGraph;
  /** Returns the smallest number of attempts with which a call of a service can succeed. */
  needOf(service: string): number;
  /** Creates an attempt id. */
  nextAttemptId(): string;
  /** Called when the fronting node of a target learns that the target is leaving. */
  onTargetLeaving(target: string): void;
}
