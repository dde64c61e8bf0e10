/**
 * The task that owns one target: its gate, its connections and the attempts that wait for it
 * or run at it. All state changes happen in messages, one at a time.
 */
import type { AttemptResult } from '../core/attempt.js';
import type { AttemptLedger } from '../core/attempt-ledger.js';
import type { BufferReservation, ByteBudget } from '../core/byte-budget.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { GateAction, Refusal, TargetGate } from '../core/overload.js';
import type { LoadReport, RequestContext } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { EventLoopDelay } from '../kernel/event-loop-delay.js';
import type { Metrics } from '../kernel/metrics.js';
import { Task } from '../kernel/task.js';
import { AnswerSizeEstimate } from './answer-size-estimate.js';
import {
  cancelledWhileWaiting,
  notDispatched,
  refusedByLeavingTarget,
  tooLateToDispatch,
} from './undispatched-attempt.js';
import type { BackendClient, BackendResult } from './backend-client.js';
import { outcomeOf, saysDraining, toAttemptResult } from './backend-result.js';
import { BackendDispatch, mayStart } from './backend-dispatch.js';
import { GateTimer } from './gate-timer.js';
import { LeavingSigns } from './leaving-signs.js';
import { LoadGauges } from './load-gauges.js';
import type { DownstreamMessage, OfferMessage, TargetMessage } from './target-messages.js';

export interface TargetTaskOptions {
  readonly target: string;
  readonly nodeId: string;
  readonly mailboxCapacity: number;
  readonly gate: TargetGate;
  readonly client: BackendClient;
  readonly ledger: AttemptLedger;
  readonly buffers: ByteBudget;
  readonly clock: Clock;
  readonly loopDelay: EventLoopDelay;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called when this node starts or stops seeing the target as leaving. */
  readonly onLeavingChanged: () => void;
  /** Called once, when a retired task has finished its work. */
  readonly onRetired: () => void;
}

/** An offered attempt from its offer to its end. */
interface Ticket {
  readonly offer: OfferMessage;
  stopListening: () => void;
  running: boolean;
  reservation?: BufferReservation;
}

const REPOST_DELAY_MS = 1;
const NOT_RUN = { execution: 'not-run' } as const;
const BUFFER_RETRY_AFTER_MS = 100;

export class TargetTask extends Task<TargetMessage> {
  private readonly tickets = new Map<number, Ticket>();
  private readonly signs = new LeavingSigns();
  private readonly answerSizes = new AnswerSizeEstimate();
  private lastTicket = 0;
  private wasLeaving = false;
  private wasSeenHere = false;
  private retiring = false;
  private retired = false;
  private readonly gateTimer: GateTimer;
  private readonly dispatch: BackendDispatch;
  private readonly gauges: LoadGauges;

  constructor(private readonly options: TargetTaskOptions) {
    super(`target ${options.target}`, options.mailboxCapacity);
    const { target, nodeId, client, clock, log, metrics } = options;
    this.gauges = new LoadGauges(target, metrics, log);
    this.dispatch = new BackendDispatch(nodeId, client, clock);
    this.gateTimer = new GateTimer(clock, () => {
      this.postReliably({ type: 'timer' });
    });
  }

  /** Attempts that wait or run. */
  get inProgress(): number {
    return this.tickets.size;
  }

  /** Whether the target must not get new work. */
  get leaving(): boolean {
    return this.signs.leaving;
  }

  /** Whether this node itself has seen the target leaving. */
  get seenLeavingHere(): boolean {
    return this.signs.seenHere;
  }

  /** Load as the gate sees it, for a request's kind or in general. */
  report(request?: RequestContext): LoadReport {
    return this.options.gate.report(this.options.clock.now(), request);
  }

