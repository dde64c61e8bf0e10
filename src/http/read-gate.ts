/**
 * Bounds the work for what clients send that one turn of the event loop does. The parser reads a whole
 * block at a time, which holds thousands of short requests or small chunks, and all sockets that
 * are readable are read in the same turn. Without a bound, a crowd that sends at the same moment
 * exhausts the heap within one turn, or keeps the requests of others unread for seconds.
 */
import type { Socket } from 'node:net';
import type { EndOfTurn } from './accept-burst.js';

/** Work in one turn after which no more sockets are read in it; a request sent ahead is 1. */
export const MAX_WORK_PER_TURN = 1_000;

/** Turns after such a turn in which only connections that caused little work are read. */
export const LIGHT_TURNS = 8;

/** A connection whose socket can be paused. */
export interface GatedConnection {
  readonly socket: Socket;
  /** Whether a request was ever accepted on it. */
  readonly hasServed: boolean;
  /** Work that it has caused so far. */
  readWork: number;
}

/** Pauses the sockets of a listener for the rest of a turn, and those with much work for longer. */
export class ReadGate {
  private workInTurn = 0;
  private isScheduled = false;
  private readonly paused = new Set<GatedConnection>();
  private lightTurnsLeft = 0;

  constructor(
    private readonly connections: () => Iterable<GatedConnection>,
    private readonly endOfTurn: EndOfTurn = setImmediate,
  ) {}

  /** Notes work that a connection has caused. */
  note(connection: GatedConnection, work: number): void {
    connection.readWork += work;
    this.schedule();
    const before = this.workInTurn;
    this.workInTurn += work;
    if (before < MAX_WORK_PER_TURN && this.workInTurn >= MAX_WORK_PER_TURN) this.pauseAll();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.endOfTurn(() => {
      this.onEndOfTurn();
    });
  }

  private pauseAll(): void {
    if (this.lightTurnsLeft === 0) this.lightTurnsLeft = LIGHT_TURNS;
    for (const connection of this.connections()) {
      if (connection.socket.isPaused()) continue;
      connection.socket.pause();
      this.paused.add(connection);
    }
  }

  private onEndOfTurn(): void {
    this.isScheduled = false;
    this.workInTurn = 0;
    if (this.paused.size === 0) return;
    if (this.lightTurnsLeft === 0) this.resume(() => true);
    else this.resume(({ readWork }) => readWork < MAX_WORK_PER_TURN);
    this.lightTurnsLeft = Math.max(0, this.lightTurnsLeft - 1);
    if (this.paused.size > 0) this.schedule();
  }

  /** Resumes connections in the order of their ranks, then of their work. Closed ones are let go. */
  private resume(selects: (connection: GatedConnection) => boolean): void {
    const selected = [...this.paused].filter(
      (connection) => connection.socket.destroyed || selects(connection),
    );
    selected.sort((one, other) => rankOf(one) - rankOf(other) || one.readWork - other.readWork);
    for (const connection of selected) {
      this.paused.delete(connection);
      connection.socket.resume();
    }
  }
}

/**
 * Connections that are known to cause little work are read before those of which nothing is known:
 * a crowd of new ones would otherwise take a turn each.
 */
function rankOf({ hasServed, readWork }: GatedConnection): number {
  if (readWork >= MAX_WORK_PER_TURN) return 2;
  return hasServed ? 0 : 1;
}
