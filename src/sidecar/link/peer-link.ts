/**
 * The connecting end of links: sends calls to the target of another node. Connects on demand, and
 * reconnects with increasing delays until it is closed. A connection that goes silent is replaced; answers
 * that still arrive on it are used.
 */
import { ResultCode } from '../../core/result-code.js';
import type { CancelTimer } from '../../kernel/clock.js';
import { ageAuthorization } from './age-authorization.js';
import { createNotOfferedFailure, type AttemptPort, type CancelAttempt } from './attempt-port.js';
import type {
  AdmissionPort,
  CapacityReport,
  DemandReport,
  OnPlanReply,
} from '../admission/admission-messages.js';
import type { OnQuotaReply, QuotaPort, QuotaQuery } from '../quota/quota-messages.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import type { QuarantineUpdate } from '../quarantine/quarantine-update.js';
import type { AttemptCall, AttemptEnd, LinkMessage, NodeStatus } from './link-messages.js';
import { CLOSE_AFTER_MS, ConnectionLiveness, PING_AFTER_MS } from './connection-liveness.js';
import {
  OutgoingConnection,
  type Greeting,
  type OutgoingConnectionListener,
} from './outgoing-connection.js';
import type { PeerLinkOptions } from './peer-link-options.js';
import { PendingCalls, type PendingCall } from './pending-calls.js';
import { PeerClock } from './peer-clock.js';

const INITIAL_RECONNECT_DELAY_MS = 50;
const MAX_RECONNECT_DELAY_MS = 1_000;
/** Idle time after which a connection is verified before this node relies on it, in milliseconds. */
const VERIFY_AFTER_MS = 1_000;
/** Longest time between two checks of a connection. */
const MAX_CHECK_INTERVAL_MS = 30_000;
/**
 * Idle time after which a call that is not idempotent is held until the other node answers a ping:
 * on a broken link it would be lost without anyone knowing whether it ran.
 */
const TRUSTED_IDLE_MS = 100;
type AnswerMessage = Extract<LinkMessage, { type: 'end' }>;

/** An unanswered request for the confirmation of the other node's rules. */
interface ConfirmationRequest {
  readonly number: number;
  readonly requestedAt: number;
}

/** A link to one other node; reconnects until it is closed. */
export class PeerLink implements AttemptPort, QuotaPort, AdmissionPort, OutgoingConnectionListener {
  /** Connection in use; the other node has sent its greeting. */
  private current: OutgoingConnection | undefined;
  /** Connection that waits for the greeting. */
  private opening: OutgoingConnection | undefined;
  /** Replaced connections, kept for a limited time for the answers to calls that were written to them. */
  private readonly retired = new Map<OutgoingConnection, CancelTimer>();
  private liveness: ConnectionLiveness;
  private readonly peerClock = new PeerClock();
  private readonly pending = new PendingCalls();
  private lastId = 0;
  private reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
  private cancelReconnect: CancelTimer = () => {};
  private cancelCheck: CancelTimer = () => {};
  private checkAt = Infinity;
  private unresponsive = false;
  private closed = false;
  private reachable = false;
  /** Whether the last connection failed or was closed. */
  private failed = false;
  private confirmationRequest: ConfirmationRequest | undefined;
  private readonly quotaQueries = new Map<number, OnQuotaReply>();
  private readonly demandReports = new Map<number, OnPlanReply>();

  constructor(private readonly options: PeerLinkOptions) {
    this.liveness = new ConnectionLiveness(options.clock.now());
  }

  /** Whether the link is open and the other node responsive. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Whether calls may be dispatched: the link is reachable, or connects for the first time. */
  get isReachableOrConnecting(): boolean {
    return this.reachable || (this.opening !== undefined && !this.failed && !this.unresponsive);
  }

  /** Whether the last connection failed or was closed, or the other node is unresponsive. */
  get isKnownUnreachable(): boolean {
    return this.failed || this.unresponsive;
  }

  /** Connects unless the link is open, connecting or closed for good. */
  open(): void {
    if (this.current === undefined) this.connect();
  }

  /** Checks that the other node responds, although no answer is pending. */
  verify(): void {
    if (this.current !== undefined) this.ping();
  }

  /** Requests the other node's rules. */
  requestRules(): void {
    this.current?.send({ type: 'rules-wanted' });
  }

  /** Requests how recently the other node's rules were confirmed. */
  requestConfirmation(): void {
    if (this.current === undefined) return;
    this.lastId += 1;
    this.confirmationRequest = { number: this.lastId, requestedAt: this.options.clock.bootNow() };
    this.current.send({ type: 'confirmation-wanted', question: this.lastId });
    this.verifyIfIdle();
  }

