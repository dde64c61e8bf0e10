/**
 * The connecting end of links: sends calls to the target of another node. Connects on demand, and
 * reconnects with increasing delays until it is closed.
 */
import { connect } from 'node:net';
import { splitAddress } from '../../core/host-and-port.js';
import { ResultCode } from '../../core/result-code.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { ageAuthorization } from './age-authorization.js';
import {
  createAttemptFailure,
  createNotOfferedFailure,
  type AttemptPort,
  type CancelAttempt,
} from './attempt-port.js';
import type {
  AdmissionPort,
  CapacityReport,
  DemandReport,
  OnPlanReply,
} from '../admission/admission-messages.js';
import type { OnQuotaReply, QuotaPort, QuotaQuery } from '../quota/quota-messages.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import type { QuarantineExchange, QuarantineUpdate } from '../quarantine/quarantine-update.js';
import type {
  AttemptCall,
  AttemptEnd,
  AttemptFailure,
  LinkMessage,
  NodeStatus,
  RelayedLimit,
} from './link-messages.js';
import { LinkSocket } from './link-socket.js';
import { PeerClock } from './peer-clock.js';

/** Time limit for the connection and the greeting. */
const CONNECT_TIMEOUT_MS = 600;
const INITIAL_RECONNECT_DELAY_MS = 50;
const MAX_RECONNECT_DELAY_MS = 1_000;
/**
 * Idle time after which a call that is not idempotent is held until the other node answers a ping:
 * on a broken link it would be lost without anyone knowing whether it ran.
 */
const TRUSTED_IDLE_MS = 100;
/**
 * Idle time, while an answer is pending, after which the other node is pinged. Idle time before the
 * call does not count, since most links of a large fleet are rarely used.
 */
const PING_AFTER_MS = 250;
/** Time after a ping without any message at which the other node counts as unresponsive. */
const UNRESPONSIVE_AFTER_MS = 350;
/** Time after a ping without any message at which the connection is closed. */
const CLOSE_AFTER_MS = 4_000;
const CHECK_INTERVAL_MS = 125;

/** Callbacks of a link. */
export interface PeerLinkListener {
  /** Called with the status of the other node. */
  onStatus(status: NodeStatus): void;
  /** Called when the link opens or closes, and when the other node stops or resumes responding. */
  onReachableChanged(reachable: boolean, detail: string): void;
  onRules(document: Uint8Array): void;
  /** Called when the other node reports that the local target has left in this incarnation. */
  onLocalTargetLeft(incarnation: string): void;
  /**
   * Called when the other node reports how recently its rules were confirmed.
   *
   * @param requestedAt boot time of the request that the report answers; the report is not older
   */
  onRulesConfirmation(confirmation: RulesConfirmation, requestedAt: number): void;
  /**
   * Called before an attempt ends with a load report of the other node.
   *
   * @param requestLimit requests a second that its target states; undefined: none
   */
  onRequestLimit(requestLimit: number | undefined): void;
  /** Called when invalid members of a message of the other node were ignored. */
  onRejectedMembers?(members: readonly string[]): void;
}

export interface PeerLinkOptions {
  /** Expected identity of the other node. */
  readonly node: string;
  /** IP address and port. */
  readonly address: string;
  readonly clock: Clock;
  /** Returns this node's current status. */
  status(): NodeStatus;
  /** Returns the document of the rules in force; undefined: none. */
  rulesDocument(): Buffer | undefined;
  readonly quarantine: QuarantineExchange;
  /** Returns the recorded incarnation in which the other node's target has left; undefined: none. */
  leftTarget(): string | undefined;
  /** Returns the request limit that this node relayed from the other node's target; undefined: none. */
  relayedLimit(): RelayedLimit | undefined;
  readonly listener: PeerLinkListener;
}

interface PendingCall {
  readonly call: AttemptCall;
  readonly onEnd: (end: AttemptEnd) => void;
  /** Whether the call was written to a connection. */
  sent: boolean;
  readonly createdAt: number;
  /** Boot time of the dispatch; undefined when the call needs no API key. */
  readonly requestedAt: number | undefined;
}

/** An unanswered request for the confirmation of the other node's rules. */
interface ConfirmationRequest {
  readonly number: number;
  readonly requestedAt: number;
}

