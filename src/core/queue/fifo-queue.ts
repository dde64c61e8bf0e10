/** First in, first out. A baseline. */
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/** A queue in order of arrival, blind to criticality. */
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

  remove(ticket: number): WaitingRequest | undefined {
    const found = this.waiting.get(ticket);
    this.waiting.delete(ticket);
    return found;
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    const expired = [...this.waiting.values()].filter(({ request }) => request.deadline <= now);
    for (const { ticket } of expired) this.waiting.delete(ticket);
    return expired;
  }

  earliestDeadline(): number | undefined {
    let earliest: number | undefined;
    for (const { request } of this.waiting.values()) {
      earliest = Math.min(earliest ?? Infinity, request.deadline);
    }
    return earliest;
  }
}
