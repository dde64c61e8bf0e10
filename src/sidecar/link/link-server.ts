/** The accepting end of links: serves other nodes' calls for the local target. */
import { createServer, type Server } from 'node:net';
import type { BufferReservation } from '../../core/byte-budget.js';
import type { UnfinishedBodies } from '../../core/holding/unfinished-bodies.js';
import type { LimitReporter } from '../../http/connection-guard.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { listenOn } from '../../kernel/port-binder.js';
import { ResultCode } from '../../core/result-code.js';
import { ageAuthorization } from './age-authorization.js';
import { createNotOfferedFailure, type AttemptPort, type CancelAttempt } from './attempt-port.js';
import type { AdmissionPort } from '../admission/admission-messages.js';
import type { QuarantineExchange, QuarantineUpdate } from '../quarantine/quarantine-update.js';
import type { QuotaPort, QuotaQuery } from '../quota/quota-messages.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import type {
  AttemptCall,
  AttemptEnd,
  LinkMessage,
  NodeStatus,
  RelayedLimit,
} from './link-messages.js';
import {
  type BoundedLink,
  IncomingLinks,
  type LinkLimit,
  type LinkLimits,
} from './incoming-links.js';
import { LinkSocket } from './link-socket.js';

/** Bytes of a call that are not counted; the queue of the target bounds the number of calls. */
const UNCOUNTED_CALL_BYTES = 2 * 1024;
const BUFFER_RETRY_AFTER_MS = 100;
/** Interval of the checks for silent connections, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 30_000;
/**
 * Connections on which nothing was received for this time are closed, in milliseconds. The connecting node
 * pings an idle connection several times in it, so the connection has gone silent or its node has failed.
 */
const MAX_SILENCE_MS = 100_000;
/** Calls with a longer transit time are refused. */
const MAX_TRANSIT_MS = 400;

export interface LinkServerOptions {
  readonly clock: Clock;
  readonly target: AttemptPort;
  /** Returns this node's current status. */
  status(): NodeStatus;
  /** Returns the document of the rules in force; undefined: none. */
  rulesDocument(): Buffer | undefined;
  readonly quarantine: QuarantineExchange;
  /** Returns how recently the rules were confirmed; undefined: unknown, or not required. */
  rulesConfirmation(): RulesConfirmation | undefined;
  /** Counts the limits of tenants. */
  readonly quota: QuotaPort;
  /** Coordinates the admission to short services; absent: reports are ignored. */
  readonly admission?: AdmissionPort;
  /** Returns the recorded incarnation in which a node's target has left; undefined: none. */
  leftTargetOf(node: string): string | undefined;
  /** Called when another node reports that the local target has left in this incarnation. */
  onLocalTargetLeft(incarnation: string): void;
  /** Called when another node reports a request limit that it relayed from the local target. */
  onRelayedLimit(limit: RelayedLimit): void;
  /**
   * Called with the status of another node.
   *
   * @param requestRules requests that node's rules
   */
  onPeerStatus(status: NodeStatus, requestRules: () => void): void;
  /** Called with rules that were requested. */
  onRules(document: Uint8Array): void;
  /** Buffers that calls share with the bodies of callers' requests. */
  readonly bodies: UnfinishedBodies;
  readonly limits: LinkLimits;
  /** Told when connections reach a limit; closed with the server. */
  readonly reports: LimitReporter<LinkLimit>;
}

/** Accepts links of other nodes and dispatches their calls to the local target. */
export class LinkServer {
  private readonly server: Server;
  private readonly connections: IncomingLinks<IncomingLink>;
  private cancelSilenceCheck: CancelTimer = () => {};

  constructor(private readonly options: LinkServerOptions) {
    this.connections = new IncomingLinks(options.limits, options.reports);
    this.server = createServer((socket) => {
      if (!this.connections.makeRoom()) {
        socket.destroy();
        return;
      }
      const link = new IncomingLink(options, this.connections);
      this.connections.add(link);
      link.attach(new LinkSocket(socket, link));
    });
  }