type Phase = 'idle' | 'connecting' | 'open';

/** A link to one other node; reconnects until it is closed. */
export class PeerLink implements AttemptPort, QuotaPort, AdmissionPort {
  private phase: Phase = 'idle';
  private socket: LinkSocket | undefined;
  private readonly peerClock = new PeerClock();
  private readonly pending = new Map<number, PendingCall>();
  /** Calls that are held until the next message of the other node. */
  private readonly held = new Set<number>();
  private lastId = 0;
  private reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
  private cancelReconnect: CancelTimer = () => {};
  private cancelConnectTimer: CancelTimer = () => {};
  private cancelCheck: CancelTimer | undefined;
  private lastReceivedAt = 0;
  private pingedAt: number | undefined;
  private unresponsive = false;
  private closed = false;
  private reachable = false;
  /** Whether the last connection failed or was closed. */
  private failed = false;
  private confirmationRequest: ConfirmationRequest | undefined;
  private readonly quotaQueries = new Map<number, OnQuotaReply>();
  private readonly demandReports = new Map<number, OnPlanReply>();

  constructor(private readonly options: PeerLinkOptions) {}

  /** Whether the link is open and the other node responsive. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Whether calls may be dispatched: the link is reachable, or connects for the first time. */
  get isReachableOrConnecting(): boolean {
    return this.reachable || (this.phase === 'connecting' && !this.failed);
  }

  /** Whether the last connection failed or was closed, or the other node is unresponsive. */
  get isKnownUnreachable(): boolean {
    return this.failed || this.unresponsive;
  }

  /** Connects unless the link is open, connecting or closed for good. */
  open(): void {
    if (this.phase !== 'idle' || this.closed) return;
    this.cancelReconnect();
    this.connect();
  }

  /** Requests the other node's rules. */
  requestRules(): void {
    if (this.phase === 'open') this.socket?.send({ type: 'rules-wanted' });
  }

  /** Requests how recently the other node's rules were confirmed. */
  requestConfirmation(): void {
    if (this.phase !== 'open') return;
    this.lastId += 1;
    this.confirmationRequest = { number: this.lastId, requestedAt: this.options.clock.bootNow() };
    this.socket?.send({ type: 'confirmation-wanted', question: this.lastId });
  }

  /** Sends a quota query; `onReply` is never called when the connection is lost first. */
  queryQuota(wanted: QuotaQuery, onReply: OnQuotaReply): void {
    if (this.phase !== 'open') return;
    this.lastId += 1;
    this.quotaQueries.set(this.lastId, onReply);
    this.socket?.send({ type: 'quota-wanted', question: this.lastId, wanted });
  }

  /** Sends a demand report; `onReply` is never called when the connection is lost first. */
  reportDemand(report: DemandReport, onReply: OnPlanReply): void {
    if (this.phase !== 'open') return;
    this.lastId += 1;
    this.demandReports.set(this.lastId, onReply);
    this.socket?.send({ type: 'demand-report', question: this.lastId, report });
  }

  /** Sends a capacity report, which has no reply. */
  reportCapacity(report: CapacityReport): void {
    if (this.phase === 'open') this.socket?.send({ type: 'capacity-report', report });
  }

  /** Sends this node's status to the other node. */
  announceStatus(status: NodeStatus): void {
    if (this.phase === 'open') this.socket?.send({ type: 'status', status });
  }

  /** Sends a quarantine update to the other node. */
  sendUpdate(update: QuarantineUpdate): void {
    if (this.phase === 'open') this.socket?.send(update);
  }