  /** Sends a quota query; `onReply` is never called when the connection is lost first. */
  queryQuota(wanted: QuotaQuery, onReply: OnQuotaReply): void {
    if (this.current === undefined) return;
    this.lastId += 1;
    this.quotaQueries.set(this.lastId, onReply);
    this.current.send({ type: 'quota-wanted', question: this.lastId, wanted });
  }

  /** Sends a demand report; `onReply` is never called when the connection is lost first. */
  reportDemand(report: DemandReport, onReply: OnPlanReply): void {
    if (this.current === undefined) return;
    this.lastId += 1;
    this.demandReports.set(this.lastId, onReply);
    this.current.send({ type: 'demand-report', question: this.lastId, report });
  }

  /** Sends a capacity report, which has no reply. */
  reportCapacity(report: CapacityReport): void {
    this.current?.send({ type: 'capacity-report', report });
  }

  /** Sends this node's status to the other node. */
  announceStatus(status: NodeStatus): void {
    if (this.current === undefined) return;
    this.current.send({ type: 'status', status });
    this.verifyIfIdle();
  }

  /** Sends a quarantine update to the other node. */
  sendUpdate(update: QuarantineUpdate): void {
    this.current?.send(update);
  }

  dispatch(call: AttemptCall, onEnd: (end: AttemptEnd) => void): CancelAttempt {
    if (this.closed || this.current?.hasRoom === false) {
      onEnd(
        createNotOfferedFailure(
          'unreachable',
          ResultCode.PeerUnreachable,
          'the link is closed or its send buffer is full',
        ),
      );
      return () => false;
    }
    this.lastId += 1;
    const id = this.lastId;
    const { clock } = this.options;
    const requestedAt = call.authorization && clock.bootNow();
    const createdAt = clock.now();
    const pending = { call, onEnd, connection: undefined, createdAt, requestedAt };
    this.pending.add(id, pending);
    this.open();
    if (this.current !== undefined) this.sendOrHold(id, pending);
    this.scheduleCheck(PING_AFTER_MS);
    return () => this.cancel(id);
  }

  /** Closes the link for good. */
  close(detail: string): void {
    this.closed = true;
    this.cancelReconnect();
    this.cancelCheck();
    for (const connection of [this.current, this.opening, ...this.retired.keys()]) {
      connection?.close(detail);
    }
    this.failPending(detail);
  }

  onMessage(connection: OutgoingConnection, message: LinkMessage): void {
    if (connection !== this.current) {
      // What else a replaced connection delivers may be older than what the current one has delivered.
      if (message.type === 'end') this.onAnswer(message);
      this.closeIfUnused(connection);
      return;
    }
    this.liveness.noteReceived(this.options.clock.now());
    switch (message.type) {
      case 'end':
        this.onAnswer(message);
        break;
      case 'quota-reply':
        this.quotaQueries.get(message.question)?.(message.reply);
        this.quotaQueries.delete(message.question);
        break;
      case 'admission-plan':
        this.demandReports.get(message.question)?.(message.reply);
        this.demandReports.delete(message.question);
        break;
      case 'confirmation':
        this.onConfirmation(message.question, message.confirmation);
        break;
      case 'status':
        this.options.listener.onStatus(message.status);
        break;
      case 'rules':
        this.options.listener.onRules(message.document);
        break;
      case 'rules-wanted':
        this.sendRules();
        break;
      case 'target-left':
        this.options.listener.onLocalTargetLeft(message.incarnation);
        break;
      case 'target-ends':
      case 'requests-cleared':
        this.options.quarantine.onUpdate(message, (update) => {
          this.sendUpdate(update);
        });
        break;
      case 'pong':
        break;
      default:
        connection.close(`unexpected message ${message.type}`);
    }
    if (this.unresponsive) this.onResponsiveAgain();
    this.sendHeld();
  }

  onClosed(connection: OutgoingConnection, detail: string): void {
    if (connection === this.current) {
      this.current = undefined;
      this.onCurrentClosed(detail);
    } else if (connection === this.opening) {
      this.opening = undefined;
      if (this.current === undefined) this.onCurrentClosed(detail);
      else this.scheduleReconnect();
    } else if (this.retired.has(connection)) {
      this.retired.get(connection)?.();
      this.retired.delete(connection);
      this.failPending(detail, connection);
    }
  }

