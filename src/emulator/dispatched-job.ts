/** One dispatched attempt inside its back end, with the calls that the back end makes. */
import type { AttemptLedger } from '../core/attempt-ledger.js';
import { ResultCode } from '../core/result-code.js';
import type { BackEndJob, BackEndRefusal } from './back-end.js';
import type { ServiceKind } from './deployment.js';
import { DownstreamCalls, type ParentTargetSide } from './downstream-calls.js';
import type { IncomingAttempt, SimulationContext } from './simulation-context.js';

/** Receives the end of a job, after the delay between back end and node. */
export interface JobEndListener {
  onAnswer(attempt: IncomingAttempt, succeeded: boolean, failureCode: ResultCode): void;
  onRefused(attempt: IncomingAttempt, reason: BackEndRefusal): void;
  onReset(attempt: IncomingAttempt): void;
}

/** A job of a back end. */
export class DispatchedJob implements BackEndJob {
  private calls: DownstreamCalls | undefined;

  constructor(
    private readonly simulation: SimulationContext,
    private readonly side: ParentTargetSide,
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
    this.calls = new DownstreamCalls(this.simulation, this.side, this.attempt, this.ledger);
    this.calls.start(done);
  }

  cancelCalls(): void {
    this.calls?.cancel();
  }

  onAnswer(succeeded: boolean): void {
    this.afterLocalDelay(() => {
      const failureCode = this.calls?.lastFailureCode ?? ResultCode.Ok;
      this.listener.onAnswer(this.attempt, succeeded, failureCode);
    });
  }

  onRefused(reason: BackEndRefusal): void {
    this.afterLocalDelay(() => {
      this.listener.onRefused(this.attempt, reason);
    });
  }

  onReset(): void {
    this.afterLocalDelay(() => {
      this.listener.onReset(this.attempt);
    });
  }

  onSlotReleased(heldMs: number): void {
    this.simulation.recorder.addSlotTime(this.attempt.record, this.serviceIndex, heldMs);
  }

  private afterLocalDelay(run: () => void): void {
    this.simulation.queue.schedule(this.simulation.deployment.localDelayMs, run);
  }
}
