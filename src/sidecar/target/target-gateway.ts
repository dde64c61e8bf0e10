/**
 * Every request for the local target passes through this gateway, whether it comes from the same machine or
 * over a link. The gateway checks admission, queue, leaving, deadline and the identity of the target.
 */
import type { GateAction, OverloadPolicy, Refusal, TargetGate } from '../../core/overload.js';
import { CostTally, type ServiceCosts } from '../../core/admission/cost-tally.js';
import type { LoadReport, RequestContext } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';
import type { Failure } from '../../core/failure.js';
import type { AnswerIntake } from '../../http/answer-intake.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { ForwardedFields } from '../forwarded-fields.js';
import type { FieldNames, TargetStatements } from '../platform-adapter.js';
import {
  incarnationText,
  isSameIncarnation,
  type RegisteredTarget,
} from '../directory/target-registration.js';
import {
  createNotOfferedFailure,
  type AttemptPort,
  type CancelAttempt,
} from '../link/attempt-port.js';
import type {
  AttemptCall,
  AttemptEnd,
  AttemptFailure,
  Authorization,
  RelayedLimit,
} from '../link/link-messages.js';
import { keyOfCall } from '../quarantine/request-key.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import {
  isInterrupted,
  outcomeOf,
  withCost,
  withoutShortService,
  withRefusedBelow,
} from './attempt-ends.js';
import { createContext } from './attempt-context.js';
import { StatedLimitLog } from './stated-limit-log.js';
import { TargetClient, type ExchangeEnd } from './target-client.js';
import { TargetCrashWatch } from './target-crash-watch.js';
import {
  createLeavingFailure,
  createUnregisteredFailure,
  failureOfAnswer,
  MISDIRECTED_REQUEST,
  toFailure,
} from './target-failures.js';

export interface TargetGatewayOptions {
  readonly service: string;
  /** IP address and port of the target. */
  readonly address: string;
  readonly fields: FieldNames;
  readonly forwardedFields: ForwardedFields;
  readonly policy: OverloadPolicy;
  readonly clock: Clock;
  /** Receives the target's answers. */
  readonly answers: AnswerIntake;
  readonly log: EventLog;
  readonly seed: number;
  /** Setting `loadControl.objectiveQueue`. */
  readonly objectiveQueue: 'auto' | 'off';
  /** Receives the requests that ran when the target crashed, and those that it answered. */
  readonly quarantine: RequestQuarantine;
  /** See {@link RequestAuthorizer.recheck}. */
  recheckAuthorization(authorization: Authorization, validForMs: number): Failure | undefined;
  /** Called when the target answers as another incarnation than the registered one. */
  onIdentityMismatch(targetId: string): void;
  /** See {@link PlatformAdapter.parseStatements}. */
  parseStatements(headers: Readonly<Record<string, unknown>>): TargetStatements;
  /** Called when an answer of this incarnation states that the target leaves. */
  onLeaving(incarnation: string): void;
  /** See {@link isSharedAdmissionOn}; absent: never. Otherwise answers carry no costs and name no short service. */
  readonly sharesAdmission?: () => boolean;
}

interface Ticket {
  readonly call: AttemptCall;
  /** Local monotonic time at which the request times out. */
  readonly deadline: number;
  readonly context: RequestContext;
  /** Boot time at which the request arrived; undefined: it needs no authorization. */
  readonly arrivedAt: number | undefined;
  readonly onEnd: (end: AttemptEnd) => void;
  /** Gate of the incarnation that the request was admitted for. */
  readonly gate: TargetGate;
  /** Whether a call that the target made for the request has been served. */
  callServed: boolean;
  /** Whether a call that the target made for the request was refused for load, at any depth. */
  refusedBelow: boolean;
  /** Costs of the calls that ended; undefined: one of them is unknown, or costs are not sent. */
  callCosts: CostTally | undefined;
  /** Aborts the exchange; undefined while the request waits. */
  abort: (() => void) | undefined;
  /** Local monotonic time at which it was sent; undefined while the request waits. */
  sentAt: number | undefined;
}

/** Time limit for the connection that checks whether the target has crashed. */
const CRASH_CHECK_TIMEOUT_MS = 200;

