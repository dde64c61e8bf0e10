/** One TCP connection between two nodes: framing, batched writes and the end of the connection. */
import type { Socket } from 'node:net';
import { FrameReader } from '../../peer/frame-reader.js';
import { decodeMessage, encodeMessage, MAX_FRAME_BYTES } from './link-codec.js';
import type { LinkMessage } from './link-messages.js';

/** Bytes that may wait for the socket; above it calls are refused, since the other end is stuck. */
const MAX_BACKLOG_BYTES = 8 * 1024 * 1024;

/** What a connection tells its owner. */
export interface LinkSocketListener {
  onMessage(message: LinkMessage): void;
  /** Called once, for whatever reason the connection ends. */
  onClosed(detail: string): void;
}

/** See the module comment. */
export class LinkSocket {
  private readonly reader = new FrameReader(MAX_FRAME_BYTES);
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
    socket.on('error', (error) => {
      this.close(error.message);
    });
    socket.on('close', () => {
      this.close('connection closed');
    });
  }

  /** Whether the other end takes what is sent; otherwise nothing more should be. */
  get hasRoom(): boolean {
    return !this.ended && this.socket.writableLength < MAX_BACKLOG_BYTES;
  }

  /** Writes a message together with all others of this turn of the event loop. */
  send(message: LinkMessage): void {
    if (this.ended) return;
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      setImmediate(() => {
        this.corked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(encodeMessage(message));
  }

  /** Closes the connection after what has been written. */
  end(detail: string): void {
    if (this.ended) return;
    this.socket.end();
    this.close(detail, false);
  }

  /** Closes the connection at once; harmless when repeated. */
  close(detail: string, destroy = true): void {
    if (destroy) this.socket.destroy();
    if (this.ended) return;
    this.ended = true;
    this.listener.onClosed(detail);
  }

  private read(chunk: Buffer): void {
    const failure = this.reader.read(chunk, (frame) => this.readFrame(frame));
    if (failure !== undefined) this.close(failure.detail);
  }

  private readFrame(frame: Buffer): boolean {
    if (this.ended) return false;
    const message = decodeMessage(frame);
    if (message === undefined) this.close('malformed message');
    else this.listener.onMessage(message);
    return !this.ended;
  }
}
