/**
 * Model of the HTTP connections of a node to one target. Idle connections are reused, opening a
 * new one takes time, and at the limit requests wait for a free one.
 */
import type { EventQueue } from './event-queue.js';

/** Called once when a connection is available. */
export type ConnectionWaiter = () => void;

/** A bounded pool of connections. */
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

  /** Calls `waiter` once when a connection is available. */
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

  /** Withdraws a waiter; returns whether it was still waiting. */
  withdraw(waiter: ConnectionWaiter): boolean {
    return this.waiters.delete(waiter);
  }

  /** Returns a connection to the pool; `reusable` is false when it was closed. */
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