  onGreeting(connection: OutgoingConnection, { status, clock }: Greeting): void {
    const replaced = this.current;
    if (replaced !== undefined) this.dropQuestions();
    this.current = connection;
    this.opening = undefined;
    this.cancelReconnect();
    this.failed = false;
    this.unresponsive = false;
    this.reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
    const now = this.options.clock.now();
    this.liveness = new ConnectionLiveness(now);
    this.peerClock.reset();
    this.peerClock.noteStamp(now, clock);
    this.introduce(connection);
    this.options.listener.onStatus(status);
    this.updateReachable(replaced === undefined ? 'connected' : 'silent connection replaced');
    this.pending.holdUnwritten();
    this.sendHeld();
    this.scheduleCheck(this.pending.isEmpty ? Infinity : PING_AFTER_MS);
    if (replaced !== undefined) this.retire(replaced);
  }

  /** Forgets questions whose replies can no longer arrive. */
  private dropQuestions(): void {
    this.quotaQueries.clear();
    this.demandReports.clear();
  }

  /** Sends what the other node has to know before any call. */
  private introduce(connection: OutgoingConnection): void {
    connection.send({ type: 'status', status: this.options.status() });
    const update = this.options.quarantine.currentUpdate();
    if (update !== undefined) connection.send(update);
    const incarnation = this.options.leftTarget();
    if (incarnation !== undefined) connection.send({ type: 'target-left', incarnation });
    // A node that has restarted doesn't know the limit.
    const limit = this.options.relayedLimit();
    if (limit !== undefined) connection.send({ type: 'target-limit', ...limit });
  }

  private sendRules(): void {
    const document = this.options.rulesDocument();
    if (document !== undefined) this.current?.send({ type: 'rules', document });
  }

  /** Ignores replies to earlier requests, which may have been written before the latest request. */
  private onConfirmation(question: number, confirmation: RulesConfirmation): void {
    if (this.confirmationRequest?.number !== question) return;
    this.noteConfirmation(confirmation, this.confirmationRequest.requestedAt);
    this.confirmationRequest = undefined;
  }

  private noteConfirmation(
    confirmation: RulesConfirmation | undefined,
    requestedAt: number | undefined,
  ): void {
    if (confirmation === undefined || requestedAt === undefined) return;
    this.options.listener.onRulesConfirmation(confirmation, requestedAt);
  }

  /** Holds a call that is not idempotent unless a message of the other node was received recently. */
  private sendOrHold(id: number, pending: PendingCall): void {
    const receivedRecently = this.liveness.silentMs(this.options.clock.now()) <= TRUSTED_IDLE_MS;
    if (pending.call.idempotent || receivedRecently) {
      this.sendCall(id, pending);
      return;
    }
    this.pending.hold(id);
    this.ping();
  }

  private sendHeld(): void {
    if (this.current === undefined) return;
    for (const [id, call] of this.pending.takeHeld()) this.sendCall(id, call);
  }

  /** Verifies a connection on which nothing was received for some time, and on which a loss would go unnoticed. */
  private verifyIfIdle(): void {
    const silentMs = this.liveness.silentMs(this.options.clock.now());
    if (silentMs > VERIFY_AFTER_MS) this.verify();
  }

  /** Pings the other node unless a ping is pending. */
  private ping(): void {
    if (this.liveness.isPinged) return;
    this.liveness.notePinged(this.options.clock.now());
    this.current?.send({ type: 'ping' });
    this.scheduleCheck(PING_AFTER_MS);
  }

  private sendCall(id: number, pending: PendingCall): void {
    const now = this.options.clock.now();
    const heldMs = now - pending.createdAt;
    const timeLeftMs = pending.call.timeLeftMs - heldMs;
    const dueInMs = pending.call.dueInMs - heldMs;
    const authorization = ageAuthorization(pending.call.authorization, heldMs);
    pending.connection = this.current;
    const sentAt = this.peerClock.at(now);
    const call = { ...pending.call, ...authorization, timeLeftMs, dueInMs };
    this.current?.send({ type: 'call', id, sentAt, call });
  }

  private onAnswer({ id, clock, end, confirmation, rejected }: AnswerMessage): void {
    const pending = this.pending.take(id);
    this.peerClock.noteStamp(this.options.clock.now(), clock, pending?.createdAt);
    if (rejected) this.options.listener.onRejectedMembers?.(rejected);
    this.noteConfirmation(confirmation, pending?.requestedAt);
    if (end.load !== undefined) this.options.listener.onRequestLimit(end.load.requestLimit);
    pending?.onEnd(end);
  }

