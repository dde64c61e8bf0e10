/**
 * Bounds what the clients of one HTTP listener make the process hold: connections, begun heads,
 * unanswered requests, and answers that are not read. The decisions are in `src/core/holding`; a client that
 * exceeds a bound loses its connection, after the answers to what was accepted where that is
 * possible.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { BegunHeads } from '../core/holding/begun-heads.js';
import { chooseIdleConnection, chooseLargest } from '../core/holding/connection-choice.js';
import {
  RequestAllowance,
  weighRequest,
  type RequestBounds,
} from '../core/holding/request-allowance.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { CallerConnection, type ConnectionSlot } from './caller-connection.js';
import { countBegunEntries, onEachBlock } from './head-progress.js';
import { ReadGate } from './read-gate.js';

/** Interval of the checks for answers that are not read, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
const UNAVAILABLE = 503;
/** Share of the units of unanswered requests that heads may hold which have not arrived whole. */
const BEGUN_HEADS_SHARE = 0.5;
/** Chunks of a body below this size count as work of their own, in bytes. */
const SMALL_CHUNK_BYTES = 1_024;
/** Work for a small chunk; a request sent ahead is 1. */
const SMALL_CHUNK_WORK = 0.2;

/** Bounds on what clients may hold. */
export interface ClientLimits {
  /** Open connections. */
  readonly connections: number;
  /** Unanswered requests. */
  readonly requests: RequestBounds;
  /** Bytes of answers that clients have not read, over all connections; one client may exceed it alone. */
  readonly unreadAnswerBytes: number;
  /** Time within which an answer must be read, in milliseconds. */
  readonly answerReadTimeoutMs: number;
}

/** Name of a bound that was reached. */
export type ClientLimit =
  'connections' | 'heads' | 'requests-ahead' | 'requests' | 'answer-bytes' | 'answer-time';

/** Told whenever a client reaches a bound. */
export interface LimitReporter<Limit extends string> {
  note(limit: Limit): void;
  /** Nothing more will be noted. */
  close(): void;
}

/**
 * Outcome of a request: its slot; `refused`: it is to be refused, since the whole listener holds too
 * much; undefined: it is ignored, since its connection is closing.
 */
export type Acceptance = ConnectionSlot | 'refused' | undefined;

/** An accepted request and its connection. */
export interface AcceptedSlot {
  readonly connection: CallerConnection;
  readonly slot: ConnectionSlot;
}

/** The open connections of one listener. */
export class ConnectionGuard {
  private readonly bySocket = new Map<Socket, CallerConnection>();
  /** Connections with answers that are not read in full. */
  private readonly writing = new Set<CallerConnection>();
  private readonly allowance: RequestAllowance;
  private readonly heads: BegunHeads<CallerConnection>;
  private readonly gate: ReadGate;
  private unreadBytes = 0;
  private cancelCheck: CancelTimer | undefined;

  constructor(
    private readonly limits: ClientLimits,
    private readonly clock: Clock,
    private readonly reports: LimitReporter<ClientLimit>,
  ) {
    this.allowance = new RequestAllowance(limits.requests);
    this.heads = new BegunHeads(limits.requests.total * BEGUN_HEADS_SHARE);
    this.gate = new ReadGate(() => this.bySocket.values());
  }

  /** Open connections, oldest first. */
  get connections(): readonly CallerConnection[] {
    return [...this.bySocket.values()];
  }

  get size(): number {
    return this.bySocket.size;
  }

  /** Requests whose answers are not fully written. */
  get unfinishedCount(): number {
    let count = 0;
    for (const connection of this.bySocket.values()) count += connection.unfinishedCount;
    return count;
  }

  of(socket: object): CallerConnection | undefined {
    return this.bySocket.get(socket as Socket);
  }

  /** Adds a connection, in place of an idle one when there are too many; undefined: it was closed. */
  open(socket: Socket): CallerConnection | undefined {
    if (this.bySocket.size >= this.limits.connections) {
      this.reports.note('connections');
      const idle = chooseIdleConnection(this.bySocket.values());
      if (idle === undefined) {
        socket.destroy();
        return undefined;
      }
      this.bySocket.delete(idle.socket);
      idle.destroy();
    }
    const connection = new CallerConnection(socket, this.clock, {
      onClosed: () => {
        this.bySocket.delete(socket);
        this.heads.delete(connection);
      },
      onSlotEnded: (slot) => {
        this.onSlotEnded(connection, slot);
      },
    });
    this.bySocket.set(socket, connection);
    onEachBlock(socket, () => {
      this.noteHead(connection, countBegunEntries(socket));
    });
    return connection;
  }

