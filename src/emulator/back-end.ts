/**
 * Model of one back end: slots with a first-in-first-out queue, service time with slowdown and
 * cold start, shedding, drain and crash. A request holds its slot while the back end waits for
 * the calls that it makes.
 */
import type { Random } from '../core/random.js';
import type { ServiceKind } from './deployment.js';
import type { EventQueue, ScheduledEvent } from './event-queue.js';
import { sampleExponential, sampleLognormal } from './sampling.js';

/** Why a back end refused a request. */
export type BackEndRefusal = 'overloaded' | 'draining' | 'unreachable';

/** One request inside a back end. */
export interface BackEndJob {
  readonly kind: ServiceKind;
  /** Starts the downstream calls; calls `done` with whether all succeeded. */
  startCalls(done: (succeeded: boolean) => void): void;
  /** Cancels the downstream calls that are running. */
  cancelCalls(): void;
  /** Called when the answer, or the error answer after a failed call, is complete. */
  onAnswer(succeeded: boolean): void;
  /** Called when the request was refused and not run. */
  onRefused(reason: BackEndRefusal): void;
  /** Called when the process crashed or reset the connection before the answer. */
  onReset(): void;
  /** Called with the time for which the slot was held. */
  onSlotReleased(heldMs: number): void;
}

interface RunningJob {
  readonly job: BackEndJob;
  readonly startedAt: number;
  work: ScheduledEvent | undefined;
}

/** State of a back end's process. */
export type BackEndState = 'serving' | 'draining' | 'dead';

/** Time until a back end that resets connections closes one, in milliseconds. */
const RESET_DELAY_MS = 1;

/** An emulated back end. */
export class EmulatedBackEnd {
  state: BackEndState = 'serving';
  /** Whether answers say that the back end is leaving. */
  announcesLeaving = false;
  /** Requests a second that answers state as taken from all nodes; undefined: none (a fault). */
  statedLimit: number | undefined;
  /** Factor on the service time (a fault). */
  slowdown = 1;
  /** Share of requests whose connection is reset at once (a fault). */
  resetShare = 0;
  /** Share of requests that run, but whose connection is reset before the answer (a fault). */
  lostAnswerShare = 0;
  /** Queue length from which requests are shed; `Infinity` disables shedding. */
  shedAbove = Infinity;
  private coldUntil = 0;
  private coldFactor = 1;
  private warmUpMs = 0;
  private readonly waiting = new Set<BackEndJob>();
  private readonly running = new Map<BackEndJob, RunningJob>();

  constructor(
    private readonly queue: EventQueue,
    private readonly slots: number,
    private readonly random: Random,
  ) {}

  /** Requests waiting for a slot. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Slots in use. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Runs, queues, resets or refuses a request. */
  accept(job: BackEndJob): void {
    if (this.state === 'dead') {
      job.onRefused('unreachable');
    } else if (this.state === 'draining') {
      job.onRefused('draining');
    } else if (this.resetShare > 0 && this.random.next() < this.resetShare) {
      this.queue.schedule(RESET_DELAY_MS, () => {
        job.onReset();
      });
    } else if (this.running.size < this.slots) {
      this.startWork(job);
    } else if (this.waiting.size >= this.shedAbove) {
      job.onRefused('overloaded');
    } else {
      this.waiting.add(job);
    }
  }

  /** Drops a request whose caller closed the connection. */
  cancel(job: BackEndJob): void {
    if (this.waiting.delete(job)) return;
    const running = this.running.get(job);
    if (running === undefined) return;
    if (running.work !== undefined) running.work.cancelled = true;
    job.cancelCalls();
    this.releaseSlot(running);
  }

  /** Kills the process; every request in it is reset. */
  kill(): void {
    this.state = 'dead';
    const jobs = [...this.waiting, ...this.running.keys()];
    this.waiting.clear();
    for (const running of this.running.values()) {
      if (running.work !== undefined) running.work.cancelled = true;
      running.job.cancelCalls();
      running.job.onSlotReleased(this.queue.now() - running.startedAt);
    }
    this.running.clear();
    for (const job of jobs) job.onReset();
  }

  /** Starts the process; its service time falls linearly from `coldFactor` times to normal. */
  start(coldFactor: number, warmUpMs: number): void {
    this.state = 'serving';
    this.announcesLeaving = false;
    this.coldFactor = coldFactor;
    this.warmUpMs = warmUpMs;
    this.coldUntil = this.queue.now() + warmUpMs;
  }

  /** Current factor on the service time after a cold start. */
  private warmUpFactor(): number {
    const left = this.coldUntil - this.queue.now();
    if (left <= 0) return 1;
    return 1 + (this.coldFactor - 1) * (left / this.warmUpMs);
  }

  private sampleServiceTime(kind: ServiceKind): number {
    const mean = kind.serviceTimeMs * this.slowdown * this.warmUpFactor();
    if (kind.serviceTimeShape === 'exponential') return sampleExponential(this.random, mean);
    return sampleLognormal(this.random, mean, kind.serviceTimeSigma);
  }

  private startWork(job: BackEndJob): void {
    const running: RunningJob = { job, startedAt: this.queue.now(), work: undefined };
    this.running.set(job, running);
    running.work = this.queue.schedule(this.sampleServiceTime(job.kind), () => {
      running.work = undefined;
      job.startCalls((succeeded) => {
        this.finish(running, succeeded);
      });
    });
  }

  private finish(running: RunningJob, succeeded: boolean): void {
    if (this.running.get(running.job) !== running) return;
    this.releaseSlot(running);
    if (this.lostAnswerShare > 0 && this.random.next() < this.lostAnswerShare) {
      running.job.onReset();
    } else {
      running.job.onAnswer(succeeded);
    }
  }

  private releaseSlot(running: RunningJob): void {
    this.running.delete(running.job);
    running.job.onSlotReleased(this.queue.now() - running.startedAt);
    for (const next of this.waiting) {
      this.waiting.delete(next);
      this.startWork(next);
      break;
    }
  }
}