/** Admits, queues and sends the requests for the local target. */
export class TargetGateway implements AttemptPort {
  private target: RegisteredTarget | undefined;
  private gate: TargetGate | undefined;
  private client: TargetClient | undefined;
  /** Watches the incarnation that the gate was created for. */
  private crashWatch: TargetCrashWatch | undefined;
  private incarnation: string | undefined;
  /** Lowest limit that other nodes relayed; it counts until the target has answered this node. */
  private relayedLimit: RelayedLimit | undefined;
  /** Whether the incarnation has answered this node, so that its own statements count. */
  private hasAnswered = false;
  private readonly limitLog: StatedLimitLog;
  /** Requests that were interrupted, until it is known whether the target has crashed. */
  private readonly interrupted = new Set<number>();
  private readonly tickets = new Map<number, Ticket>();
  /** Tickets by the identity of their attempt, for the calls that the target makes for it. */
  private readonly byAttempt = new Map<string, Ticket>();
  private lastTicket = 0;
  private cancelTimer: CancelTimer = () => {};
  private timerAt = Infinity;
  private stopping = false;

  constructor(private readonly options: TargetGatewayOptions) {
    this.limitLog = new StatedLimitLog(options.clock, options.log);
  }

  /** Whether new work is refused, since the node stops. */
  get isStopping(): boolean {
    return this.stopping;
  }

  /** Number of requests that wait or run. */
  get inProgress(): number {
    return this.tickets.size + this.interrupted.size;
  }

  /** Updates the target; a new incarnation gets its own gate. */
  setTarget(target: RegisteredTarget | undefined): void {
    const isNew =
      target !== undefined &&
      (this.target === undefined || !isSameIncarnation(target, this.target));
    this.target = target;
    if (isNew || target?.state !== 'ready') this.refuseWaiting();
    if (isNew) this.openGate(target);
  }

  /** Refuses waiting and new work; running work goes on. */
  stop(): void {
    this.stopping = true;
    this.refuseWaiting();
  }

  /** Requests a second that the target takes from all nodes, as it states; undefined: no limit. */
  get requestLimit(): number | undefined {
    return this.gate?.statedLimit();
  }

  /** How long work takes on the target's machine now, as it states; undefined: not stated. */
  get slowdown(): number | undefined {
    return this.gate?.report(this.options.clock.now()).slowdown;
  }

  /** Called when another node reports a limit that it relayed, since this node may have restarted. */
  onRelayedLimit(limit: RelayedLimit): void {
    const { relayedLimit: known } = this;
    const isLower = limit.requestsPerSecond < (known?.requestsPerSecond ?? Infinity);
    if (known?.incarnation !== limit.incarnation || isLower) this.relayedLimit = limit;
    this.applyRelayedLimit();
  }

  /** Requests the target's identity. */
  probe(path: string, timeoutMs: number): Promise<string | undefined> {
    const { address, fields, clock, answers } = this.options;
    const identityField = fields.attemptId;
    const client = this.client ?? new TargetClient({ address, identityField, clock, answers });
    return client.probe(path, fields.targetId, timeoutMs);
  }

  dispatch(call: AttemptCall, onEnd: (end: AttemptEnd) => void): CancelAttempt {
    const refusal = this.checkOpen(call);
    const { gate } = this;
    if (refusal !== undefined || gate === undefined) {
      onEnd(refusal ?? createUnregisteredFailure());
      return () => false;
    }
    const now = this.options.clock.now();
    this.lastTicket += 1;
    const ticket = this.lastTicket;
    const context = createContext(call, now);
    this.addTicket(ticket, {
      call,
      deadline: context.deadline,
      context,
      arrivedAt: call.authorization && this.options.clock.bootNow(),
      onEnd,
      gate,
      callServed: false,
      refusedBelow: false,
      callCosts: this.sharesAdmission ? new CostTally() : undefined,
      abort: undefined,
      sentAt: undefined,
    });
    this.apply(gate.offer(now, ticket, context));
    this.armTimer();
    return () => this.cancel(ticket);
  }

  /** Returns the request that the target serves under this identity. */
  contextOf(attemptId: string): RequestContext | undefined {
    return this.byAttempt.get(attemptId)?.context;
  }

  /** Whether the attempt of this identity is a retry, so that its calls count as retries. */
  isRetry(attemptId: string): boolean {
    return this.byAttempt.get(attemptId)?.call.repeated ?? false;
  }

  /** Whether a call of the attempt of this identity, or of an attempt above it, has been served. */
  isCommitted(attemptId: string): boolean {
    const ticket = this.byAttempt.get(attemptId);
    return ticket !== undefined && (ticket.callServed || ticket.call.committed);
  }

  /** Records that a call that the target made for a request was served. */
  noteCallServed(attemptId: string): void {
    const ticket = this.byAttempt.get(attemptId);
    if (ticket !== undefined) ticket.callServed = true;
  }

