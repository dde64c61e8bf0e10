/** Runs the membership protocol of one node with a UDP socket, a timer and state exchanges. */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { Result } from 'true-myth';
import { splitAddress } from '../core/host-and-port.js';
import type { Member, MemberFacts, MutableFacts } from '../core/member.js';
import { MembershipProtocol } from '../core/membership/membership-protocol.js';
import type { MemberUpdate } from '../core/membership/member-update.js';
import type {
  MembershipAction,
  MembershipEvent,
  MemberSyncReply,
  MemberSyncRequest,
} from '../core/membership/membership-message.js';
import type { MembershipOptions } from '../core/membership/membership-options.js';
import { createFailure } from '../core/failure.js';
import type { Random } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import { Task } from '../kernel/task.js';
import type { TrafficMeter } from '../kernel/traffic-meter.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import { DatagramCodec } from './datagram-codec.js';
import { MemberSync } from './member-sync.js';
import { validateFetchRequest, validateSyncRequest } from './membership-calls.js';
import type { Membership } from './membership.js';
import { PacedNotifier } from './paced-notifier.js';

/** Longest wait of {@link MembershipTask.leave}. */
const LEAVE_TIMEOUT_MS = 1_500;

/** Shortest time between two log lines about rejected datagrams. */
const MIN_REJECTION_LOG_INTERVAL_MS = 1_000;

const EVENTS: Readonly<Record<MembershipEvent, Event>> = {
  joined: Event.MemberJoined,
  suspected: Event.MemberSuspected,
  failed: Event.MemberFailed,
  leaving: Event.MemberLeaving,
  refuted: Event.MemberRefuted,
};

export interface MembershipTaskOptions {
  /** This node's facts at start; datagrams go to and from its peer address. */
  readonly facts: MemberFacts;
  readonly seeds: readonly string[];
  readonly sharedKey: string;
  /** Further keys that received datagrams may be signed with; none when absent. */
  readonly previousSharedKeys?: readonly string[];
  readonly maxMailboxLength: number;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: Random;
  /** Counts the bytes of all datagrams; optional. */
  readonly traffic?: TrafficMeter;
  /** Timing of the protocol; the defaults when absent. */
  readonly protocol?: MembershipOptions;
}

type TaskMessage =
  | { readonly type: 'start' }
  | { readonly type: 'timer' }
  | { readonly type: 'datagram'; readonly datagram: Buffer; readonly from: RemoteInfo }
  | { readonly type: 'update'; readonly facts: MutableFacts }
  | { readonly type: 'seeds'; readonly addresses: readonly string[] }
  | { readonly type: 'leave' }
  | { readonly type: 'merge'; readonly nodeId: string; readonly updates: readonly MemberUpdate[] }
  | {
      readonly type: 'sync-request';
      readonly nodeId: string;
      readonly request: MemberSyncRequest;
      readonly resolve: (reply: MemberSyncReply) => void;
    };

/** {@link Membership} by gossip over UDP, with state exchanges over peer links. */
export class MembershipTask extends Task<TaskMessage> implements Membership {
  private readonly protocol: MembershipProtocol;
  private readonly codec: DatagramCodec;
  private readonly sync: MemberSync;
  private readonly notifier: PacedNotifier;
  private readonly leaveWaiters = new Set<() => void>();
  private socket: Socket | undefined;
  private view: readonly Member[] | undefined;
  private cancelTimer: CancelTimer | undefined;
  private timerAt = Infinity;
  private rejectedCount = 0;
  private rejectionLoggedAt = -Infinity;

  constructor(private readonly options: MembershipTaskOptions) {
    super('membership', options.maxMailboxLength);
    this.protocol = new MembershipProtocol(options.facts, options.random, options.protocol);
    this.codec = new DatagramCodec(options.sharedKey, options.previousSharedKeys);
    this.notifier = new PacedNotifier(options.clock);
    this.sync = new MemberSync(options.network, {
      createSyncRequest: () => this.protocol.createSyncRequest(),
      createTransferRequests: (buckets) => this.protocol.createTransferRequests(buckets),
      merge: (nodeId, updates) => void this.post({ type: 'merge', nodeId, updates }),
    });
    this.registerHandlers(options.network);
  }

