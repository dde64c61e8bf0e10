/**
 * Holds requests back while new connections wait to be accepted. The event loop accepts one
 * connection per turn: with requests to handle in each turn, a burst of connections, as after a
 * restart, would wait for seconds while requests on older connections are served.
 */
import type { Clock } from '../kernel/clock.js';

/** Longest time for which requests are held back, in milliseconds. */
export const MAX_HOLD_MS = 100;

/** Calls back after the events of the current turn of the event loop. */
export type EndOfTurn = (callback: () => void) => unknown;

/** New connections of one listener; see the module comment. */
export class AcceptBurst {
  private acceptedInTurn = false;
  /** Start of the burst; undefined while no burst is under way. */
  private since: number | undefined;
  private held: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly endOfTurn: EndOfTurn = setImmediate,
  ) {}

  /** A connection was accepted; more may wait. */
  noteConnection(): void {
    this.acceptedInTurn = true;
    this.begin();
  }

  /** Runs a task now, or after the burst that is under way. */
  run(task: () => void): void {
    if (this.since === undefined) task();
    else this.held.push(task);
  }

  /** Runs a task once the connections that wait now have been accepted. */
  afterWaiting(task: () => void): void {
    this.noteConnection();
    this.held.push(task);
  }

  /** Runs now what is held back. */
  release(): void {
    const tasks = this.held;
    this.held = [];
    for (const task of tasks) task();
  }

  private begin(): void {
    if (this.since !== undefined) return;
    this.since = this.clock.now();
    this.checkAtEndOfTurn();
  }

  private checkAtEndOfTurn(): void {
    this.endOfTurn(() => {
      this.onEndOfTurn();
    });
  }

  private onEndOfTurn(): void {
    const isOverdue = this.clock.now() - this.since! >= MAX_HOLD_MS;
    if (this.acceptedInTurn && !isOverdue) {
      this.acceptedInTurn = false;
      this.checkAtEndOfTurn();
      return;
    }
    this.acceptedInTurn = false;
    this.since = undefined;
    this.release();
  }
}
