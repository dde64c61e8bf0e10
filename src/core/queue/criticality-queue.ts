/** Criticality first; within a class the earliest deadline first (EDF). */
import { rankOf } from '../request.js';
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/** Whether `a` is dispatched before `b`. */
export function precedes(a: WaitingRequest, b: WaitingRequest): boolean {
  const rankDifference = rankOf(a.request.criticality) - rankOf(b.request.criticality);
  if (rankDifference !== 0) return rankDifference < 0;
  if (a.request.deadline !== b.request.deadline) return a.request.deadline < b.request.deadline;
  return a.ticket < b.ticket;
}

/** A sorted queue: short by construction, so an array with binary insertion does. */
export class CriticalityQueue implements WaitingQueue {
  private readonly sorted: WaitingRequest[] = [];

  get length(): number {
    return this.sorted.length;
  }

  add(waiting: WaitingRequest): void {
    let low = 0;
    let high = this.sorted.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (precedes(this.sorted[middle]!, waiting)) low = middle + 1;
      else high = middle;
    }
    this.sorted.splice(low, 0, waiting);
  }

  takeNext(): WaitingRequest | undefined {
    return this.sorted.shift();
  }

  remove(ticket: number): WaitingRequest | undefined {
    const index = this.sorted.findIndex((waiting) => waiting.ticket === ticket);
    return index < 0 ? undefined : this.sorted.splice(index, 1)[0];
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    const expired = this.sorted.filter(({ request }) => request.deadline <= now);
    for (const { ticket } of expired) this.remove(ticket);
    return expired;
  }

  earliestDeadline(): number | undefined {
    let earliest: number | undefined;
    for (const { request } of this.sorted) {
      earliest = Math.min(earliest ?? Infinity, request.deadline);
    }
    return earliest;
  }
}