  /**
   * Accepts a request, refuses it, or closes its connection because it holds too much. The body of a
   * request that is not accepted is read and dropped.
   */
  accept(
    connection: CallerConnection,
    request: IncomingMessage,
    response: ServerResponse,
  ): Acceptance {
    const acceptance = this.decide(connection, request, response);
    const isAccepted = acceptance !== undefined && acceptance !== 'refused';
    if (!isAccepted && !connection.socket.destroyed) this.readBody(connection, request);
    return acceptance;
  }

  private decide(
    connection: CallerConnection,
    request: IncomingMessage,
    response: ServerResponse,
  ): Acceptance {
    const units = weighRequest(request.rawHeaders.length);
    if (connection.unfinishedCount > 0 || connection.ignoredUnits > 0) {
      this.gate.note(connection, units);
    }
    if (!connection.acceptsRequests) {
      this.ignore(connection, units);
      return undefined;
    }
    const decision = this.allowance.tryTake(units, connection.heldUnits);
    if (decision === 'accepted') return connection.accept(response, units);
    if (connection.unfinishedCount === 0) {
      this.reports.note('requests');
      return 'refused';
    }
    this.reports.note('requests-ahead');
    connection.finish();
    this.ignore(connection, units);
    return undefined;
  }

  /**
   * Accepts a request, or refuses it with an empty 503.
   *
   * @returns undefined: the request is not to be handled
   */
  acceptOrRefuse(request: IncomingMessage, response: ServerResponse): AcceptedSlot | undefined {
    const connection = this.of(request.socket);
    const accepted = connection && this.accept(connection, request, response);
    if (connection === undefined || accepted === undefined) return undefined;
    if (accepted === 'refused') {
      response.writeHead(UNAVAILABLE, { Connection: 'close' }).end();
      return undefined;
    }
    return { connection, slot: accepted };
  }

  /**
   * Begins to read a request's body, whose small chunks count as work. Whoever needs the body must
   * listen to the request in the same turn.
   */
  readBody(connection: CallerConnection, request: IncomingMessage): void {
    request.on('data', (chunk: Buffer) => {
      this.noteChunk(connection, chunk.length);
    });
  }

  /** A chunk of a request's body was read. */
  noteChunk(connection: CallerConnection, bytes: number): void {
    if (bytes < SMALL_CHUNK_BYTES) this.gate.note(connection, SMALL_CHUNK_WORK);
  }

  /** The answer to a request is handed over to be written; without effect if its connection has ended. */
  noteAnswer(connection: CallerConnection, slot: ConnectionSlot, bytes: number): void {
    if (!connection.awaitsAnswer(slot)) return;
    connection.noteAnswer(slot, bytes, this.clock.now());
    this.unreadBytes += bytes;
    this.writing.add(connection);
    this.scheduleCheck();
    while (this.unreadBytes > this.limits.unreadAnswerBytes && this.writing.size > 1) {
      const largest = chooseLargest(this.writing, ({ unreadBytes }) => unreadBytes);
      if (largest === undefined) return;
      this.reports.note('answer-bytes');
      largest.destroy();
    }
  }

  /** Stops the checks and the reports. */
  close(): void {
    this.cancelCheck?.();
    this.reports.close();
  }

  destroyAll(): void {
    for (const connection of this.connections) connection.destroy();
  }

  /**
   * Requests that were read after their connection stopped to accept any stay in memory until it is
   * closed. A client that sends many is not waited for.
   */
  private ignore(connection: CallerConnection, units: number): void {
    connection.ignoredUnits += units;
    if (connection.ignoredUnits > this.limits.requests.perConnection) connection.destroy();
  }

  private noteHead(connection: CallerConnection, entries: number): void {
    const before = this.heads.of(connection);
    if (entries === 0 && before === 0) return;
    const longest = this.heads.note(connection, entries);
    const added = this.heads.of(connection) - before;
    if (added > 0) this.gate.note(connection, added);
    if (longest === undefined) return;
    this.reports.note('heads');
    this.heads.delete(longest);
    longest.destroy();
  }

  private onSlotEnded(connection: CallerConnection, slot: ConnectionSlot): void {
    this.allowance.release(slot.units);
    this.unreadBytes -= slot.unreadBytes;
    if (connection.answerSince === undefined) this.writing.delete(connection);
  }

  private scheduleCheck(): void {
    this.cancelCheck ??= this.clock.schedule(CHECK_INTERVAL_MS, () => {
      this.cancelCheck = undefined;
      this.closeUnread();
      if (this.writing.size > 0) this.scheduleCheck();
    });
  }

  private closeUnread(): void {
    const since = this.clock.now() - this.limits.answerReadTimeoutMs;
    for (const connection of [...this.writing]) {
      if ((connection.answerSince ?? Infinity) > since) continue;
      this.reports.note('answer-time');
      connection.destroy();
    }
  }
}
