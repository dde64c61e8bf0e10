/** First in, first out; the queue of the baselines. */
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/** A queue in order of arrival that ignores criticality; the newest request is refused first. */
export class FifoQueue implements WaitingQueue {
  private readonly waiting = new Map<number, WaitingRequest>();

  get length(): number {
    return this.waiting.size;
  }

  add(waiting: WaitingRequest): void {
    this.waiting.set(waiting.ticket, waiting);
  }

  takeNext(): WaitingRequest | undefined {
    for (const next of this.waiting.values()) return this.remove(next.ticket);
    return undefined;
  }

  takeLowest(): WaitingRequest | undefined {
    const last = [...this.waiting.keys()].at(-1);
    return last === undefined ? undefined : this.remove(last);
  }

  remove(ticket: number): WaitingRequest | undefined {
    const found = this.waiting.get(ticket);
    this.waiting.delete(ticket);
    return found;
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    const expired = [...this.waiting.values()].filter(({ giveUpAt }) => giveUpAt <= now);
    for (const { ticket } of expired) this.waiting.delete(ticket);
    return expired;
  }

  earliestGiveUp(): number | undefined {
    let earliest: number | undefined;
    for (const { giveUpAt } of this.waiting.values()) {
      earliest = Math.min(earliest ?? Infinity, giveUpAt);
    }
    return earliest;
  }

  countAhead(): number {
    return this.waiting.size;
  }
}