  /** Records that a call that the target made for a request was refused for load. */
  noteCallRefused(attemptId: string): void {
    const ticket = this.byAttempt.get(attemptId);
    if (ticket !== undefined) ticket.refusedBelow = true;
  }

  /** Records the cost of a call that the target made for a request; undefined: unknown, so the sum is too. */
  noteCallCost(attemptId: string, cost: ServiceCosts | undefined): void {
    const ticket = this.byAttempt.get(attemptId);
    if (ticket === undefined) return;
    if (cost === undefined) ticket.callCosts = undefined;
    else ticket.callCosts?.addAll(cost);
  }

  /**
   * Records the admission threshold of a service that the target calls for a request.
   *
   * @param shortService service that lacks slots, as load reports name it
   */
  noteDownstream(
    attemptId: string,
    service: string,
    threshold: number,
    shortService?: string,
  ): void {
    const ticket = this.byAttempt.get(attemptId);
    if (ticket === undefined) return;
    const { gate, context } = ticket;
    const now = this.options.clock.now();
    gate.noteDownstream(now, service, threshold, context.kind, shortService);
  }

  private get sharesAdmission(): boolean {
    return this.options.sharesAdmission?.() === true;
  }

  private reportLoad({ gate, context }: Ticket): LoadReport {
    const load = gate.report(this.options.clock.now(), context);
    if (load.shortService === undefined || this.sharesAdmission) return load;
    return withoutShortService(load);
  }

  private addTicket(ticketId: number, ticket: Ticket): void {
    this.tickets.set(ticketId, ticket);
    this.byAttempt.set(ticket.call.attemptId, ticket);
  }

  private removeTicket(ticketId: number): Ticket | undefined {
    const ticket = this.tickets.get(ticketId);
    if (ticket === undefined) return undefined;
    this.tickets.delete(ticketId);
    const { attemptId } = ticket.call;
    if (this.byAttempt.get(attemptId) === ticket) this.byAttempt.delete(attemptId);
    return ticket;
  }

  private checkOpen(call: AttemptCall): AttemptFailure | undefined {
    if (call.service !== this.options.service) {
      const detail = `this node fronts ${this.options.service}`;
      return createNotOfferedFailure('unreachable', ResultCode.NoTargetAvailable, detail);
    }
    if (this.target === undefined) return createUnregisteredFailure();
    if (this.stopping || this.target.state === 'leaving') return createLeavingFailure();
    if (call.timeLeftMs <= 0) {
      return createNotOfferedFailure('overloaded', ResultCode.DeadlineExceeded, 'no time left');
    }
    return this.checkAuthorization(call.authorization, 0) ?? this.checkQuarantine(call);
  }

  /**
   * Refuses with the outcome `cancelled`, since the refusal shows neither load nor a fault of the target
   * and every other node would refuse too.
   */
  private checkAuthorization(
    authorization: Authorization | undefined,
    waitedMs: number,
  ): AttemptFailure | undefined {
    if (authorization === undefined) return undefined;
    const { validForMs } = authorization;
    const refusal = this.options.recheckAuthorization(authorization, validForMs - waitedMs);
    if (refusal === undefined) return undefined;
    return createNotOfferedFailure('cancelled', refusal.code, refusal.detail, refusal.retryAfterMs);
  }

  /** Refuses with the outcome `cancelled`, for the same reason as {@link checkAuthorization}. */
  private checkQuarantine(call: AttemptCall): AttemptFailure | undefined {
    const refusal = this.options.quarantine.admitRun(call);
    if (refusal === undefined) return undefined;
    const { code, detail, retryAfterMs } = refusal;
    return createNotOfferedFailure('cancelled', code, detail, retryAfterMs);
  }

  private openGate(target: RegisteredTarget): void {
    const { policy, address, fields, clock, answers, seed, objectiveQueue } = this.options;
    this.watchIncarnation(target);
    this.client?.close();
    this.client = new TargetClient({ address, identityField: fields.attemptId, clock, answers });
    this.gate = policy.createTargetGate({
      initialLimit: target.slots,
      maxLimit: target.slots,
      seed,
      objectiveQueue,
    });
    this.hasAnswered = false;
    this.applyRelayedLimit();
  }

  private applyRelayedLimit(): void {
    const { gate, relayedLimit, target } = this;
    if (gate === undefined || target === undefined || relayedLimit === undefined) return;
    if (this.hasAnswered || relayedLimit.incarnation !== this.incarnation) return;
    const now = this.options.clock.now();
    this.apply(gate.noteStatedLimit(now, now, relayedLimit.requestsPerSecond));
    this.limitLog.onLimit(target.id, relayedLimit.requestsPerSecond);
    this.armTimer();
  }

