/**
 * One connection of a caller. Its end is a sequence of states, so that no request is taken whose
 * answer cannot be given and no answer is thrown away:
 *
 * 1. open: requests are taken;
 * 2. answering: no further request is taken, those that were are answered;
 * 3. closing: this side has ended, what the caller still sends is read and dropped. Closing with
 *    unread bytes would reset the connection, and the caller could lose the last answer.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CancelTimer, Clock } from '../kernel/clock.js';

/** Wait for a caller's own end of a connection that this side has ended, in milliseconds. */
export const CALLER_END_TIMEOUT_MS = 2_000;

/** Which side ended a connection. */
export type ConnectionSide = 'caller' | 'node';

/** What a request can be told by its connection. */
export interface TakenRequest {
  /**
   * The connection ended first.
   *
   * @param answered whether an answer was being written
   */
  onConnectionEnd(endedBy: ConnectionSide, answered: boolean): void;
  /** The request must be answered now: nothing more can be waited for. */
  giveUp(): void;
}

/** A request that was taken, on its connection. */
export interface ConnectionSlot {
  request: TakenRequest | undefined;
  answered: boolean;
}

type Phase = 'open' | 'answering' | 'closing';

/** See the module comment. */
export class CallerConnection {
  private phase: Phase = 'open';
  private endedBy: ConnectionSide = 'caller';
  private readonly slots = new Set<ConnectionSlot>();
  private cancelTimeout: CancelTimer = () => {};

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    onClosed: () => void,
  ) {
    // node:http ends a connection by this method after an answer with `Connection: close`; its own
    // form destroys the socket, which resets it when bytes of a next request are unread.
    socket.destroySoon = () => {
      this.end();
    };
    socket.on('close', () => {
      this.cancelTimeout();
      onClosed();
      this.cutOff();
    });
  }

  /** Whether a request that arrives now is taken. */
  get takesRequests(): boolean {
    return this.phase === 'open';
  }

  /** Requests that were taken and whose answers are not wholly written. */
  get unfinishedCount(): number {
    return this.slots.size;
  }

  /** Whether no request was taken after this one. */
  isNewest(slot: ConnectionSlot): boolean {
    return [...this.slots].at(-1) === slot;
  }

  /** Whether the answer to a request that was taken can still be given. */
  awaitsAnswer(slot: ConnectionSlot): boolean {
    return this.slots.has(slot);
  }

  /** Takes a request; it is finished when its answer has been handed to the system. */
  take(response: ServerResponse): ConnectionSlot {
    const slot: ConnectionSlot = { request: undefined, answered: false };
    this.slots.add(slot);
    response.once('finish', () => {
      this.slots.delete(slot);
      this.endWhenFinished();
    });
    return slot;
  }

  /** Takes no further request; ends when all that were taken are answered. */
  finish(): void {
    if (this.phase === 'open') this.phase = 'answering';
    this.endWhenFinished();
  }

  /** Has all unanswered requests answered now. */
  giveUp(): void {
    for (const { request, answered } of [...this.slots]) if (!answered) request?.giveUp();
  }

  /** Ends at once, with what is under way. */
  destroy(): void {
    this.phase = 'closing';
    this.endedBy = 'node';
    this.cutOff();
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

  /** Tells all requests that are left that the connection is gone. */
  private cutOff(): void {
    const left = [...this.slots];
    this.slots.clear();
    for (const { request, answered } of left) request?.onConnectionEnd(this.endedBy, answered);
  }
}
