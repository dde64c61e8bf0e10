/**
 * The target side of an emulated node: the policy's gate, the connections and the calls to
 * one back end. It models in virtual time what `src/target` does on sockets.
 */
import type { AttemptLedger } from '../core/attempt-ledger.js';
import type { GateAction, Refusal, TargetGate } from '../core/overload.js';
import type { AttemptOutcome, LoadReport } from '../core/request.js';
import { isLoadRefusal, ResultCode } from '../core/result-code.js';
import type { AttemptEnd } from './attempt-end.js';
import type { BackEndRefusal, EmulatedBackEnd } from './back-end.js';
import type { ConnectionPool, ConnectionWaiter } from './connection-pool.js';
import { DispatchedJob, type JobEndListener } from './dispatched-job.js';
import type { EmulatedNode } from './emulated-node.js';
import type { ScheduledEvent } from './event-queue.js';
import type { IncomingAttempt, SimulationContext } from './simulation-context.js';

/** Retry time of refusals that do not come from the policy, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 100;

type EntryState = 'waiting' | 'connecting' | 'sent' | 'ended';

interface Entry {
  readonly ticket: number;
  readonly attempt: IncomingAttempt;
  readonly offeredAt: number;
  /** When it was sent to the back end; 0 before. */
  sentAt: number;
  state: EntryState;
  /** Set once dispatched. */
  waiter: ConnectionWaiter | undefined;
  job: DispatchedJob | undefined;
}

/** Components of a {@link TargetSide}. */
export interface TargetSideOptions {
  readonly target: string;
  readonly serviceIndex: number;
  readonly gate: TargetGate;
  readonly backEnd: EmulatedBackEnd;
  readonly pool: ConnectionPool;
  readonly ledger: AttemptLedger;
}

/** Admits attempts to one target and sends them to it. */
export class TargetSide implements JobEndListener {
  /** Whether an answer or a refusal has shown that the target is leaving. */
  leaving = false;
  private readonly byTicket = new Map<number, Entry>();
  private readonly byAttempt = new Map<IncomingAttempt, Entry>();
  private lastTicket = 0;
  private timer: ScheduledEvent | undefined;

  constructor(
    private readonly simulation: SimulationContext,
    readonly node: EmulatedNode,
    private readonly options: TargetSideOptions,
  ) {}

  get backEnd(): EmulatedBackEnd {
    return this.options.backEnd;
  }

  get gate(): TargetGate {
    return this.options.gate;
  }

  /** Load that the gate reports now. */
  get load(): LoadReport {
    return this.options.gate.report(this.simulation.queue.now());
  }

  /** Requests waiting for a connection or in the back end. */
  get queuedInTarget(): number {
    return this.options.pool.waiting + this.options.backEnd.queued;
  }

  /** Offers an arriving attempt to the gate. */
  receive(attempt: IncomingAttempt): void {
    if (this.leaving) {
      attempt.reply(
        this.createNotRunEnd(attempt, 'draining', ResultCode.TargetRefused, DEFAULT_RETRY_AFTER_MS),
      );
      return;
    }
    this.lastTicket += 1;
    const ticket = this.lastTicket;
    const now = this.simulation.queue.now();
    const entry: Entry = {
      ticket,
      attempt,
      offeredAt: now,
      sentAt: 0,
      state: 'waiting',
      waiter: undefined,
      job: undefined,
    };
    this.byTicket.set(entry.ticket, entry);
    this.byAttempt.set(attempt, entry);
    this.apply(this.options.gate.offer(now, entry.ticket, attempt.context));
  }

  /** Cancels an attempt that the calling node gave up. */
  cancel(attempt: IncomingAttempt, outcome: 'cancelled' | 'timeout'): void {
    const entry = this.byAttempt.get(attempt);
    if (entry === undefined) return;
    if (entry.state === 'waiting') {
      this.discard(entry);
      this.apply(this.options.gate.cancel(this.simulation.queue.now(), entry.ticket));
      return;
    }
    this.closeConnection(entry);
    this.options.ledger.close(attempt.id);
    this.complete(entry, outcome);
  }

  /** Reports to the gate the admission threshold of a service that this target called. */
  noteDownstream(service: string, threshold: number, kind: string): void {
    this.options.gate.noteDownstream(this.simulation.queue.now(), service, threshold, kind);
  }

