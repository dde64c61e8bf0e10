/**
 * The connecting end of links: one node's way to another, for calls of the target beside it.
 * Connects when it is wanted, and again with growing pauses while it stays wanted.
 */
import { connect } from 'node:net';
import { ResultCode } from '../../core/result-code.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import {
  createAttemptFailure,
  createNotOffered,
  type AttemptPort,
  type CancelTry,
} from './attempt-port.js';
import type { AttemptCall, AttemptEnd, LinkMessage, NodeStatus } from './link-messages.js';
import { LinkSocket } from './link-socket.js';
import { PeerClock } from './peer-clock.js';

/** Time for a connection and the greeting, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;
/** Silence after which a node that owes an answer is asked whether it is there, in milliseconds. */
const PROBE_AFTER_MS = 250;
/** Silence after that question at which the link counts as silent, in milliseconds. */
const SILENT_AFTER_MS = 350;
/** Silence at which the connection is given up, in milliseconds. */
const DEAD_AFTER_MS = 4_000;
const CHECK_INTERVAL_MS = 125;

/** What a link tells its owner. */
export interface PeerLinkListener {
  /** The other node has said something about itself. */
  onStatus(status: NodeStatus): void;
  /** The link opened, ended, fell silent or is heard again. */
  onReachableChanged(reachable: boolean, detail: string): void;
  onRules(document: Uint8Array): void;
}

/** What a link is made from. */
export interface PeerLinkOptions {
  /** Identity that the other node must have. */
  readonly node: string;
  /** IP address and port. */
  readonly address: string;
  readonly clock: Clock;
  /** What this node says of itself now. */
  status(): NodeStatus;
  /** The rules in force as a document; undefined: none. */
  rulesDocument(): Buffer | undefined;
  readonly listener: PeerLinkListener;
}

interface PendingCall {
  readonly call: AttemptCall;
  readonly onEnd: (end: AttemptEnd) => void;
  /** Whether it was written to a connection. */
  sent: boolean;
  readonly createdAt: number;
}

type Phase = 'idle' | 'connecting' | 'open';

/** See the module comment. */
export class PeerLink implements AttemptPort {
  private phase: Phase = 'idle';
  private socket: LinkSocket | undefined;
  private readonly peerClock = new PeerClock();
  private readonly pending = new Map<number, PendingCall>();
  private lastId = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private cancelRetry: CancelTimer = () => {};
  private cancelConnectTimer: CancelTimer = () => {};
  private cancelCheck: CancelTimer | undefined;
  private lastHeard = 0;
  private probedAt: number | undefined;
  private silent = false;
  private closed = false;
  private reachable = false;
  /** Whether the last connection failed or ended. */
  private failed = false;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Whether calls can be sent now with hope of an answer. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Whether calls are worth sending: the link is open, or connects for the first time. */
  get isPromising(): boolean {
    return this.reachable || (this.phase === 'connecting' && !this.failed);
  }

  /** Connects unless it is connected or about to be. */
  open(): void {
    if (this.phase !== 'idle' || this.closed) return;
    this.cancelRetry();
    this.connect();
  }

  /** Asks for the other node's rules. */
  requestRules(): void {
    if (this.phase === 'open') this.socket?.send({ type: 'rules-wanted' });
  }

  /** Tells the other node what this one now says of itself. */
  announceStatus(status: NodeStatus): void {
    if (this.phase === 'open') this.socket?.send({ type: 'status', status });
  }

  dispatch(call: AttemptCall, onEnd: (end: AttemptEnd) => void): CancelTry {
    if (this.closed || this.socket?.hasRoom === false) {
      onEnd(createNotOffered('unreachable', ResultCode.PeerUnreachable, 'the link takes no calls'));
      return () => false;
    }
    this.lastId += 1;
    const id = this.lastId;
    const pending = { call, onEnd, sent: false, createdAt: this.options.clock.now() };
    this.pending.set(id, pending);
    this.open();
    if (this.phase === 'open') this.sendCall(id, pending);
    this.scheduleCheck();
    return () => this.cancel(id);
  }

  /** Ends the link for good. */
  close(detail: string): void {
    this.closed = true;
    this.cancelRetry();
    this.cancelCheck?.();
    this.socket?.close(detail);
    this.failAll(detail);
  }

  onMessage(message: LinkMessage): void {
    this.lastHeard = this.options.clock.now();
    this.probedAt = undefined;
    switch (message.type) {
      case 'end':
        this.peerClock.note(this.lastHeard, message.clock);
        this.onEnd(message.id, message.end);
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
      case 'pong':
        break;
      default:
        this.socket?.close(`unexpected message ${message.type}`);
    }
    if (this.silent) this.setSilent(false, 'heard again');
  }

