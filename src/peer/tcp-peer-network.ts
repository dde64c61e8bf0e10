/** Calls between nodes over TCP; see docs/PEER-PROTOCOL.md. */
import { createServer, type Server, type Socket } from 'node:net';
import { Result } from 'true-myth';
import { splitAddress } from '../core/host-and-port.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { Random } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import type { CancelTimer } from '../kernel/clock.js';
import { Event } from '../kernel/event.js';
import { listenOn } from '../kernel/port-binder.js';
import { reserveCodecBuffer } from './frame-codec.js';
import { HandlerRegistry } from './handler-registry.js';
import { IncomingLink } from './incoming-link.js';
import { callLocally } from './local-call.js';
import type { PeerCallName, PeerCalls } from './messages.js';
import { OutgoingLink } from './outgoing-link.js';
import type { LinkOptions } from './peer-link.js';
import type {
  BodyValidator,
  PeerCallHandler,
  PeerCallOptions,
  PeerNetwork,
} from './peer-network.js';
import { TlsAcceptor } from './tls-acceptor.js';

/** Idle time after which the calling side closes a link, in milliseconds. */
export const IDLE_CLOSE_MS = 60_000;
/** The serving side waits longer, so that it never closes a link that is about to be used. */
const SERVER_IDLE_CLOSE_MS = 3 * IDLE_CLOSE_MS;
const SWEEP_INTERVAL_MS = 15_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/** Longest wait for calls in progress at a planned stop, in milliseconds. */
const RETIRE_TIMEOUT_MS = 2_000;

/** Options of a network. */
export interface TcpPeerNetworkOptions extends LinkOptions {
  /** `host:port` to listen on; port 0 takes a free one. */
  readonly address: string;
  /** Connections that may be in their handshake at once; more are closed unread. */
  readonly maxUnauthenticated: number;
  /** For the jitter of reconnects. */
  readonly random: Random;
}

/** State of one peer. */
interface PeerEntry {
  address: string;
  link: OutgoingLink | undefined;
  /** Connection attempts that failed in a row. */
  failures: number;
  /** Monotonic time before which no new connection is opened. */
  notBefore: number;
}

/** {@link PeerNetwork} over TCP: one outgoing connection per peer, opened on demand. */
export class TcpPeerNetwork implements PeerNetwork {
  private readonly peers = new Map<string, PeerEntry>();
  private readonly incoming = new Set<IncomingLink>();
  private readonly handlers = new HandlerRegistry();
  private readonly server: Server;
  private readonly tlsAcceptor: TlsAcceptor | undefined;
  private cancelSweep: CancelTimer | undefined;
  private closed = false;
  /** Called when the last incoming link has ended. */
  private onRetired: (() => void) | undefined;

  constructor(private readonly options: TcpPeerNetworkOptions) {
    reserveCodecBuffer(options.limits.maxFrameBytes);
    this.server = createServer((socket) => {
      this.accept(socket);
    });
    this.tlsAcceptor = this.createTlsAcceptor();
  }

  /** Opens the listening socket; rejects when the address cannot be bound. */
  async listen(): Promise<void> {
    const { host, port } = splitAddress(this.options.address);
    await listenOn(this.server, host, port);
    this.server.on('error', (error) => {
      this.options.log.emit(Event.InternalError, { error: String(error) });
    });
    this.scheduleSweep();
  }

  /** The address listened on, with the actual port. */
  get localAddress(): string {
    const bound = this.server.address();
    if (bound === null || typeof bound === 'string') return this.options.address;
    return bound.family === 'IPv6'
      ? `[${bound.address}]:${bound.port}`
      : `${bound.address}:${bound.port}`;
  }

  /** Links that are open or being opened, both directions; for status and tests. */
  get linkCount(): number {
    const outgoing = [...this.peers.values()].filter(({ link }) => link !== undefined);
    return outgoing.length + this.incoming.size;
  }

  /**
   * Planned stop: accepts no more connections or calls, completes the calls in progress and
   * waits until the peers have closed their links, within a time limit. Peers are notified which
   * of their calls were not handled, so that none ends with an unknown outcome.
   */
  async retire(): Promise<void> {
    this.closed = true;
    this.server.close();
    const links = [...this.incoming];
    for (const link of links) link.post({ type: 'retire' });
    if (this.incoming.size === 0) return;
    await new Promise<void>((resolve) => {
      const cancelTimeout = this.options.clock.schedule(RETIRE_TIMEOUT_MS, () => {
        resolve();
      });
      this.onRetired = () => {
        cancelTimeout();
        resolve();
      };
    });
  }

