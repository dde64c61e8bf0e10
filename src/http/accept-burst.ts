/**
 * Delays requests while new connections wait to be accepted. The event loop accepts one connection
 * per turn. If requests were handled in each turn, the connections of a burst, such as after a
 * restart, would wait for seconds while requests on older connections are served.
 */
import type { Clock } from '../kernel/clock.js';

/** Longest time for which requests are delayed, in milliseconds. */
export const MAX_HOLD_MS = 100;

/** Calls `callback` after the events of the current turn of the event loop. */
export type EndOfTurn = (callback: () => void) => unknown;

/** Tracks bursts of new connections of one listener. */
export class AcceptBurst {
  private acceptedInTurn = false;
  /** Local monotonic time in milliseconds; undefined while there is no burst. */
  private burstStartedAt: number | undefined;
  private held: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly endOfTurn: EndOfTurn = setImmediate,
  ) {}

  /** Records that a connection was accepted; more may wait. */
  noteConnection(): void {
    this.acceptedInTurn = true;
    this.startBurst();
  }

  /** Runs a task now, or after the current burst. */
  run(task: () => void): void {
    if (this.burstStartedAt === undefined) task();
    else this.held.push(task);
  }

  /** Runs a task once the connections that now wait have been accepted. */
  runAfterAccepts(task: () => void): void {
    this.noteConnection();
    this.held.push(task);
  }

  /** Runs all delayed tasks now. */
  release(): void {
    const tasks = this.held;
    this.held = [];
    for (const task of tasks) task();
  }

  private startBurst(): void {
    if (this.burstStartedAt !== undefined) return;
    this.burstStartedAt = this.clock.now();
    this.checkAtEndOfTurn();
  }

  private checkAtEndOfTurn(): void {
    this.endOfTurn(() => {
      this.onEndOfTurn();
    });
  }

  private onEndOfTurn(): void {
    const isOverdue = this.clock.now() - this.burstStartedAt! >= MAX_HOLD_MS;
    if (this.acceptedInTurn && !isOverdue) {
      this.acceptedInTurn = false;
      this.checkAtEndOfTurn();
      return;
    }
    this.acceptedInTurn = false;
    this.burstStartedAt = undefined;
    this.release();
  }
}
