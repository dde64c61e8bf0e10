/** Base of both ends of a link: the socket, framing, limits and the end of the link. */
import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';
import { Result } from 'true-myth';
import type { MutualTls } from '../config/tls-settings.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import { Task } from '../kernel/task.js';
import type { TrafficMeter } from '../kernel/traffic-meter.js';
import { decodeFrame, encodeFrame, type Envelope } from './frame-codec.js';
import { FrameReader } from './frame-reader.js';
import { MAX_HANDSHAKE_FRAME_BYTES } from './handshake.js';
import { isTlsError } from './tls-options.js';

/** Time for the whole handshake, connecting included, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Idle time after which TCP sends keep-alive probes, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 30_000;

/** Limits of a link; see `Settings.limits`. */
export interface LinkLimits {
  readonly maxFrameBytes: number;
  readonly maxInFlight: number;
  readonly maxMailboxLength: number;
  /** Bytes that may wait for the socket; above it nothing more is sent. */
  readonly maxWriteBacklogBytes: number;
}

/** Options that both ends of a link share. */
export interface LinkOptions {
  /** This node. */
  readonly node: string;
  readonly sharedKey: string;
  /** Keys that a peer may prove instead of the shared key; none when absent. */
  readonly previousSharedKeys?: readonly string[];
  /** TLS below the frames; plain TCP when absent. */
  readonly tls?: MutualTls | undefined;
  readonly limits: LinkLimits;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Counts the bytes of all links, when given. */
  readonly traffic?: TrafficMeter;
}

/** Messages from the socket, the handshake timer and the network to a link. */
export type SocketMessage =
  | { readonly type: 'socket-connected' }
  | { readonly type: 'socket-data'; readonly chunk: Buffer }
  | { readonly type: 'socket-closed' }
  | { readonly type: 'tls-failed'; readonly detail: string }
  | { readonly type: 'handshake-timeout' }
  | { readonly type: 'shut'; readonly detail: string };

/** One end of an authenticated connection; owns its socket. */
export abstract class PeerLink<Command extends { readonly type: string }> extends Task<
  SocketMessage | Command
