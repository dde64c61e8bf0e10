/** One TCP connection between two nodes: framing, batched writes and close. */
import type { Socket } from 'node:net';
import { FrameReader } from '../../peer/frame-reader.js';
import { decodeMessage, encodeMessage, MAX_FRAME_BYTES } from './link-codec.js';
import type { LinkMessage } from './link-messages.js';

/** Largest write backlog; above it calls are refused, since the other end does not read. */
const MAX_BACKLOG_BYTES = 8 * 1024 * 1024;
/** Largest first message: it only introduces the other end. */
const MAX_FIRST_FRAME_BYTES = 64 * 1024;
/** Memory that a message takes in the write backlog beside its bytes. */
const MESSAGE_OVERHEAD_BYTES = 512;
/** Replies that may wait for the other end to read, in bytes with their overhead. */
const MAX_UNREAD_REPLY_BYTES = 1024 * 1024;
/** Held bytes from which the listener is told of more, so that it may bound those of all connections. */
const NOTABLE_BYTES = 256 * 1024;

/** Callbacks of a connection. */
export interface LinkSocketListener {
  /** @param bytes size of the message */
  onMessage(message: LinkMessage, bytes: number): void;
  /** Called once when the connection closes, whatever the reason. */
  onClosed(detail: string): void;
  /** Called when the connection holds much, after it has come to hold more. */
  onHeldBytes?(): void;
}

/** Sends and receives messages over one socket. */
export class LinkSocket {
  private readonly reader = new FrameReader(MAX_FIRST_FRAME_BYTES);
  /** Messages written since the backlog was last empty. */
  private unsentMessages = 0;
  /** Bytes of replies, with their overhead, written since then. */
  private unsentReplyBytes = 0;
  private corked = false;
  private ended = false;

  constructor(
    private readonly socket: Socket,
    private readonly listener: LinkSocketListener,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.read(chunk);
    });
    socket.on('drain', () => {
      this.noteBacklogEmpty();
    });
    socket.on('error', (error) => {
      this.close(error.message);
    });
    socket.on('close', () => {
      this.close('connection closed');
    });
  }

  /** Whether more messages may be sent: the connection is open and its write backlog is below the maximum. */
  get hasRoom(): boolean {
    return !this.ended && this.socket.writableLength < MAX_BACKLOG_BYTES;
  }

  /** Memory that the unfinished frame and the write backlog take, in bytes. */
  get heldBytes(): number {
    return this.reader.heldBytes + this.backlogBytes;
  }

  private get backlogBytes(): number {
    const { writableLength } = this.socket;
    return writableLength === 0 ? 0 : writableLength + this.unsentMessages * MESSAGE_OVERHEAD_BYTES;
  }

  /** Writes a message, batched with all others of the same event loop iteration. */
  send(message: LinkMessage): void {
    if (!this.ended) this.write(encodeMessage(message));
  }

  /**
   * Writes what the other end asked for, and may ask for without end.
   *
   * @returns false when it has not read many earlier replies; nothing is written then. Answers to
   *   calls, which may be large, do not count.
   */
  sendReply(message: LinkMessage): boolean {
    if (this.ended) return true;
    const bytes = encodeMessage(message);
    if (this.socket.writableLength === 0) this.noteBacklogEmpty();
    this.unsentReplyBytes += bytes.length + MESSAGE_OVERHEAD_BYTES;
    if (this.unsentReplyBytes > MAX_UNREAD_REPLY_BYTES) return false;
    this.write(bytes);
    return true;
  }

  /** Closes the connection after all pending data is written. */
  end(detail: string): void {
    if (this.ended) return;
    this.socket.end();
    this.close(detail, false);
  }

  /** Closes the connection at once; repeated calls have no effect. */
  close(detail: string, destroy = true): void {
    if (destroy) this.socket.destroy();
    if (this.ended) return;
    this.ended = true;
    this.listener.onClosed(detail);
  }

  private read(chunk: Buffer): void {
    const failure = this.reader.read(chunk, (frame) => this.readFrame(frame));
    if (failure !== undefined) this.close(failure.detail);
    else this.noteHeldBytes();
  }

  private write(bytes: Uint8Array): void {
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      setImmediate(() => {
        this.corked = false;
        this.socket.uncork();
      });
    }
    if (this.socket.writableLength === 0) this.noteBacklogEmpty();
    this.unsentMessages += 1;
    this.socket.write(bytes);
    this.noteHeldBytes();
  }

  private noteBacklogEmpty(): void {
    this.unsentMessages = 0;
    this.unsentReplyBytes = 0;
  }

  private noteHeldBytes(): void {
    if (this.listener.onHeldBytes === undefined || this.ended) return;
    if (this.heldBytes >= NOTABLE_BYTES) this.listener.onHeldBytes();
  }

  private readFrame(frame: Buffer): boolean {
    if (this.ended) return false;
    const message = decodeMessage(frame);
    this.reader.maxFrameBytes = MAX_FRAME_BYTES;
    if (message === undefined) this.close('malformed message');
    else this.listener.onMessage(message, frame.length);
    return !this.ended;
  }
}