  /** Closes all links and the listening socket; calls in flight end with `PeerLost`. */
  async close(): Promise<void> {
    this.closed = true;
    this.cancelSweep?.();
    for (const entry of this.peers.values()) {
      entry.link?.post({ type: 'shut', detail: 'node stops' });
    }
    this.tlsAcceptor?.close();
    for (const link of [...this.incoming]) link.post({ type: 'shut', detail: 'node stops' });
    if (!this.server.listening) return;
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  call<K extends PeerCallName>(
    node: string,
    name: K,
    request: PeerCalls[K]['request'],
    { timeoutMs, signal }: PeerCallOptions,
  ): Promise<Result<PeerCalls[K]['reply'], Failure>> {
    type Reply = Result<PeerCalls[K]['reply'], Failure>;
    if (signal?.aborted === true) {
      const failure = createFailure(ResultCode.Cancelled, 'cancelled', { execution: 'not-run' });
      return Promise.resolve(Result.err(failure));
    }
    if (node === this.options.node) {
      const call = { node, name, request, timeoutMs, signal };
      return callLocally(this.handlers, this.options.clock, call) as Promise<Reply>;
    }
    const link = this.openLink(node);
    if (link.isErr) return Promise.resolve(Result.err(link.error));
    return new Promise<Reply>((resolve) => {
      const call = {
        name,
        body: request,
        timeoutMs,
        signal,
        resolve: resolve as (result: Result<unknown, Failure>) => void,
      };
      if (!link.value.post({ type: 'call', call })) {
        resolve(
          Result.err(
            createFailure(ResultCode.MailboxFull, `mailbox of the link to ${node} is full`),
          ),
        );
      }
    });
  }

  handle<K extends PeerCallName>(
    name: K,
    validate: BodyValidator<PeerCalls[K]['request']>,
    handler: PeerCallHandler<K>,
  ): void {
    this.handlers.register(name, validate as BodyValidator<never>, handler);
  }

  setAddress(node: string, address: string | undefined): void {
    const entry = this.peers.get(node);
    if (entry?.address === address) return;
    if (entry !== undefined) {
      this.peers.delete(node);
      entry.link?.post({ type: 'shut', detail: 'address changed' });
    }
    if (address !== undefined) {
      this.peers.set(node, { address, link: undefined, failures: 0, notBefore: 0 });
    }
  }

  private openLink(node: string): Result<OutgoingLink, Failure> {
    const entry = this.peers.get(node);
    if (entry === undefined || this.closed) return unreachable(`${node} has no known address`);
    if (entry.link !== undefined) return Result.ok(entry.link);
    const waitMs = entry.notBefore - this.options.clock.now();
    if (waitMs > 0) return unreachable(`${node}: backoff after failed connections`, waitMs);
    entry.link = new OutgoingLink({
      ...this.options,
      peer: node,
      address: entry.address,
      onRetire: (link) => {
        if (entry.link === link) entry.link = undefined;
      },
      onEnd: (link, wasOpen) => {
        this.onOutgoingEnd(entry, link, wasOpen);
      },
    });
    return Result.ok(entry.link);
  }

  private onOutgoingEnd(entry: PeerEntry, link: OutgoingLink, wasOpen: boolean): void {
    if (entry.link !== link) return;
    entry.link = undefined;
    entry.failures = wasOpen ? 0 : entry.failures + 1;
    if (wasOpen) return;
    const backoff = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (entry.failures - 1));
    const jitter = 0.5 + this.options.random.next();
    entry.notBefore = this.options.clock.now() + backoff * jitter;
  }

  private accept(socket: Socket): void {
    const unauthenticated = [...this.incoming].filter((link) => !link.isOpen).length;
    const pending = this.tlsAcceptor?.pending ?? 0;
    if (this.closed || unauthenticated + pending >= this.options.maxUnauthenticated) {
      socket.destroy();
      return;
    }
    if (this.tlsAcceptor === undefined) this.openIncoming(socket);
    else this.tlsAcceptor.accept(socket);
  }

  private createTlsAcceptor(): TlsAcceptor | undefined {
    const { tls, log } = this.options;
    if (tls === undefined) return undefined;
    return new TlsAcceptor({
      tls,
      onAccepted: (socket) => {
        if (this.closed) socket.destroy();
        else this.openIncoming(socket);
      },
      onRejected: (from, detail) => {
        const code = ResultCode.PeerUnauthenticated;
        log.emit(Event.PeerRejected, { link: `from ${from}`, code, detail: `TLS: ${detail}` });
      },
    });
  }

  private openIncoming(socket: Socket): void {
    const link = new IncomingLink(socket, {
      ...this.options,
      handlers: this.handlers,
      onEnd: (ended) => {
        this.incoming.delete(ended);
        if (this.incoming.size === 0) this.onRetired?.();
      },
    });
    this.incoming.add(link);
  }

  private scheduleSweep(): void {
    this.cancelSweep = this.options.clock.schedule(SWEEP_INTERVAL_MS, () => {
      this.closeIdleLinks();
      this.scheduleSweep();
    });
  }

  private closeIdleLinks(): void {
    const now = this.options.clock.now();
    const idle = { type: 'shut', detail: 'idle' } as const;
    for (const { link } of this.peers.values()) {
      if (link?.inFlight === 0 && now - link.lastActivity >= IDLE_CLOSE_MS) link.post(idle);
    }
    for (const link of [...this.incoming]) {
      if (link.inFlight === 0 && now - link.lastActivity >= SERVER_IDLE_CLOSE_MS) link.post(idle);
    }
  }
}

function unreachable(detail: string, retryAfterMs?: number): Result<never, Failure> {
  const options = retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) };
  return Result.err(createFailure(ResultCode.PeerUnreachable, detail, options));
}