  /** Binds the UDP socket and joins the fleet; rejects when the address cannot be bound. */
  async start(): Promise<void> {
    const { host, port } = splitAddress(this.options.facts.peerAddress);
    const socket = createSocket(host.includes(':') ? 'udp6' : 'udp4');
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, host, () => {
        socket.off('error', reject);
        resolve();
      });
    });
    socket.on('error', (error) => {
      this.options.log.emit(Event.InternalError, { error: String(error) });
    });
    socket.on('message', (datagram, from) => this.post({ type: 'datagram', datagram, from }));
    this.socket = socket;
    this.post({ type: 'start' });
  }

  /** Closes the socket and cancels the timers; sends nothing to the other nodes. */
  stop(): void {
    this.cancelTimer?.();
    this.notifier.stop();
    this.socket?.close();
    this.socket = undefined;
    for (const wake of this.leaveWaiters) wake();
    this.close();
  }

  self(): Member {
    return this.protocol.self();
  }

  members(): readonly Member[] {
    this.view ??= this.protocol.members();
    return this.view;
  }

  find(nodeId: string): Member | undefined {
    return this.protocol.find(nodeId);
  }

  update(facts: MutableFacts): void {
    this.post({ type: 'update', facts });
  }

  addSeeds(addresses: readonly string[]): void {
    this.post({ type: 'seeds', addresses });
  }

  async leave(): Promise<void> {
    this.post({ type: 'leave' });
    if (this.protocol.isLeaveSpread || this.members().length <= 1) return;
    await new Promise<void>((resolve) => {
      const cancelTimeout = this.options.clock.schedule(LEAVE_TIMEOUT_MS, () => {
        wake();
      });
      const wake = (): void => {
        cancelTimeout();
        this.leaveWaiters.delete(wake);
        resolve();
      };
      this.leaveWaiters.add(wake);
    });
  }

  subscribe(listener: () => void): () => void {
    return this.notifier.subscribe(listener);
  }

  protected handle(message: TaskMessage): void {
    this.perform(this.advance(message));
    this.armTimer();
    if (this.protocol.isLeaveSpread) for (const wake of [...this.leaveWaiters]) wake();
  }

  private advance(message: TaskMessage): readonly MembershipAction[] {
    const now = this.options.clock.now();
    switch (message.type) {
      case 'start':
        return [...this.protocol.start(now), ...this.protocol.addSeeds(now, this.options.seeds)];
      case 'timer':
        this.timerAt = Infinity;
        return this.protocol.onTimer(now);
      case 'datagram':
        return this.readDatagram(now, message.datagram, message.from);
      case 'update':
        return this.protocol.update(now, message.facts);
      case 'seeds':
        return this.protocol.addSeeds(now, message.addresses);
      case 'leave':
        return this.protocol.leave(now);
      case 'merge':
        return this.protocol.onSyncReply(now, message.nodeId, message.updates);
      case 'sync-request': {
        const { nodeId, request, resolve } = message;
        const { reply, actions } = this.protocol.onSyncRequest(now, nodeId, request);
        resolve(reply);
        return actions;
      }
    }
  }

  private readDatagram(now: number, datagram: Buffer, from: RemoteInfo) {
    this.options.traffic?.count('udp', 'received', datagram.length);
    const message = this.codec.decode(datagram);
    const address = formatAddress(from);
    if (message === undefined) {
      this.logRejectedDatagram(now, address, datagram.length);
      return [];
    }
    return this.protocol.onMessage(now, address, message);
  }

  /** Logs at a bounded rate, so that a flood of datagrams does not flood the log. */
  private logRejectedDatagram(now: number, address: string, bytes: number): void {
    this.rejectedCount += 1;
    if (now - this.rejectionLoggedAt < MIN_REJECTION_LOG_INTERVAL_MS) return;
    this.rejectionLoggedAt = now;
    const detail = `${this.rejectedCount} invalid datagram(s) dropped, the last of ${bytes} bytes`;
    this.rejectedCount = 0;
    this.options.log.emit(Event.FrameRejected, { link: `datagram from ${address}`, detail });
  }

  private perform(actions: readonly MembershipAction[]): void {
    const { network, log } = this.options;
    for (const action of actions) {
      switch (action.type) {
        case 'send': {
          const { host, port } = splitAddress(action.to);
          // Ignores send errors: the protocol treats an unsent datagram like a lost one.
          const datagram = this.codec.encode(action.message);
          this.options.traffic?.count('udp', 'sent', datagram.length);
          this.socket?.send(datagram, port, host, () => {});
          break;
        }
        case 'sync':
          this.sync.exchange(action.nodeId);
          break;
        case 'fetch':
          this.sync.fetch(action.source, action.nodeIds);
          break;
        case 'address':
          network.setAddress(action.nodeId, action.address);
          break;
        case 'event':
          log.emit(EVENTS[action.event], { member: action.nodeId });
          break;
        case 'changed':
          this.view = undefined;
          this.notifier.notify();
          break;
      }
    }
  }

  private armTimer(): void {
    const next = this.protocol.nextTimer();
    if (next === this.timerAt || next === Infinity) return;
    this.cancelTimer?.();
    this.timerAt = next;
    const delayMs = Math.max(0, next - this.options.clock.now());
    this.cancelTimer = this.options.clock.schedule(delayMs, () => this.post({ type: 'timer' }));
  }

  private registerHandlers(network: PeerNetwork): void {
    network.handle(
      'memberSync',
      validateSyncRequest,
      (nodeId, request) =>
        new Promise((resolve) => {
          const reply = (value: MemberSyncReply): void => {
            resolve(Result.ok(value));
          };
          if (!this.post({ type: 'sync-request', nodeId, request, resolve: reply })) {
            resolve(
              Result.err(
                createFailure(ResultCode.MailboxFull, 'mailbox of the membership task is full'),
              ),
            );
          }
        }),
    );
    network.handle('memberFetch', validateFetchRequest, (_nodeId, { nodeIds }) =>
      Promise.resolve(Result.ok({ updates: this.protocol.listFacts(nodeIds) })),
    );
  }
}

function formatAddress({ family, address, port }: RemoteInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}