  private watchIncarnation(target: RegisteredTarget): void {
    const incarnation = incarnationText(target);
    if (incarnation === this.incarnation) return;
    this.crashWatch?.onNewIncarnation();
    this.incarnation = incarnation;
    const { clock, quarantine } = this.options;
    this.crashWatch = new TargetCrashWatch({
      clock,
      refusesConnections: () =>
        this.client?.refusesConnections(CRASH_CHECK_TIMEOUT_MS) ?? Promise.resolve(false),
      isRunningSince: (time) => this.isRunningSince(time),
      onCrash: (requests) => {
        quarantine.noteTargetCrash(incarnation, requests);
      },
    });
  }

  private isRunningSince(time: number): boolean {
    for (const { sentAt } of this.tickets.values()) {
      if (sentAt !== undefined && sentAt < time) return true;
    }
    return false;
  }

  private apply(actions: readonly GateAction[]): void {
    for (const action of actions) {
      if (action.type === 'dispatch') this.start(action.ticket);
      else this.refuse(action.ticket, action.refusal);
    }
  }

  private start(ticketId: number): void {
    const ticket = this.tickets.get(ticketId);
    const { client, target } = this;
    if (ticket === undefined || client === undefined || target === undefined) return;
    if (this.refuseUnauthorized(ticketId, ticket)) return;
    const now = this.options.clock.now();
    const timeoutMs = ticket.deadline - now;
    const { call } = ticket;
    ticket.sentAt = now;
    const fields = this.options.forwardedFields.toTarget(call, target.id, timeoutMs);
    const { incarnation } = this;
    const { attemptId, method, path, body } = call;
    const request = { attemptId, method, path, fields, body, timeoutMs };
    ticket.abort = client.send(request, (end) => {
      if (incarnation !== undefined) this.noteStatements(ticket, target.id, incarnation, end);
      this.onExchangeEnd(ticketId, target.id, end);
    });
  }

  /** Checks the authorization again after the wait, since the key may have been revoked meanwhile. */
  private refuseUnauthorized(ticketId: number, { arrivedAt, call, gate, onEnd }: Ticket): boolean {
    if (arrivedAt === undefined) return false;
    const { clock } = this.options;
    const refusal = this.checkAuthorization(call.authorization, clock.bootNow() - arrivedAt);
    if (refusal === undefined) return false;
    this.removeTicket(ticketId);
    const actions = gate.complete(clock.now(), ticketId, 'cancelled');
    onEnd(refusal);
    this.apply(actions);
    return true;
  }

  private onExchangeEnd(ticketId: number, targetId: string, exchange: ExchangeEnd): void {
    const ticket = this.removeTicket(ticketId);
    if (ticket === undefined) return;
    const { gate } = ticket;
    const now = this.options.clock.now();
    const { call, callCosts, refusedBelow, sentAt = now } = ticket;
    const answered = withRefusedBelow(refusedBelow, this.toAttemptEnd(exchange, targetId, call));
    const end = withCost(callCosts, call.service, now - sentAt, answered);
    const actions = gate.complete(now, ticketId, outcomeOf(end));
    if (end.type === 'answer' && end.refusedBelow === true) gate.noteWastedRun(now, ticket.context);
    const load = gate === this.gate ? this.reportLoad(ticket) : undefined;
    const loaded = load === undefined ? end : { ...end, load };
    if (end.type === 'failure') this.logFailure(ticket, end);
    if (end.type === 'answer') this.noteAnswer(ticket);
    if (isInterrupted(exchange)) this.endAfterCrashCheck(ticketId, ticket, loaded);
    else ticket.onEnd(loaded);
    this.apply(actions);
    this.armTimer();
  }

  /**
   * Applies what an answer states, before the answer is passed on: the node where the request began is bound
   * by it from then on. Each statement belongs to the incarnation that the request was sent to.
   */
  private noteStatements(
    { gate, sentAt = -Infinity }: Ticket,
    targetId: string,
    incarnation: string,
    exchange: ExchangeEnd,
  ): void {
    if (exchange.type !== 'answer' || this.isOfAnotherTarget(exchange, targetId)) return;
    const statements = this.options.parseStatements(exchange.headers);
    for (const invalid of statements.invalid) this.limitLog.onInvalid(targetId, invalid);
    const isLimitInvalid = statements.invalid.some(({ statement }) => statement === 'request limit');
    if (!isLimitInvalid && gate === this.gate) {
      this.noteLimit(gate, targetId, sentAt, statements.requestLimit);
    }
    if (statements.load !== undefined && gate === this.gate) {
      this.apply(gate.noteStatedLoad(this.options.clock.now(), statements.load));
    }
    if (statements.isLeaving) this.options.onLeaving(incarnation);
  }