> {
  /** Set when the peer has proved that it has the key. */
  protected peerNode: string | undefined;
  /** Monotonic time of the last frame in either direction. */
  lastActivity: number;
  private readonly reader = new FrameReader(MAX_HANDSHAKE_FRAME_BYTES);
  private readonly cancelHandshakeTimer: CancelTimer;
  private ended = false;

  constructor(
    name: string,
    protected readonly socket: Socket,
    protected readonly options: LinkOptions,
  ) {
    super(name, options.limits.maxMailboxLength);
    this.lastActivity = options.clock.now();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    const connected = socket instanceof TLSSocket ? 'secureConnect' : 'connect';
    socket.on(connected, () => this.post({ type: 'socket-connected' }));
    socket.on('data', (chunk) => this.post({ type: 'socket-data', chunk }));
    socket.on('error', (error) => {
      if (!(socket instanceof TLSSocket) || !isTlsError(error)) return;
      const { code, message } = error as NodeJS.ErrnoException;
      this.post({ type: 'tls-failed', detail: `TLS: ${code ?? message}` });
    });
    socket.on('close', () => this.post({ type: 'socket-closed' }));
    this.cancelHandshakeTimer = options.clock.schedule(HANDSHAKE_TIMEOUT_MS, () => {
      this.post({ type: 'handshake-timeout' });
    });
  }

  /** Whether the peer is authenticated and the link not closed. */
  get isOpen(): boolean {
    return this.peerNode !== undefined && !this.ended;
  }

  /** Whether the link can no longer be used. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Keys that a peer may prove. */
  protected get acceptedKeys(): readonly string[] {
    const { sharedKey, previousSharedKeys = [] } = this.options;
    return [sharedKey, ...previousSharedKeys];
  }

  /** Calls that have not ended. */
  abstract get inFlight(): number;

  protected handle(message: SocketMessage | Command): void {
    switch (message.type) {
      case 'socket-connected':
        this.onConnected();
        break;
      case 'socket-data':
        this.readChunk((message as { chunk: Buffer }).chunk);
        break;
      case 'socket-closed':
        this.end('connection closed');
        break;
      case 'tls-failed':
        if (this.peerNode === undefined) this.rejectPeer((message as { detail: string }).detail);
        break;
      case 'handshake-timeout':
        if (this.peerNode === undefined) this.rejectPeer('handshake took too long');
        break;
      case 'shut':
        this.end((message as { detail: string }).detail);
        break;
      default:
        this.onCommand(message as Command);
    }
  }

  /** The socket is connected; only for the side that connects. */
  protected abstract onConnected(): void;
  /** A frame of the handshake, before the peer is authenticated. */
  protected abstract onHandshakeFrame(envelope: Envelope): void;
  /** A frame of an authenticated peer; false when it breaks the protocol. */
  protected abstract onFrame(envelope: Envelope): boolean;
  /** A message that is specific to this end of the link. */
  protected abstract onCommand(command: Command): void;
  /** The link has ended; called once. */
  protected abstract onEnd(detail: string): void;

  /** Marks the peer as authenticated and raises the limit on frames. */
  protected acceptPeer(node: string): void {
    this.peerNode = node;
    this.reader.maxFrameBytes = this.options.limits.maxFrameBytes;
    this.cancelHandshakeTimer();
    this.options.log.emit(Event.PeerConnected, { peer: node, link: this.name });
  }

  /** Closes the link because the other side could not be authenticated. */
  protected rejectPeer(detail: string): void {
    const code = ResultCode.PeerUnauthenticated;
    this.options.log.emit(Event.PeerRejected, { link: this.name, code, detail });
    this.end(detail);
  }

  /** Closes the link because of a frame that breaks the protocol. */
  protected rejectFrame(failure: Failure): void {
    const { code, detail } = failure;
    this.options.log.emit(Event.FrameRejected, { link: this.name, code, detail });
    this.end(detail);
  }

  /** Encodes and writes one frame; on a failure nothing has been written. */
  protected send(envelope: Envelope): Result<void, Failure> {
    const frame = encodeFrame(envelope, this.options.limits.maxFrameBytes);
    if (frame.isErr) return Result.err(frame.error);
    const backlog = this.socket.writableLength + frame.value.length;
    if (backlog > this.options.limits.maxWriteBacklogBytes) {
      return Result.err(
        createFailure(
          ResultCode.MailboxFull,
          `write backlog of ${backlog} bytes would exceed the limit`,
        ),
      );
    }
    this.socket.write(frame.value);
    this.options.traffic?.count('tcp', 'sent', frame.value.length);
    this.lastActivity = this.options.clock.now();
    return Result.ok(undefined);
  }

  /** Ends the link and destroys its socket; does nothing when the link has ended. */
  protected end(detail: string): void {
    if (this.ended) return;
    this.ended = true;
    this.cancelHandshakeTimer();
    this.socket.destroy();
    if (this.peerNode !== undefined) {
      this.options.log.emit(Event.PeerDisconnected, { peer: this.peerNode, detail });
    }
    this.onEnd(detail);
    this.close();
  }

  private readChunk(chunk: Buffer): void {
    if (this.ended) return;
    this.lastActivity = this.options.clock.now();
    this.options.traffic?.count('tcp', 'received', chunk.length);
    const failure = this.reader.read(chunk, (frame) => this.readFrame(frame));
    if (failure !== undefined && !this.ended) this.rejectFrame(failure);
  }

  private readFrame(frame: Buffer): boolean {
    const decoded = decodeFrame(frame);
    if (decoded.isErr) {
      this.rejectFrame(decoded.error);
    } else if (this.peerNode === undefined) {
      this.onHandshakeFrame(decoded.value);
    } else if (!this.onFrame(decoded.value)) {
      const detail = `unexpected ${decoded.value.t} frame`;
      this.rejectFrame(createFailure(ResultCode.FrameMalformed, detail));
    }
    return !this.ended;
  }
}
