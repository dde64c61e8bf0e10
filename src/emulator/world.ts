/** What all parts of one emulated run share. */
import type { CallGraph } from '../core/attempt-budget.js';
import type { AttemptOutcome, RequestContext } from '../core/request.js';
import type { AttemptEnd } from './attempt-end.js';
import type { CallSite, Deployment } from './deployment.js';
import type { EmulatedNode } from './emulated-node.js';
import type { EventQueue } from './event-queue.js';
import type { PolicyProfile } from './policy-profile.js';
import type { Recorder } from './recorder.js';
import type { RequestRecord } from './request-record.js';

/** An attempt as the node that fronts its target sees it. */
export interface IncomingAttempt {
  readonly id: string;
  readonly site: CallSite;
  readonly record: RequestRecord;
  readonly context: RequestContext;
  readonly granted: number;
  /** Sends the end back to the calling node. */
  reply(end: AttemptEnd): void;
}

/** The target side as calls see it that send their attempts there. */
export interface AttemptReceiver {
  readonly node: EmulatedNode;
  receive(attempt: IncomingAttempt): void;
  cancel(attempt: IncomingAttempt, outcome: AttemptOutcome): void;
}

/** Shared state of one run. */
export interface World {
  readonly queue: EventQueue;
  readonly deployment: Deployment;
  readonly profile: PolicyProfile;
  readonly recorder: Recorder;
  /** Sends a message between zones; it is lost when either zone is lost meanwhile. */
  send(fromZone: string, toZone: string, deliver: () => void): void;
  /** The target side of a target on the node that fronts it. */
  readonly targetSide: (target: string) => AttemptReceiver;
  /** The services that a service calls. */
  readonly callsOf: CallGraph;
  /** Fewest attempts with which a call of a service can succeed. */
  needOf(service: string): number;
  /** Makes an attempt id. */
  nextAttemptId(): string;
  /** Called when a target's node saw a sign that the target is leaving. */
  onLeavingSign(target: string): void;
}
