/**
 * One connection of a caller. It closes in phases, so that no request is accepted that cannot be
 * answered, and no answer is lost:
 *
 * 1. open: requests are accepted;
 * 2. answering: no further requests are accepted; accepted requests are answered;
 * 3. closing: this side has ended the connection; bytes that the caller still sends are read and
 *    dropped. Closing with unread bytes would reset the connection, and the caller could lose the
 *    last answer.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { GatedConnection } from './read-gate.js';

/** Longest wait for the caller to end a connection that this side has ended, in milliseconds. */
export const CALLER_END_TIMEOUT_MS = 2_000;

/** Which side ended a connection. */
export type ConnectionSide = 'caller' | 'node';

/** Callbacks of a connection to a request that it accepted. */
export interface AcceptedRequest {
  /**
   * The connection ended before the whole answer was written.
   *
   * @param answered whether an answer was being written
   */
  onConnectionEnd(endedBy: ConnectionSide, answered: boolean): void;
  /** Requires that the request is answered now, without waiting any longer. */
  giveUp(): void;
}

/** State of one accepted request on its connection. */
export interface ConnectionSlot {
  request: AcceptedRequest | undefined;
  answered: boolean;
  /** Units that it takes of the allowance of requests. */
  readonly units: number;
  /** Bytes of its answer that are not known to be read. */
  unreadBytes: number;
}

/** Callbacks of a connection to its listener. */
export interface ConnectionListener {
  onClosed(): void;
  /** Called once for each accepted request, when its answer was written or the connection ended. */
  onSlotEnded(slot: ConnectionSlot): void;
}

type Phase = 'open' | 'answering' | 'closing';

/** Tracks the phase and the unanswered requests of one connection. */
export class CallerConnection implements GatedConnection {
  private phase: Phase = 'open';
  private endedBy: ConnectionSide = 'caller';
  private readonly slots = new Set<ConnectionSlot>();
  private newest: ConnectionSlot | undefined;
  private units = 0;
  private unread = 0;
  private unreadAnswers = 0;
  private unreadSince: number | undefined;
  /** See {@link GatedConnection}. */
  readWork = 0;
  /** Units of the requests that were read after the last one that was accepted. */
  ignoredUnits = 0;
  /** Whether such a request was reported; a client may send thousands. */
  hasReportedIgnored = false;
  private cancelTimeout: CancelTimer = () => {};

  constructor(
    readonly socket: Socket,
    private readonly clock: Clock,
    private readonly listener: ConnectionListener,
  ) {
    // node:http calls this method after an answer with `Connection: close`. The original destroys the
    // socket, which resets the connection when bytes of a next request are unread.
    socket.destroySoon = () => {
      this.end();
    };
    socket.on('close', () => {
      this.cancelTimeout();
      listener.onClosed();
      this.notifyConnectionEnd();
    });
  }

  /** Whether a request that arrives now is accepted. */
  get acceptsRequests(): boolean {
    return this.phase === 'open';
  }

  /** Accepted requests whose answers are not fully written. */
  get unfinishedCount(): number {
    return this.slots.size;
  }

  /** Units of the requests whose answers are not fully written. */
  get heldUnits(): number {
    return this.units;
  }

  /** Whether a request was ever accepted. */
  get hasServed(): boolean {
    return this.newest !== undefined;
  }

  /** Bytes of answers that the caller is not known to have read. */
  get unreadBytes(): number {
    return this.unread;
  }

  /** Since when the answer that is being written is, in milliseconds; undefined: none is. */
  get answerSince(): number | undefined {
    return this.unreadSince;
  }

  /** Whether no request was accepted after this one. */
  isNewest(slot: ConnectionSlot): boolean {
    return this.newest === slot;
  }

  /** Whether an accepted request can still be answered. */
  awaitsAnswer(slot: ConnectionSlot): boolean {
    return this.slots.has(slot);
  }

  /** Accepts a request. It is finished when its answer has been passed to the operating system. */
  accept(response: ServerResponse, units = 1): ConnectionSlot {
    const slot: ConnectionSlot = { request: undefined, answered: false, units, unreadBytes: 0 };
    this.slots.add(slot);
    this.newest = slot;
    this.units += units;
    response.once('finish', () => {
      if (!this.slots.delete(slot)) return;
      this.release(slot);
      this.endWhenFinished();
    });
    return slot;
  }

  /** The answer of this many bytes is handed over to be written. */
  noteAnswer(slot: ConnectionSlot, bytes: number, now: number): void {
    slot.answered = true;
    slot.unreadBytes = bytes;
    this.unread += bytes;
    this.unreadAnswers += 1;
    this.unreadSince ??= now;
  }

  /** Accepts no further requests; ends when all accepted requests are answered. */
  finish(): void {
    if (this.phase === 'open') this.phase = 'answering';
    this.endWhenFinished();
  }

  /** Requires that all unanswered requests are answered now. */
  giveUp(): void {
    for (const { request, answered } of [...this.slots]) if (!answered) request?.giveUp();
  }

  /** Ends at once, and cuts off the requests in progress. */
  destroy(): void {
    this.phase = 'closing';
    this.endedBy = 'node';
    this.notifyConnectionEnd();
    this.socket.destroy();
  }

  private endWhenFinished(): void {
    if (this.phase === 'answering' && this.slots.size === 0) this.end();
  }

  private end(): void {
    if (this.phase === 'closing') return;
    this.phase = 'closing';
    this.endedBy = 'node';
    this.socket.end();
    this.cancelTimeout = this.clock.schedule(CALLER_END_TIMEOUT_MS, () => {
      this.socket.destroy();
    });
  }

  /** Notifies all unfinished requests that the connection has ended. */
  private notifyConnectionEnd(): void {
    const left = [...this.slots];
    this.slots.clear();
    for (const slot of left) {
      this.release(slot);
      slot.request?.onConnectionEnd(this.endedBy, slot.answered);
    }
  }

  private release(slot: ConnectionSlot): void {
    this.units -= slot.units;
    this.unread -= slot.unreadBytes;
    if (slot.answered) this.unreadAnswers -= 1;
    // The time of the next answer begins when the one before it is written.
    this.unreadSince = this.unreadAnswers > 0 ? this.clock.now() : undefined;
    this.listener.onSlotEnded(slot);
  }
}
