/**
 * Orders by criticality; within a class first in, first out while the queue is short and last
 * in, first out while it is long (adaptive LIFO, Facebook 2015). For comparison with
 * {@link CriticalityQueue}.
 */
import { CRITICALITIES, rankOf } from '../request.js';
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/** Queue with the newest request of a class first when more than `lifoAbove` wait. */
export class AdaptiveLifoQueue implements WaitingQueue {
  private readonly classes: WaitingRequest[][] = CRITICALITIES.map(() => []);

  constructor(private readonly lifoAbove: number) {}

  get length(): number {
    return this.classes.reduce((sum, waiting) => sum + waiting.length, 0);
  }

  add(waiting: WaitingRequest): void {
    this.classes[rankOf(waiting.request.criticality)]!.push(waiting);
  }

  takeNext(): WaitingRequest | undefined {
    const next = this.classes.find(({ length }) => length > 0);
    return this.length > this.lifoAbove ? next?.pop() : next?.shift();
  }

  takeLowest(): WaitingRequest | undefined {
    const lowestClass = this.classes.findLast(({ length }) => length > 0);
    if (lowestClass === undefined) return undefined;
    const priorities = lowestClass.map(({ priority }) => priority);
    const index = priorities.lastIndexOf(Math.min(...priorities));
    return lowestClass.splice(index, 1)[0];
  }

  remove(ticket: number): WaitingRequest | undefined {
    for (const waiting of this.classes) {
      const index = waiting.findIndex((candidate) => candidate.ticket === ticket);
      if (index >= 0) return waiting.splice(index, 1)[0];
    }
    return undefined;
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    const expired = this.classes.flat().filter(({ giveUpAt }) => giveUpAt <= now);
    for (const { ticket } of expired) this.remove(ticket);
    return expired;
  }

  earliestGiveUp(): number | undefined {
    const times = this.classes.flat().map(({ giveUpAt }) => giveUpAt);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  countAhead({ request }: WaitingRequest): number {
    const rank = rankOf(request.criticality);
    const last = this.length > this.lifoAbove ? rank : rank + 1;
    return this.classes.slice(0, last).reduce((sum, { length }) => sum + length, 0);
  }
}