  dispatch(call: AttemptCall, onEnd: (end: AttemptEnd) => void): CancelAttempt {
    if (this.closed || this.socket?.hasRoom === false) {
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
    const pending = { call, onEnd, sent: false, createdAt: clock.now(), requestedAt };
    this.pending.set(id, pending);
    this.open();
    if (this.phase === 'open') this.sendOrHold(id, pending);
    this.scheduleCheck(PING_AFTER_MS);
    return () => this.cancel(id);
  }

  /** Closes the link for good. */
  close(detail: string): void {
    this.closed = true;
    this.cancelReconnect();
    this.cancelCheck?.();
    this.socket?.close(detail);
    this.failAll(detail);
  }

  onMessage(message: LinkMessage): void {
    this.lastReceivedAt = this.options.clock.now();
    this.pingedAt = undefined;
    switch (message.type) {
      case 'end':
        this.peerClock.noteStamp(
          this.lastReceivedAt,
          message.clock,
          this.pending.get(message.id)?.createdAt,
        );
        if (message.rejected) this.options.listener.onRejectedMembers?.(message.rejected);
        this.noteConfirmation(message.confirmation, this.pending.get(message.id)?.requestedAt);
        this.onEnd(message.id, message.end);
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
      case 'hello':
        this.onHello(message);
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
        this.socket?.close(`unexpected message ${message.type}`);
    }
    if (this.unresponsive) this.setUnresponsive(false, 'responsive again');
    this.sendHeld();
  }

  onClosed(detail: string): void {
    this.cancelConnectTimer();
    this.socket = undefined;
    this.phase = 'idle';
    this.unresponsive = false;
    this.failed = true;
    this.quotaQueries.clear();
    this.demandReports.clear();
    this.updateReachable(detail);
    this.failAll(detail);
    this.scheduleReconnect();
  }

  private connect(): void {
    this.phase = 'connecting';
    const { address, clock } = this.options;
    const socket = connect(splitAddress(address));
    const link = new LinkSocket(socket, this);
    this.socket = link;
    this.cancelConnectTimer = clock.schedule(CONNECT_TIMEOUT_MS, () => {
      link.close('connection or greeting timed out');
    });
  }

  private onHello({ status, clock }: Extract<LinkMessage, { type: 'hello' }>): void {
    if (status.node !== this.options.node) {
      this.socket?.close(`unexpected node ${status.node} at this address`);
      return;
    }
    this.cancelConnectTimer();
    this.phase = 'open';
    this.failed = false;
    this.reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
    this.peerClock.reset();
    this.peerClock.noteStamp(this.options.clock.now(), clock);
    const own = this.options.status();
    this.socket?.send({ type: 'status', status: own });
    const update = this.options.quarantine.currentUpdate();
    if (update !== undefined) this.socket?.send(update);
    const incarnation = this.options.leftTarget();
    if (incarnation !== undefined) this.socket?.send({ type: 'target-left', incarnation });
    // Sent before any call: a node that has restarted doesn't know the limit.
    const limit = this.options.relayedLimit();
    if (limit !== undefined) this.socket?.send({ type: 'target-limit', ...limit });
    this.options.listener.onStatus(status);
    this.updateReachable('connected');
    for (const [id, { sent }] of this.pending) if (!sent) this.held.add(id);
    // The check for a call that was dispatched while connecting may have run before the link was open.
    if (this.pending.size > 0) this.scheduleCheck(PING_AFTER_MS);
  }

  private sendRules(): void {
    const document = this.options.rulesDocument();
    if (document !== undefined) this.socket?.send({ type: 'rules', document });
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
    const receivedRecently = this.options.clock.now() - this.lastReceivedAt <= TRUSTED_IDLE_MS;
    if (pending.call.idempotent || receivedRecently) {
      this.sendCall(id, pending);
      return;
    }
    this.held.add(id);
    this.ping();
  }

  private sendHeld(): void {
    if (this.held.size === 0 || this.phase !== 'open') return;
    const ids = [...this.held];
    this.held.clear();
    for (const id of ids) {
      const pending = this.pending.get(id);
      if (pending !== undefined) this.sendCall(id, pending);
    }
  }

  /** Pings the other node unless a ping is pending. */
  private ping(): void {
    if (this.pingedAt !== undefined) return;
    this.pingedAt = this.options.clock.now();
    this.socket?.send({ type: 'ping' });
  }

  private sendCall(id: number, pending: PendingCall): void {
    const now = this.options.clock.now();
    const heldMs = now - pending.createdAt;
    const timeLeftMs = pending.call.timeLeftMs - heldMs;
    const dueInMs = pending.call.dueInMs - heldMs;
    const authorization = ageAuthorization(pending.call.authorization, heldMs);
    pending.sent = true;
    const sentAt = this.peerClock.at(now);
    const call = { ...pending.call, ...authorization, timeLeftMs, dueInMs };
    this.socket?.send({ type: 'call', id, sentAt, call });
  }

  private onEnd(id: number, end: AttemptEnd): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    if (end.load !== undefined) this.options.listener.onRequestLimit(end.load.requestLimit);
    pending?.onEnd(end);
  }

