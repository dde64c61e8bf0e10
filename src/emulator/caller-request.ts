/** One caller's request with its repeats, up to its single end. */
import type { CallersOptions } from './callers-options.js';
import { EmulatedCall } from './emulated-call.js';
import type { EmulatedNode } from './emulated-node.js';
import type { ScheduledEvent } from './event-queue.js';
import type { CallEnd, RequestEnd, RequestRecord } from './request-record.js';
import type { World } from './world.js';

/** One try: a connection to an entry node and the call made there. */
interface Try {
  readonly deadline: number;
  readonly timer: ScheduledEvent;
  granted: number;
  call: EmulatedCall | undefined;
  abandoned: boolean;
  settled: boolean;
}

/** A caller's request. */
export class CallerRequest {
  private tries = 0;
  private current: Try | undefined;
  /** End of the caller's patience, in virtual milliseconds. */
  private readonly patienceEnd: number;

  constructor(
    private readonly world: World,
    private readonly options: CallersOptions,
    private readonly record: RequestRecord,
    private readonly zoneIndex: number,
    /** In [0, 1): picks one of the zone's nodes. */
    private readonly choice: number,
  ) {
    this.patienceEnd = record.sentAt + record.kind.root.kind.deadlineMs;
  }

  /** Sends the request, now or again. */
  startTry(): void {
    if (this.record.end !== undefined) return;
    const { queue, deployment } = this.world;
    const waitMs = this.record.kind.root.kind.deadlineMs * this.options.behaviour.tryTimeoutShare;
    const deadline = Math.min(queue.now() + waitMs, this.patienceEnd);
    const timer = queue.scheduleAt(deadline, () => {
      this.onTryTimeout();
    });
    const current: Try = {
      deadline,
      timer,
      granted: 0,
      call: undefined,
      abandoned: false,
      settled: false,
    };
    this.tries += 1;
    this.current = current;
    const node = this.options.entryNode(this.zoneIndex, this.choice);
    if (node === undefined) return;
    queue.schedule(deployment.clientDelayMs, () => {
      if (!current.abandoned) this.enter(node, current);
    });
  }

  /** The request arrives at its entry node. */
  private enter(node: EmulatedNode, current: Try): void {
    const { record, world } = this;
    current.granted = record.attemptsLeft;
    if (world.profile.sharesAttempts) record.attemptsLeft = 0;
    current.call = new EmulatedCall(world, node, {
      site: record.kind.root,
      record,
      attempts: current.granted,
      deadline: current.deadline,
      onEnd: (end) => {
        this.settleAttempts(current);
        world.queue.schedule(world.deployment.clientDelayMs, () => {
          if (!current.abandoned) this.onTryEnd(end);
        });
      },
    });
    current.call.start();
  }

  /**
   * Gives back what a try was granted and did not use, once; a try that was broken off has used all
   * that is still under way. Repeats of a request that may take effect once only do not share a
   * budget; the claim of its key bounds them.
   */
  private settleAttempts(ended: Try): void {
    if (ended.settled || !this.world.profile.sharesAttempts) return;
    ended.settled = true;
    const { idempotent } = this.record.kind.root.kind;
    const used = idempotent ? (ended.call?.attemptsUsed ?? 0) : 0;
    this.record.attemptsLeft += Math.max(0, ended.granted - used);
  }

  private onTryEnd(end: CallEnd): void {
    if (this.record.end !== undefined) return;
    if (this.current !== undefined) this.current.timer.cancelled = true;
    this.current = undefined;
    this.record.mayHaveRun ||= end.mayHaveRun;
    if (end.result === 'complete') this.end('complete');
    else this.repeatOrEnd(end.result, end.retryAfterMs);
  }

  private onTryTimeout(): void {
    if (this.record.end !== undefined) return;
    this.abandonTry();
    // Whether a lost try has run is unknown, so only an idempotent request is repeated.
    this.record.mayHaveRun = true;
    this.repeatOrEnd('timeout', undefined);
  }

  /** Closes the connection of the current try. */
  private abandonTry(): void {
    const abandoned = this.current;
    this.current = undefined;
    if (abandoned === undefined) return;
    abandoned.abandoned = true;
    abandoned.timer.cancelled = true;
    this.world.queue.schedule(this.world.deployment.clientDelayMs, () => {
      const { call } = abandoned;
      if (call === undefined) return;
      call.cancel();
      this.settleAttempts(abandoned);
    });
  }

  private repeatOrEnd(end: RequestEnd, retryAfterMs: number | undefined): void {
    const { behaviour } = this.options;
    const repeatable = this.record.kind.root.kind.idempotent || !this.record.mayHaveRun;
    const told = behaviour.honoursRetryAfter ? (retryAfterMs ?? 0) : 0;
    const at = this.world.queue.now() + Math.max(behaviour.backoffMs, told);
    if (this.tries >= behaviour.tries || !repeatable || at >= this.patienceEnd) {
      this.end(end);
      return;
    }
    this.world.queue.scheduleAt(at, () => {
      this.startTry();
    });
  }

  private end(end: RequestEnd): void {
    if (this.record.end !== undefined) return;
    if (this.current !== undefined) this.current.timer.cancelled = true;
    this.record.end = end;
    this.world.recorder.onEnd(this.record, end);
  }
}