  private cancel(id: number): boolean {
    const connection = this.pending.take(id)?.connection;
    connection?.send({ type: 'cancel', id });
    return connection !== undefined;
  }

  private connect(): void {
    if (this.opening !== undefined || this.closed) return;
    this.cancelReconnect();
    const { node, address, clock } = this.options;
    this.opening = new OutgoingConnection({ node, address, clock, listener: this });
  }

  private onCurrentClosed(detail: string): void {
    this.unresponsive = false;
    this.failed = true;
    this.dropQuestions();
    this.updateReachable(detail);
    this.failPending(detail);
    if (this.opening === undefined) this.scheduleReconnect();
  }

  private scheduleReconnect(): void {
    if (this.closed) return;
    this.cancelReconnect();
    this.cancelReconnect = this.options.clock.schedule(this.reconnectDelayMs, () => {
      this.connect();
    });
    this.reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, this.reconnectDelayMs * 2);
  }

  /** Keeps a replaced connection while calls that were written to it may still be answered. */
  private retire(connection: OutgoingConnection): void {
    const cancelTimer = this.options.clock.schedule(CLOSE_AFTER_MS, () => {
      connection.close('no answer on the replaced connection');
    });
    this.retired.set(connection, cancelTimer);
    this.closeIfUnused(connection);
  }

  private closeIfUnused(connection: OutgoingConnection): void {
    if (this.retired.has(connection) && !this.pending.hasCallsOn(connection)) {
      connection.close('replaced');
    }
  }

  /**
   * Fails pending calls: those that were written may have run, the others have not.
   *
   * @param retired fails only the calls that were written to this connection; absent: fails all that were not
   *   written to a retired one
   */
  private failPending(detail: string, retired?: OutgoingConnection): void {
    const ids = this.pending.select(({ connection }) => {
      if (retired !== undefined) return connection === retired;
      return connection === undefined || !this.retired.has(connection);
    });
    const failureDetail = `link to ${this.options.node}: ${detail}`;
    for (const id of ids) this.pending.fail(id, ResultCode.PeerLost, failureDetail);
  }

  /** Schedules a check, unless one is due earlier. */
  private scheduleCheck(delayMs: number): void {
    const { clock } = this.options;
    const limitedMs = Math.min(delayMs, MAX_CHECK_INTERVAL_MS);
    const at = clock.now() + limitedMs;
    if (this.closed || at >= this.checkAt) return;
    this.cancelCheck();
    this.checkAt = at;
    this.cancelCheck = clock.schedule(limitedMs, () => {
      this.checkAt = Infinity;
      this.checkLiveness(at);
    });
  }

  /** Checks that the other node still sends messages. */
  private checkLiveness(dueAt: number): void {
    if (this.closed || this.current === undefined) return;
    const now = this.options.clock.now();
    const { state, nextCheckMs } = this.liveness.check(now, dueAt, this.pending.oldestAt);
    if (state === 'ping-due') this.ping();
    else if (state === 'lost') this.current.close('no reply to ping');
    else if (state === 'unresponsive' && !this.unresponsive) this.onUnresponsive();
    this.scheduleCheck(nextCheckMs);
  }

  /** Replaces the connection: it may have gone silent for good while a new one works. */
  private onUnresponsive(): void {
    this.unresponsive = true;
    const silentMs = Math.round(this.liveness.silentMs(this.options.clock.now()));
    this.updateReachable(`unresponsive: nothing received for ${silentMs} ms`);
    // Calls that were not sent can go to another node, and idempotent ones need not wait for an answer
    // that may never arrive.
    const abandoned = this.pending.select(
      ({ call, connection }) => connection === undefined || call.idempotent,
    );
    const failureDetail = `link to ${this.options.node} is unresponsive`;
    for (const id of abandoned) {
      this.pending.get(id)?.connection?.send({ type: 'cancel', id });
      this.pending.fail(id, ResultCode.PeerTimeout, failureDetail);
    }
    this.connect();
    this.options.listener.onUnresponsive();
  }

  private onResponsiveAgain(): void {
    this.unresponsive = false;
    this.cancelReconnect();
    this.reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
    const { opening } = this;
    this.opening = undefined;
    opening?.close('the link is responsive again');
    this.updateReachable('responsive again');
  }

  private updateReachable(detail: string): void {
    const reachable = this.current !== undefined && !this.unresponsive;
    if (reachable === this.reachable) return;
    this.reachable = reachable;
    this.options.listener.onReachableChanged(reachable, detail);
  }
}
