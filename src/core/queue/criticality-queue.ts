/**
 * Criticality first; within a class the request whose latest useful start comes first
 * (least laxity, earliest deadline first when service times are equal).
 */
import { CRITICALITIES, rankOf } from '../request.js';
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/** One sorted array per class; they are short, because the queue is bounded by time. */
export class CriticalityQueue implements WaitingQueue {
  private readonly classes: WaitingRequest[][] = CRITICALITIES.map(() => []);

  get length(): number {
    return this.classes.reduce((sum, waiting) => sum + waiting.length, 0);
  }

  add(waiting: WaitingRequest): void {
    const sorted = this.classOf(waiting);
    sorted.splice(findPosition(sorted, waiting), 0, waiting);
  }

  takeNext(): WaitingRequest | undefined {
    return this.classes.find((sorted) => sorted.length > 0)?.shift();
  }

  takeLowest(): WaitingRequest | undefined {
    const sorted = this.classes.findLast(({ length }) => length > 0);
    if (sorted === undefined) return undefined;
    let lowest = 0;
    for (const [index, { priority }] of sorted.entries()) {
      if (priority <= sorted[lowest]!.priority) lowest = index;
    }
    return sorted.splice(lowest, 1)[0];
  }

  remove(ticket: number): WaitingRequest | undefined {
    for (const sorted of this.classes) {
      const index = sorted.findIndex((waiting) => waiting.ticket === ticket);
      if (index >= 0) return sorted.splice(index, 1)[0];
    }
    return undefined;
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    return this.classes.flatMap((sorted) => {
      const firstAlive = sorted.findIndex(({ giveUpAt }) => giveUpAt > now);
      return sorted.splice(0, firstAlive < 0 ? sorted.length : firstAlive);
    });
  }

  earliestGiveUp(): number | undefined {
    let earliest: number | undefined;
    for (const [first] of this.classes) {
      if (first !== undefined) earliest = Math.min(earliest ?? Infinity, first.giveUpAt);
    }
    return earliest;
  }

  countAhead(waiting: WaitingRequest): number {
    const rank = rankOf(waiting.request.criticality);
    const higher = this.classes.slice(0, rank).reduce((sum, { length }) => sum + length, 0);
    return higher + findPosition(this.classOf(waiting), waiting);
  }

  private classOf({ request }: WaitingRequest): WaitingRequest[] {
    return this.classes[rankOf(request.criticality)]!;
  }
}

/** Position after all that give up no later (binary search). */
function findPosition(sorted: readonly WaitingRequest[], { giveUpAt }: WaitingRequest): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sorted[middle]!.giveUpAt <= giveUpAt) low = middle + 1;
    else high = middle;
  }
  return low;
}