  /** Starts to listen; resolves with the port. Rejects when the address cannot be bound. */
  async listen(host: string, port: number): Promise<number> {
    const bound = await listenOn(this.server, host, port);
    this.scheduleSilenceCheck();
    return bound;
  }

  /** Sends this node's status to all connected nodes. */
  announceStatus(): void {
    const status = this.options.status();
    for (const link of this.connections) link.send({ type: 'status', status });
  }

  /** Sends a quarantine update to all connected nodes. */
  sendUpdate(update: QuarantineUpdate): void {
    for (const link of this.connections) link.send(update);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.cancelSilenceCheck();
    this.server.close();
    for (const link of this.connections) link.close('stopped');
    this.options.reports.close();
  }

  private scheduleSilenceCheck(): void {
    this.cancelSilenceCheck = this.options.clock.schedule(SILENCE_CHECK_INTERVAL_MS, () => {
      const silentSince = this.options.clock.now() - MAX_SILENCE_MS;
      for (const link of this.connections) {
        if (link.receivedAt < silentSince) link.close('nothing received for too long');
      }
      this.scheduleSilenceCheck();
    });
  }
}

/** A call that waits for the target or runs there. */
interface RunningCall {
  readonly cancel: CancelAttempt;
  readonly buffer: BufferReservation;
}

/** One connection from another node. */
class IncomingLink implements BoundedLink {
  hasServed = false;
  private socket: LinkSocket | undefined;
  private readonly running = new Map<number, RunningCall>();
  private sentLeftIncarnation: string | undefined;
  /** Time of the last message; of the connection before the first one. */
  receivedAt: number;

  constructor(
    private readonly options: LinkServerOptions,
    private readonly links: IncomingLinks<IncomingLink>,
  ) {
    this.receivedAt = options.clock.now();
  }

  get unfinishedCount(): number {
    return this.running.size;
  }

  get heldBytes(): number {
    return this.socket?.heldBytes ?? 0;
  }

  onHeldBytes(): void {
    this.links.limitHeldBytes();
  }

  attach(socket: LinkSocket): void {
    this.socket = socket;
    const { status, clock, quarantine } = this.options;
    socket.send({ type: 'hello', status: status(), clock: clock.now() });
    const update = quarantine.currentUpdate();
    if (update !== undefined) socket.send(update);
  }

  send(message: LinkMessage): void {
    this.socket?.send(message);
  }

  close(detail: string): void {
    this.socket?.end(detail);
  }

  /** Sends what the other node asked for, unless it doesn't read. */
  private reply(message: LinkMessage): void {
    if (this.socket?.sendReply(message) !== false) return;
    this.options.reports.note('replies');
    this.socket?.close('replies are not read');
  }

  destroy(detail: string): void {
    this.socket?.close(detail);
  }

  onMessage(message: LinkMessage, bytes: number): void {
    this.hasServed = true;
    this.receivedAt = this.options.clock.now();
    switch (message.type) {
      case 'call':
        this.onCall(message, bytes);
        break;
      case 'cancel':
        this.cancel(message.id);
        break;
      case 'ping':
        this.reply({ type: 'pong' });
        break;
      case 'rules-wanted':
        this.sendRules();
        break;
      case 'confirmation-wanted':
        this.sendConfirmation(message.question);
        break;
      case 'quota-wanted':
        this.forwardQuotaQuery(message.question, message.wanted);
        break;
      case 'demand-report': {
        const { question, report } = message;
        this.options.admission?.reportDemand(report, (reply) => {
          this.reply({ type: 'admission-plan', question, reply });
        });
        break;
      }
      case 'capacity-report':
        this.options.admission?.reportCapacity(message.report);
        break;
      case 'hello':
      case 'status':
        this.sendLeftTarget(message.status.node);
        // The other node's target is reached over a link that this node opens itself.
        this.options.onPeerStatus(message.status, () => {
          this.reply({ type: 'rules-wanted' });
        });
        break;
      case 'rules':
        this.options.onRules(message.document);
        break;
      case 'target-left':
        this.options.onLocalTargetLeft(message.incarnation);
        break;
      case 'target-limit':
        this.options.onRelayedLimit(message);
        break;
      case 'target-ends':
      case 'requests-cleared':
        this.options.quarantine.onUpdate(message, (update) => {
          this.send(update);
        });
        break;
      default:
        this.socket?.close(`unexpected message ${message.type}`);
    }
  }