  protected override handle(message: TargetMessage): void {
    switch (message.type) {
      case 'offer':
        this.onOffer(message);
        break;
      case 'ended':
        this.onEnded(message.ticket, message.result);
        break;
      case 'cancelled':
        this.onCancelled(message.ticket);
        break;
      case 'timer':
        this.apply(this.options.gate.onTimer(this.options.clock.now()));
        break;
      case 'health':
        this.signs.noteHealth(message.state);
        // Health polls are frequent enough for scrapes, and calls bear no cost.
        this.gauges.set(this.report());
        break;
      case 'operator-drain':
        this.signs.setDrainedByOperator(message.drained);
        break;
      case 'reported-leaving':
        this.signs.setReportedByOthers(message.leaving);
        break;
      case 'downstream':
        this.noteDownstream(message);
        break;
      case 'retire':
        this.retiring = true;
        break;
    }
    this.afterMessage();
  }

  private onOffer(offer: OfferMessage): void {
    if (this.signs.leaving) {
      offer.resolve(refusedByLeavingTarget(this.options.target));
      return;
    }
    if (offer.signal.aborted) {
      offer.resolve(cancelledWhileWaiting());
      return;
    }
    this.lastTicket += 1;
    const ticket = this.lastTicket;
    const entry: Ticket = { offer, stopListening: () => {}, running: false };
    this.tickets.set(ticket, entry);
    const now = this.options.clock.now();
    this.apply(this.options.gate.offer(now, ticket, offer.attempt.context));
    if (this.tickets.has(ticket) && !entry.running) this.listenForAbort(ticket, entry);
  }

  /** Withdraws a waiting attempt on abort. A running call observes the signal itself. */
  private listenForAbort(ticket: number, entry: Ticket): void {
    const { signal } = entry.offer;
    const onAbort = (): void => {
      this.postReliably({ type: 'cancelled', ticket });
    };
    signal.addEventListener('abort', onAbort, { once: true });
    entry.stopListening = () => {
      signal.removeEventListener('abort', onAbort);
    };
  }

  private onCancelled(ticket: number): void {
    const entry = this.tickets.get(ticket);
    // A running call is cancelled by its own signal and ends through `ended`.
    if (entry === undefined || entry.running) return;
    const actions = this.options.gate.cancel(this.options.clock.now(), ticket);
    this.end(ticket, cancelledWhileWaiting());
    this.apply(actions);
  }

  private onEnded(ticket: number, result: BackendResult): void {
    const entry = this.tickets.get(ticket);
    if (entry === undefined) return;
    if (saysDraining(result)) this.signs.noteDrainingAnswer();
    if (result.type === 'answer') this.answerSizes.note(result.answer.body.length);
    const spent = this.options.ledger.close(entry.offer.attempt.attemptId);
    const dispatched = result.type === 'answer' || result.sent;
    const now = this.options.clock.now();
    const actions = this.options.gate.complete(now, ticket, outcomeOf(result));
    const load = this.report(entry.offer.attempt.context);
    this.logFailure(result);
    this.end(ticket, toAttemptResult(result, dispatched ? spent : 0, load));
    this.apply(actions);
  }

  private apply(actions: readonly GateAction[]): void {
    for (const action of actions) {
      if (action.type === 'dispatch') this.start(action.ticket);
      else this.refuse(action.ticket, action.refusal);
    }
  }

  private refuse(ticket: number, refusal: Refusal): void {
    const { code, detail, retryAfterMs } = refusal;
    const failure = createFailure(code, detail, { ...NOT_RUN, retryAfterMs });
    const context = this.tickets.get(ticket)?.offer.attempt.context;
    const load = this.report(context);
    this.logRefusal(failure, load, context);
    this.end(ticket, notDispatched('overloaded', failure, load));
  }

  /** Logs the load that the gate saw. A late event loop shows a slow process, not a slow target. */
  private logRefusal(
    { code, detail }: Failure,
    { limit, inFlight, queued, latencyMs, threshold }: LoadReport,
    context: RequestContext | undefined,
  ): void {
    const { log, target, loopDelay } = this.options;
    log.emit(Event.AttemptRefused, {
      id: context?.requestId,
      target,
      kind: context?.kind,
      depth: context?.depth,
      code,
      detail,
      limit,
      inFlight,
      queued,
      latencyMs: Math.round(latencyMs),
      threshold,
      loopDelayMs: Math.round(loopDelay.recentMs()),
    });
  }