  private apply(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const entry = this.byTicket.get(action.ticket);
      if (entry?.state !== 'waiting') continue;
      if (action.type === 'dispatch') this.dispatch(entry);
      else this.refuse(entry, action.refusal);
    }
    this.scheduleTimer();
  }

  private scheduleTimer(): void {
    const next = this.options.gate.nextTimer();
    if (next === this.timer?.at) return;
    if (this.timer !== undefined) this.timer.cancelled = true;
    this.timer = next === undefined ? undefined : this.startTimer(next);
  }

  private startTimer(at: number): ScheduledEvent {
    return this.simulation.queue.scheduleAt(at, () => {
      this.timer = undefined;
      this.apply(this.options.gate.onTimer(this.simulation.queue.now()));
    });
  }

  private dispatch(entry: Entry): void {
    const { attempt } = entry;
    const { ledger, pool, serviceIndex } = this.options;
    entry.state = 'connecting';
    entry.job = new DispatchedJob(this.simulation, this, attempt, ledger, serviceIndex, this);
    entry.waiter = () => {
      this.onConnection(entry);
    };
    ledger.open(attempt.id, attempt.granted);
    const waitedMs = this.simulation.queue.now() - entry.offeredAt;
    this.simulation.recorder.onDispatch(attempt.record, attempt.site, waitedMs);
    pool.acquire(entry.waiter);
  }

  private onConnection(entry: Entry): void {
    if (entry.state !== 'connecting') {
      this.options.pool.release(true);
      return;
    }
    entry.state = 'sent';
    entry.sentAt = this.simulation.queue.now();
    this.simulation.queue.schedule(this.simulation.deployment.localDelayMs, () => {
      if (entry.state !== 'sent') return;
      const { record, site } = entry.attempt;
      if (this.options.backEnd.state !== 'dead') this.simulation.recorder.onAttempt(record, site);
      this.options.backEnd.accept(entry.job!);
    });
  }

  private refuse(entry: Entry, refusal: Refusal): void {
    this.discard(entry);
    const { record, site } = entry.attempt;
    this.simulation.recorder.onRefusal(record, site, 'gate', refusal.code);
    const outcome = refusal.code === ResultCode.TargetRateLimited ? 'rate-limited' : 'overloaded';
    entry.attempt.reply(
      this.createNotRunEnd(entry.attempt, outcome, refusal.code, refusal.retryAfterMs),
    );
  }

  onAnswer(attempt: IncomingAttempt, succeeded: boolean, failureCode: ResultCode): void {
    const entry = this.byAttempt.get(attempt);
    if (entry?.state !== 'sent') return;
    this.options.pool.release(true);
    const attemptsUsed = this.options.ledger.close(entry.attempt.id);
    if (this.options.backEnd.announcesLeaving) this.markLeaving();
    this.complete(entry, 'success');
    const { gate, backEnd } = this.options;
    const now = this.simulation.queue.now();
    this.apply(gate.noteStatedLimit(now, entry.sentAt, backEnd.statedLimit));
    if (isLoadRefusal(failureCode)) gate.noteWastedRun(now, attempt.context);
    const asFailure = !succeeded && this.simulation.profile.retriesErrorAnswers;
    entry.attempt.reply({
      outcome: asFailure ? 'failed' : 'success',
      complete: succeeded,
      code: succeeded ? ResultCode.Ok : failureCode,
      load: gate.report(now, entry.attempt.context),
      retryAfterMs: undefined,
      mayHaveRun: true,
      attemptsUsed,
    });
  }

  onRefused(attempt: IncomingAttempt, reason: BackEndRefusal): void {
    const entry = this.byAttempt.get(attempt);
    if (entry?.state !== 'sent') return;
    this.options.pool.release(reason !== 'unreachable');
    const spent = this.options.ledger.close(entry.attempt.id);
    // Nothing was sent to an unreachable target, so no attempt is used.
    const attemptsUsed = reason === 'unreachable' ? 0 : spent;
    if (reason === 'draining') this.markLeaving();
    this.complete(entry, reason);
    const { record, site } = entry.attempt;
    const code = reason === 'unreachable' ? ResultCode.TargetUnreachable : ResultCode.TargetRefused;
    this.simulation.recorder.onRefusal(record, site, 'target', code);
    entry.attempt.reply({
      ...this.createNotRunEnd(entry.attempt, reason, code, DEFAULT_RETRY_AFTER_MS),
      attemptsUsed,
    });
  }

  onReset(attempt: IncomingAttempt): void {
    const entry = this.byAttempt.get(attempt);
    if (entry?.state !== 'sent') return;
    this.options.pool.release(false);
    const attemptsUsed = this.options.ledger.close(entry.attempt.id);
    this.complete(entry, 'failed');
    entry.attempt.reply({
      ...this.createNotRunEnd(
        entry.attempt,
        'failed',
        ResultCode.AnswerIncomplete,
        DEFAULT_RETRY_AFTER_MS,
      ),
      mayHaveRun: true,
      attemptsUsed,
    });
  }

  /** Refuses all waiting and new work from now on, and notifies the other nodes. */
  markLeaving(): void {
    if (this.leaving) return;
    this.leaving = true;
    this.simulation.onTargetLeaving(this.options.target);
    const waiting = [...this.byTicket.values()].filter(({ state }) => state === 'waiting');
    for (const entry of waiting) {
      this.discard(entry);
      this.apply(this.options.gate.cancel(this.simulation.queue.now(), entry.ticket));
      entry.attempt.reply(
        this.createNotRunEnd(
          entry.attempt,
          'draining',
          ResultCode.TargetRefused,
          DEFAULT_RETRY_AFTER_MS,
        ),
      );
    }
  }

  private closeConnection(entry: Entry): void {
    if (entry.state === 'sent') {
      this.options.backEnd.cancel(entry.job!);
      this.options.pool.release(false);
    } else {
      this.options.pool.withdraw(entry.waiter!);
    }
  }

  private complete(entry: Entry, outcome: AttemptOutcome): void {
    this.discard(entry);
    this.apply(this.options.gate.complete(this.simulation.queue.now(), entry.ticket, outcome));
  }

  private discard(entry: Entry): void {
    entry.state = 'ended';
    this.byTicket.delete(entry.ticket);
    this.byAttempt.delete(entry.attempt);
  }

  private createNotRunEnd(
    attempt: IncomingAttempt,
    outcome: AttemptOutcome,
    code: ResultCode,
    retryAfterMs: number,
  ): AttemptEnd {
    const load = this.options.gate.report(this.simulation.queue.now(), attempt.context);
    const attemptsUsed = 0;
    return { outcome, complete: false, code, load, retryAfterMs, mayHaveRun: false, attemptsUsed };
  }
}