  private noteLimit(
    gate: TargetGate,
    targetId: string,
    sentAt: number,
    requestLimit: number | undefined,
  ): void {
    const now = this.options.clock.now();
    this.hasAnswered = true;
    this.apply(gate.noteStatedLimit(now, sentAt, requestLimit));
    this.limitLog.onLimit(targetId, gate.statedLimit());
  }

  /** Whether another target has answered, at the address that this one had. */
  private isOfAnotherTarget(
    { status, headers }: Extract<ExchangeEnd, { type: 'answer' }>,
    targetId: string,
  ): boolean {
    return status === MISDIRECTED_REQUEST && headers[this.options.fields.targetId] !== targetId;
  }

  private noteAnswer({ call }: Ticket): void {
    this.crashWatch?.onAnswer();
    this.options.quarantine.noteServed(call);
  }

  /**
   * Ends the request after the crash check, since the caller's node must learn of a crash before it
   * decides on a retry. When the target announced that it leaves, no request becomes suspect.
   */
  private endAfterCrashCheck(ticketId: number, { call, onEnd }: Ticket, end: AttemptEnd): void {
    const { crashWatch } = this;
    if (crashWatch === undefined || this.target?.state !== 'ready') {
      onEnd(end);
      return;
    }
    this.interrupted.add(ticketId);
    crashWatch.onInterrupted(keyOfCall(call), () => {
      if (this.interrupted.delete(ticketId)) onEnd(end);
    });
  }

  private toAttemptEnd(
    exchange: ExchangeEnd,
    targetId: string,
    { idempotent }: AttemptCall,
  ): AttemptEnd {
    if (exchange.type === 'failure') return toFailure(exchange);
    const { status, fields, headers, body } = exchange;
    const { forwardedFields } = this.options;
    const { notExecuted, targetId: idField } = this.options.fields;
    if (status === MISDIRECTED_REQUEST) {
      const found = headers[idField];
      if (typeof found === 'string' && found !== targetId) {
        this.options.onIdentityMismatch(targetId);
      }
    }
    const failure = failureOfAnswer(status, headers[notExecuted] !== undefined, idempotent);
    if (failure !== undefined) return failure;
    return { type: 'answer', status, fields: forwardedFields.fromTarget(fields), body };
  }

  private refuse(ticketId: number, { code, detail, retryAfterMs }: Refusal): void {
    const ticket = this.removeTicket(ticketId);
    if (ticket === undefined) return;
    const load = this.reportLoad(ticket);
    const outcome = code === ResultCode.TargetRateLimited ? 'rate-limited' : 'overloaded';
    ticket.onEnd({ ...createNotOfferedFailure(outcome, code, detail, retryAfterMs), load });
  }

  private cancel(ticketId: number): boolean {
    if (this.interrupted.delete(ticketId)) return true;
    const ticket = this.removeTicket(ticketId);
    if (ticket === undefined) return false;
    const now = this.options.clock.now();
    if (ticket.abort === undefined) {
      this.apply(ticket.gate.cancel(now, ticketId));
      return false;
    }
    ticket.abort();
    this.crashWatch?.onAbandoned(keyOfCall(ticket.call));
    this.apply(ticket.gate.complete(now, ticketId, 'cancelled'));
    return true;
  }

  private refuseWaiting(): void {
    const now = this.options.clock.now();
    for (const [ticketId, ticket] of [...this.tickets]) {
      if (ticket.abort !== undefined) continue;
      this.removeTicket(ticketId);
      ticket.gate.cancel(now, ticketId);
      ticket.onEnd(createLeavingFailure());
    }
  }

  private armTimer(): void {
    const next = this.gate?.nextTimer();
    if (next === undefined || next >= this.timerAt) return;
    this.cancelTimer();
    this.timerAt = next;
    const { clock } = this.options;
    this.cancelTimer = clock.schedule(Math.max(1, next - clock.now()), () => {
      this.timerAt = Infinity;
      this.apply(this.gate?.onTimer(clock.now()) ?? []);
      this.armTimer();
    });
  }

  private logFailure(
    { call, sentAt }: Ticket,
    { outcome, code, detail, execution }: AttemptFailure,
  ): void {
    const { log, clock } = this.options;
    const { attemptId: id, kind } = call;
    const ms = sentAt === undefined ? undefined : Math.round(clock.now() - sentAt);
    log.emit(Event.AttemptFailed, { id, kind, outcome, code, execution, ms, detail });
  }
}