  private start(ticket: number): void {
    const entry = this.tickets.get(ticket);
    if (entry === undefined) return;
    entry.running = true;
    const { attempt } = entry.offer;
    if (this.signs.leaving) {
      this.endUnsent(ticket, refusedByLeavingTarget(this.options.target));
      return;
    }
    if (!mayStart(attempt, this.options.clock.now())) {
      this.endUnsent(ticket, tooLateToDispatch());
      return;
    }
    const reservation = this.options.buffers.tryReserve(this.answerSizes.expected);
    if (reservation === undefined) {
      const options = { ...NOT_RUN, retryAfterMs: BUFFER_RETRY_AFTER_MS };
      const failure = createFailure(
        ResultCode.BufferExhausted,
        'no buffer left for the answer',
        options,
      );
      const load = this.report(attempt.context);
      this.endUnsent(ticket, notDispatched('overloaded', failure, load));
      return;
    }
    entry.reservation = reservation;
    this.options.ledger.open(attempt.attemptId, attempt.attemptsGranted);
    void this.callBackend(ticket, entry.offer, reservation);
  }

  private async callBackend(
    ticket: number,
    offer: OfferMessage,
    reservation: BufferReservation,
  ): Promise<void> {
    const result = await this.dispatch.call(offer, reservation);
    this.postReliably({ type: 'ended', ticket, result });
  }

  /** Ends a ticket that the gate has dispatched and that was not sent to the back end. */
  private endUnsent(ticket: number, result: AttemptResult): void {
    const now = this.options.clock.now();
    const actions = this.options.gate.complete(now, ticket, result.outcome);
    this.end(ticket, result);
    this.apply(actions);
  }

  private end(ticket: number, result: AttemptResult): void {
    const entry = this.tickets.get(ticket);
    if (entry === undefined) return;
    this.tickets.delete(ticket);
    entry.stopListening();
    entry.reservation?.release();
    const { service } = entry.offer.attempt.context;
    this.options.metrics.attempts.inc({ service, outcome: result.outcome });
    entry.offer.resolve(result);
  }

  private noteDownstream({ service, threshold, kind }: DownstreamMessage): void {
    this.options.gate.noteDownstream(this.options.clock.now(), service, threshold, kind);
  }

  private logFailure(result: BackendResult): void {
    if (result.type === 'answer' || result.cause !== 'unreachable') return;
    const { target } = this.options;
    this.options.log.emit(Event.TargetUnreachable, { target, detail: result.failure.detail });
  }

  private afterMessage(): void {
    if (this.signs.leaving !== this.wasLeaving) this.onLeavingChanged();
    if (this.signs.seenHere !== this.wasSeenHere) {
      this.wasSeenHere = this.signs.seenHere;
      this.options.onLeavingChanged();
    }
    this.gateTimer.arm(this.options.gate.nextTimer());
    if (this.retiring && this.tickets.size === 0) this.retire();
  }

  private onLeavingChanged(): void {
    const { target, log } = this.options;
    this.wasLeaving = this.signs.leaving;
    if (this.wasLeaving) {
      log.emit(Event.TargetDraining, { target });
      this.refuseWaiting();
    }
  }

  private refuseWaiting(): void {
    const waiting = [...this.tickets].filter(([, entry]) => !entry.running);
    for (const [ticket] of waiting) {
      const actions = this.options.gate.cancel(this.options.clock.now(), ticket);
      this.end(ticket, refusedByLeavingTarget(this.options.target));
      this.apply(actions);
    }
  }

  /** Posts a message of the task's own timers and calls; retries, because none may get lost. */
  private postReliably(message: TargetMessage): void {
    if (this.post(message) || this.retired) return;
    this.options.clock.schedule(REPOST_DELAY_MS, () => {
      this.postReliably(message);
    });
  }

  private retire(): void {
    this.retired = true;
    this.gateTimer.cancel();
    this.options.client.close();
    this.close();
    this.options.onRetired();
  }
}
