/**
 * Bounds the requests sent ahead that are parsed in one turn of the event loop. The parser reads a
 * whole block at a time, which holds thousands of short requests, and closing a connection frees
 * nothing before the turn ends. Without a bound, a crowd that sends at the same moment exhausts the
 * heap within one turn.
 */
import type { Socket } from 'node:net';
import type { EndOfTurn } from './accept-burst.js';

/** Units of requests sent ahead in one turn after which no more sockets are read in it. */
export const MAX_AHEAD_PER_TURN = 1_000;

/** Pauses the sockets of a listener for the rest of a turn. */
export class ReadGate {
  private aheadInTurn = 0;
  private readonly paused: Socket[] = [];

  constructor(
    private readonly sockets: () => Iterable<Socket>,
    private readonly endOfTurn: EndOfTurn = setImmediate,
  ) {}

  /** Notes a request that was sent while another one of its connection was unanswered. */
  noteAhead(units: number): void {
    if (this.aheadInTurn === 0) this.endOfTurn(() => this.onEndOfTurn());
    const before = this.aheadInTurn;
    this.aheadInTurn += units;
    if (before < MAX_AHEAD_PER_TURN && this.aheadInTurn >= MAX_AHEAD_PER_TURN) this.pauseAll();
  }

  private pauseAll(): void {
    for (const socket of this.sockets()) {
      if (socket.isPaused()) continue;
      socket.pause();
      this.paused.push(socket);
    }
  }

  private onEndOfTurn(): void {
    this.aheadInTurn = 0;
    for (const socket of this.paused.splice(0)) socket.resume();
  }
}
