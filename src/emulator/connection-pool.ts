/**
 * Connections of a node to one target, as an HTTP agent keeps them: idle ones are used
 * again, a new one costs time, and beyond the limit a request waits for one.
 */
import type { EventQueue } from './event-queue.js';

/** Calls back once a connection is there. */
export type ConnectionWaiter = () => void;

/** A pool with a bound. */
export class ConnectionPool {
  private open = 0;
  private idle = 0;
  private readonly waiters = new Set<ConnectionWaiter>();

  constructor(
    private readonly queue: EventQueue,
    private readonly limit: number,
    private readonly connectMs: number,
  ) {}

  /** Requests waiting for a connection. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** Calls `waiter` once with a connection. */
  acquire(waiter: ConnectionWaiter): void {
    if (this.idle > 0) {
      this.idle -= 1;
      waiter();
    } else if (this.open < this.limit) {
      this.open += 1;
      this.queue.schedule(this.connectMs, waiter);
    } else {
      this.waiters.add(waiter);
    }
  }

  /** Withdraws a waiter; tells whether it was still waiting. */
  withdraw(waiter: ConnectionWaiter): boolean {
    return this.waiters.delete(waiter);
  }

  /** Gives a connection back; `reusable` is false when it was closed. */
  release(reusable: boolean): void {
    if (reusable) this.idle += 1;
    else this.open -= 1;
    const next = this.takeWaiter();
    if (next !== undefined) this.acquire(next);
  }

  private takeWaiter(): ConnectionWaiter | undefined {
    for (const waiter of this.waiters) {
      this.waiters.delete(waiter);
      return waiter;
    }
    return undefined;
  }
}
