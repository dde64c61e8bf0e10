/** Slots of a back end with a FIFO queue. */

/** A request that waits for a slot; `start` is called at most once. */
export interface SlotWaiter {
  readonly start: () => void;
}

/** A fixed number of slots; a request holds one while it is served. */
export class SlotPool {
  private used = 0;
  private readonly waiting: SlotWaiter[] = [];

  constructor(
    readonly slots: number,
    private readonly maxQueue: number,
  ) {}

  get inUse(): number {
    return this.used;
  }

  get queued(): number {
    return this.waiting.length;
  }

  /** Takes a slot now or queues; returns false if the queue is full. */
  acquire(waiter: SlotWaiter): boolean {
    if (this.used < this.slots) {
      this.used += 1;
      waiter.start();
      return true;
    }
    if (this.waiting.length >= this.maxQueue) return false;
    this.waiting.push(waiter);
    return true;
  }

  /** Frees a slot and starts the request that has waited longest. */
  release(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.used -= 1;
      return;
    }
    next.start();
  }

  /** Removes a request from the queue; returns whether it was queued. */
  withdraw(waiter: SlotWaiter): boolean {
    const index = this.waiting.indexOf(waiter);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }
}