  onClosed(detail: string): void {
    this.cancelConnectTimer();
    this.socket = undefined;
    this.phase = 'idle';
    this.silent = false;
    this.failed = true;
    this.updateReachable(detail);
    this.failAll(detail);
    this.retryLater();
  }

  private connect(): void {
    this.phase = 'connecting';
    const { address, clock } = this.options;
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const socket = connect({ host, port: Number(address.slice(separator + 1)) });
    const link = new LinkSocket(socket, this);
    this.socket = link;
    this.cancelConnectTimer = clock.schedule(CONNECT_TIMEOUT_MS, () => {
      link.close('no connection in time');
    });
  }

  private onHello({ status, clock }: Extract<LinkMessage, { type: 'hello' }>): void {
    if (status.node !== this.options.node) {
      this.socket?.close(`another node, ${status.node}, is there`);
      return;
    }
    this.cancelConnectTimer();
    this.phase = 'open';
    this.failed = false;
    this.pauseMs = FIRST_PAUSE_MS;
    this.peerClock.reset();
    this.peerClock.note(this.options.clock.now(), clock);
    const own = this.options.status();
    this.socket?.send({ type: 'status', status: own });
    this.options.listener.onStatus(status);
    this.updateReachable('connected');
    for (const [id, pending] of this.pending) if (!pending.sent) this.sendCall(id, pending);
  }

  private sendRules(): void {
    const document = this.options.rulesDocument();
    if (document !== undefined) this.socket?.send({ type: 'rules', document });
  }

  private sendCall(id: number, pending: PendingCall): void {
    const now = this.options.clock.now();
    const timeLeftMs = pending.call.timeLeftMs - (now - pending.createdAt);
    pending.sent = true;
    const sentAt = this.peerClock.at(now);
    this.socket?.send({ type: 'call', id, sentAt, call: { ...pending.call, timeLeftMs } });
  }

  private onEnd(id: number, end: AttemptEnd): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    pending?.onEnd(end);
  }

  private cancel(id: number): boolean {
    const pending = this.pending.get(id);
    if (pending === undefined) return false;
    this.pending.delete(id);
    if (pending.sent) this.socket?.send({ type: 'cancel', id });
    return pending.sent;
  }

  private retryLater(): void {
    if (this.closed) return;
    this.cancelRetry = this.options.clock.schedule(this.pauseMs, () => {
      this.open();
    });
    this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
  }

  /** What was written may have run; what was not has not. */
  private failAll(detail: string): void {
    const all = [...this.pending.values()];
    this.pending.clear();
    for (const { onEnd, sent } of all) {
      onEnd(
        createAttemptFailure({
          outcome: sent ? 'failed' : 'unreachable',
          execution: sent ? 'unknown' : 'not-run',
          code: sent ? ResultCode.PeerLost : ResultCode.PeerUnreachable,
          detail: `link to ${this.options.node}: ${detail}`,
          offered: sent,
        }),
      );
    }
  }

  private scheduleCheck(): void {
    this.cancelCheck ??= this.options.clock.schedule(CHECK_INTERVAL_MS, () => {
      this.cancelCheck = undefined;
      this.check();
    });
  }

  /** Watches the silence while answers are due. */
  private check(): void {
    if (this.closed || this.phase !== 'open') return;
    const now = this.options.clock.now();
    if (this.pending.size === 0 && !this.silent && this.probedAt === undefined) return;
    this.scheduleCheck();
    if (this.probedAt === undefined) {
      if (now - this.lastHeard < PROBE_AFTER_MS) return;
      this.probedAt = now;
      this.socket?.send({ type: 'ping' });
    } else if (now - this.probedAt > DEAD_AFTER_MS) {
      this.socket?.close('silent');
    } else if (now - this.probedAt > SILENT_AFTER_MS && !this.silent) {
      this.setSilent(true, 'silent');
    }
  }

  private setSilent(silent: boolean, detail: string): void {
    this.silent = silent;
    this.updateReachable(detail);
    if (!silent) return;
    // Repeatable requests need not wait for an answer that may never come.
    for (const [id, { call, onEnd }] of [...this.pending]) {
      if (!call.idempotent) continue;
      this.cancel(id);
      onEnd(
        createAttemptFailure({
          outcome: 'failed',
          execution: 'unknown',
          code: ResultCode.PeerTimeout,
          detail: `link to ${this.options.node} is silent`,
          offered: true,
        }),
      );
    }
  }

  private updateReachable(detail: string): void {
    const reachable = this.phase === 'open' && !this.silent;
    if (reachable === this.reachable) return;
    this.reachable = reachable;
    this.options.listener.onReachableChanged(reachable, detail);
  }
}