  onClosed(): void {
    for (const { cancel, buffer } of this.running.values()) {
      cancel();
      buffer.release();
    }
    this.running.clear();
    this.links.delete(this);
  }

  private onCall(
    { id, sentAt, call }: Extract<LinkMessage, { type: 'call' }>,
    bytes: number,
  ): void {
    const transitMs = this.options.clock.now() - sentAt;
    if (transitMs > MAX_TRANSIT_MS) {
      const detail = `the call took ${Math.round(transitMs)} ms in transit`;
      const end = createNotOfferedFailure('unreachable', ResultCode.DeadlineUnreachable, detail);
      this.sendEnd(id, end, call);
      return;
    }
    const buffer = this.options.bodies.tryReserve(Math.max(0, bytes - UNCOUNTED_CALL_BYTES));
    if (buffer === undefined) {
      this.options.reports.note('call-bytes');
      this.sendEnd(id, noBuffer(), call);
      return;
    }
    let ended = false;
    const elapsedMs = Math.max(0, transitMs);
    const timeLeftMs = call.timeLeftMs - elapsedMs;
    const dueInMs = call.dueInMs - elapsedMs;
    const authorization = ageAuthorization(call.authorization, elapsedMs);
    const aged = { ...call, ...authorization, timeLeftMs, dueInMs };
    const cancel = this.options.target.dispatch(aged, (end) => {
      ended = true;
      buffer.release();
      this.running.delete(id);
      this.sendEnd(id, end, call);
    });
    if (!ended) this.running.set(id, { cancel, buffer });
  }

  /** Sends the incarnation once per connection, since a restarted node may not know it. */
  private sendLeftTarget(node: string): void {
    const incarnation = this.options.leftTargetOf(node);
    if (incarnation === undefined || this.sentLeftIncarnation === incarnation) return;
    this.sentLeftIncarnation = incarnation;
    this.send({ type: 'target-left', incarnation });
  }

  private sendEnd(id: number, end: AttemptEnd, call: AttemptCall): void {
    const needsKey = call.authorization !== undefined;
    const confirmation = needsKey ? this.options.rulesConfirmation() : undefined;
    const message = { type: 'end', id, clock: this.options.clock.now(), end } as const;
    this.send(confirmation === undefined ? message : { ...message, confirmation });
  }

  private forwardQuotaQuery(question: number, wanted: QuotaQuery): void {
    this.options.quota.queryQuota(wanted, (reply) => {
      this.reply({ type: 'quota-reply', question, reply });
    });
  }

  private sendConfirmation(question: number): void {
    const confirmation = this.options.rulesConfirmation();
    if (confirmation !== undefined) this.reply({ type: 'confirmation', question, confirmation });
  }

  private cancel(id: number): void {
    const call = this.running.get(id);
    if (call === undefined) return;
    call.cancel();
    call.buffer.release();
    this.running.delete(id);
  }

  private sendRules(): void {
    const document = this.options.rulesDocument();
    if (document !== undefined) this.reply({ type: 'rules', document });
  }
}

function noBuffer(): AttemptEnd {
  const detail = 'no buffer left for the request at its target';
  const code = ResultCode.BufferExhausted;
  return createNotOfferedFailure('overloaded', code, detail, BUFFER_RETRY_AFTER_MS);
}
