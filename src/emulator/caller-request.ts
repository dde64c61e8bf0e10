/** One request of a caller with its retries, until it ends. */
import type { CallersOptions } from './callers-options.js';
import { EmulatedCall } from './emulated-call.js';
import type { EmulatedNode } from './emulated-node.js';
import type { ScheduledEvent } from './event-queue.js';
import type { CallEnd, RequestEnd, RequestRecord } from './request-record.js';
import type { SimulationContext } from './simulation-context.js';

/** One sending of the request: a connection to an entry node and the call made there. */
interface CallerAttempt {
  readonly deadline: number;
  readonly timer: ScheduledEvent;
  granted: number;
  call: EmulatedCall | undefined;
  abandoned: boolean;
  settled: boolean;
}

/** A caller's request. */
export class CallerRequest {
  private callerAttempts = 0;
  private current: CallerAttempt | undefined;
  /** Time at which the caller gives up, in virtual milliseconds. */
  private readonly requestDeadline: number;

  constructor(
    private readonly simulation: SimulationContext,
    private readonly options: CallersOptions,
    private readonly record: RequestRecord,
    private readonly zoneIndex: number,
    /** In [0, 1): picks one of the zone's nodes. */
    private readonly choice: number,
  ) {
    this.requestDeadline = record.sentAt + record.kind.root.kind.deadlineMs;
  }

  /** Sends the request, for the first time or as a retry. */
  startAttempt(): void {
    if (this.record.end !== undefined) return;
    const { queue, deployment } = this.simulation;
    const waitMs = this.record.kind.root.kind.deadlineMs * this.options.behaviour.tryTimeoutShare;
    const deadline = Math.min(queue.now() + waitMs, this.requestDeadline);
    const timer = queue.scheduleAt(deadline, () => {
      this.onAttemptTimeout();
    });
    const current: CallerAttempt = {
      deadline,
      timer,
      granted: 0,
      call: undefined,
      abandoned: false,
      settled: false,
    };
    this.callerAttempts += 1;
    this.current = current;
    const node = this.options.entryNode(this.zoneIndex, this.choice);
    if (node === undefined) return;
    queue.schedule(deployment.clientDelayMs, () => {
      if (!current.abandoned) this.enter(node, current);
    });
  }

  /** The request arrives at its entry node. */
  private enter(node: EmulatedNode, current: CallerAttempt): void {
    const { record, simulation } = this;
    current.granted = record.attemptsLeft;
    if (simulation.profile.sharesAttempts) record.attemptsLeft = 0;
    current.call = new EmulatedCall(simulation, node, {
      site: record.kind.root,
      record,
      attempts: current.granted,
      deadline: current.deadline,
      onEnd: (end) => {
        this.returnUnusedAttempts(current);
        simulation.queue.schedule(simulation.deployment.clientDelayMs, () => {
          if (!current.abandoned) this.onAttemptEnd(end);
        });
      },
    });
    current.call.start();
  }

  /**
   * Returns the attempts that a caller attempt was granted and did not use, once. Grants still in
   * progress when a caller attempt is abandoned count as used. Retries of a non-idempotent request
   * do not share a budget; the claim of its idempotency key bounds them.
   */
  private returnUnusedAttempts(ended: CallerAttempt): void {
    if (ended.settled || !this.simulation.profile.sharesAttempts) return;
    ended.settled = true;
    const { idempotent } = this.record.kind.root.kind;
    const used = idempotent ? (ended.call?.attemptsUsed ?? 0) : 0;
    this.record.attemptsLeft += Math.max(0, ended.granted - used);
  }

  private onAttemptEnd(end: CallEnd): void {
    if (this.record.end !== undefined) return;
    if (this.current !== undefined) this.current.timer.cancelled = true;
    this.current = undefined;
    this.record.mayHaveRun ||= end.mayHaveRun;
    if (end.result === 'complete') this.end('complete');
    else this.retryOrEnd(end.result, end.retryAfterMs);
  }

  private onAttemptTimeout(): void {
    if (this.record.end !== undefined) return;
    this.abandonAttempt();
    // Whether the abandoned attempt has run is unknown, so only an idempotent request is retried.
    this.record.mayHaveRun = true;
    this.retryOrEnd('timeout', undefined);
  }

  /** Closes the connection of the current caller attempt. */
  private abandonAttempt(): void {
    const abandoned = this.current;
    this.current = undefined;
    if (abandoned === undefined) return;
    abandoned.abandoned = true;
    abandoned.timer.cancelled = true;
    this.simulation.queue.schedule(this.simulation.deployment.clientDelayMs, () => {
      const { call } = abandoned;
      if (call === undefined) return;
      call.cancel();
      this.returnUnusedAttempts(abandoned);
    });
  }

  private retryOrEnd(end: RequestEnd, retryAfterMs: number | undefined): void {
    const { behaviour } = this.options;
    const retryable = this.record.kind.root.kind.idempotent || !this.record.mayHaveRun;
    const requestedDelayMs = behaviour.honoursRetryAfter ? (retryAfterMs ?? 0) : 0;
    const retryAt = this.simulation.queue.now() + Math.max(behaviour.backoffMs, requestedDelayMs);
    if (this.callerAttempts >= behaviour.tries || !retryable || retryAt >= this.requestDeadline) {
      this.end(end);
      return;
    }
    this.simulation.queue.scheduleAt(retryAt, () => {
      this.startAttempt();
    });
  }

  private end(end: RequestEnd): void {
    if (this.record.end !== undefined) return;
    if (this.current !== undefined) this.current.timer.cancelled = true;
    this.record.end = end;
    this.simulation.recorder.onEnd(this.record, end);
  }
}
