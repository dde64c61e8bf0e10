/** One dispatched attempt inside its back end, with the calls that the back end makes. */
import type { AttemptLedger } from '../core/attempt-ledger.js';
import { ResultCode } from '../core/result-code.js';
import type { BackEndJob, BackEndRefusal } from './back-end.js';
import type { ServiceKind } from './deployment.js';
import { DownstreamCalls, type CallingSide } from './downstream-calls.js';
import type { IncomingAttempt, World } from './world.js';

/** How a back end ended a job; told after the delay between back end and node. */
export interface JobEndListener {
  onAnswer(attempt: IncomingAttempt, succeeded: boolean, failureCode: ResultCode): void;
  onRefused(attempt: IncomingAttempt, reason: BackEndRefusal): void;
  onReset(attempt: IncomingAttempt): void;
}

/** A job of a back end. */
export class DispatchedJob implements BackEndJob {
  private calls: DownstreamCalls | undefined;

  constructor(
    private readonly world: World,
    private readonly side: CallingSide,
    private readonly attempt: IncomingAttempt,
    private readonly ledger: AttemptLedger,
    private readonly serviceIndex: number,
    private readonly listener: JobEndListener,
  ) {}

  get kind(): ServiceKind {
    return this.attempt.site.kind;
  }

  startCalls(done: (succeeded: boolean) => void): void {
    if (this.attempt.site.calls.length === 0) {
      done(true);
      return;
    }
    this.calls = new DownstreamCalls(this.world, this.side, this.attempt, this.ledger);
    this.calls.start(done);
  }

  cancelCalls(): void {
    this.calls?.cancel();
  }

  onAnswer(succeeded: boolean): void {
    this.later(() => {
      const failureCode = this.calls?.lastFailureCode ?? ResultCode.Ok;
      this.listener.onAnswer(this.attempt, succeeded, failureCode);
    });
  }

  onRefused(reason: BackEndRefusal): void {
    this.later(() => {
      this.listener.onRefused(this.attempt, reason);
    });
  }

  onReset(): void {
    this.later(() => {
      this.listener.onReset(this.attempt);
    });
  }

  onSlotReleased(heldMs: number): void {
    this.world.recorder.addSlotTime(this.attempt.record, this.serviceIndex, heldMs);
  }

  private later(run: () => void): void {
    this.world.queue.schedule(this.world.deployment.localDelayMs, run);
  }
}