  private cancel(id: number): boolean {
    const pending = this.pending.get(id);
    if (pending === undefined) return false;
    this.pending.delete(id);
    this.held.delete(id);
    if (pending.sent) this.socket?.send({ type: 'cancel', id });
    return pending.sent;
  }

  private scheduleReconnect(): void {
    if (this.closed) return;
    this.cancelReconnect = this.options.clock.schedule(this.reconnectDelayMs, () => {
      this.open();
    });
    this.reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, this.reconnectDelayMs * 2);
  }

  /** Fails all pending calls: those that were written may have run, the others have not. */
  private failAll(detail: string): void {
    const all = [...this.pending.values()];
    this.pending.clear();
    this.held.clear();
    const failureDetail = `link to ${this.options.node}: ${detail}`;
    for (const { onEnd, sent } of all) {
      onEnd(
        sent
          ? createLostFailure(ResultCode.PeerLost, failureDetail)
          : createUnsentFailure(failureDetail),
      );
    }
  }

  private scheduleCheck(delayMs: number): void {
    this.cancelCheck ??= this.options.clock.schedule(delayMs, () => {
      this.cancelCheck = undefined;
      this.checkLiveness();
    });
  }

  /** Checks, while answers are pending, that the other node still sends messages. */
  private checkLiveness(): void {
    if (this.closed || this.phase !== 'open') return;
    const now = this.options.clock.now();
    if (this.pending.size === 0 && !this.unresponsive && this.pingedAt === undefined) return;
    if (this.pingedAt === undefined) {
      const idleMs = now - this.idleSince();
      if (idleMs < PING_AFTER_MS) {
        this.scheduleCheck(PING_AFTER_MS - idleMs);
        return;
      }
      this.ping();
    } else if (now - this.pingedAt > CLOSE_AFTER_MS) {
      this.socket?.close('no reply to ping');
    } else if (now - this.pingedAt > UNRESPONSIVE_AFTER_MS && !this.unresponsive) {
      const silentMs = Math.round(now - this.lastReceivedAt);
      this.setUnresponsive(true, `unresponsive: nothing received for ${silentMs} ms`);
    }
    this.scheduleCheck(CHECK_INTERVAL_MS);
  }

  /** Returns the time since which an answer is pending and nothing was received. */
  private idleSince(): number {
    const [oldest] = this.pending.values();
    return Math.max(this.lastReceivedAt, oldest?.createdAt ?? 0);
  }

  private setUnresponsive(unresponsive: boolean, detail: string): void {
    this.unresponsive = unresponsive;
    this.updateReachable(detail);
    if (!unresponsive) return;
    const failureDetail = `link to ${this.options.node} is unresponsive`;
    // Calls that were not sent can go to another node, and idempotent ones need not wait for an answer
    // that may never arrive.
    for (const [id, { call, onEnd, sent }] of [...this.pending]) {
      if (sent && !call.idempotent) continue;
      this.cancel(id);
      onEnd(
        sent
          ? createLostFailure(ResultCode.PeerTimeout, failureDetail)
          : createUnsentFailure(failureDetail),
      );
    }
  }

  private updateReachable(detail: string): void {
    const reachable = this.phase === 'open' && !this.unresponsive;
    if (reachable === this.reachable) return;
    this.reachable = reachable;
    this.options.listener.onReachableChanged(reachable, detail);
  }
}

/** Creates the failure of a call that was written and whose answer is lost. */
function createLostFailure(code: ResultCode, detail: string): AttemptFailure {
  return createAttemptFailure({
    outcome: 'failed',
    execution: 'unknown',
    code,
    detail,
    offered: true,
  });
}

/** Creates the failure of a call that was never written. */
function createUnsentFailure(detail: string): AttemptFailure {
  return createNotOfferedFailure('unreachable', ResultCode.PeerUnreachable, detail);
}
