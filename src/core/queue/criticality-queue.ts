/**
 * Orders by criticality. Within a class nested calls come before root requests, the shortest
 * service time first, because each of them holds a slot upstream while it waits and that order
 * minimizes the sum of their waits. Root requests follow by their latest useful start (least
 * laxity; earliest deadline first when service times are equal).
 *
 * A root request that must start now to be answered within its objective goes before the nested
 * calls of its class, so that these do not make all root requests late. One that is late already
 * gets no such precedence: it has lost most of its value.
 */
import { CRITICALITIES, rankOf } from '../request.js';
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/**
 * Time left to the objective, in service times, at which a request must start. Service times vary by
 * about half of their mean, so that with a single service time left half of the answers are late.
 */
const URGENT_SERVICE_TIMES = 2;

/** Two sorted arrays per class; they are short, because the queue is bounded by time. */
export class CriticalityQueue implements WaitingQueue {
  private readonly levels: WaitingRequest[][] = CRITICALITIES.flatMap(() => [[], []]);

  /** Counted, because the gate reads it several times per request and mostly nothing waits. */
  private count = 0;

  get length(): number {
    return this.count;
  }

  add(waiting: WaitingRequest): void {
    const sorted = this.levelOf(waiting);
    sorted.splice(findPosition(sorted, waiting), 0, waiting);
    this.count += 1;
  }

  takeNext(now: number): WaitingRequest | undefined {
    if (this.count === 0) return undefined;
    const first = this.levels.findIndex((sorted) => sorted.length > 0);
    const urgent = isNestedLevel(first) ? this.takeUrgent(now, first + 1) : undefined;
    if (urgent !== undefined) return urgent;
    this.count -= 1;
    return this.levels[first]!.shift();
  }

  private takeUrgent(now: number, level: number): WaitingRequest | undefined {
    const urgent = this.levels[level]!.find((waiting) => isUrgent(now, waiting));
    return urgent === undefined ? undefined : this.remove(urgent.ticket);
  }

  takeLowest(): WaitingRequest | undefined {
    const level = this.levels.findLast((sorted) => sorted.length > 0);
    if (level === undefined) return undefined;
    const lowest = level.reduce((least, waiting) =>
      waiting.priority <= least.priority ? waiting : least,
    );
    return this.remove(lowest.ticket);
  }

  remove(ticket: number): WaitingRequest | undefined {
    for (const sorted of this.levels) {
      const index = sorted.findIndex((waiting) => waiting.ticket === ticket);
      if (index < 0) continue;
      this.count -= 1;
      return sorted.splice(index, 1)[0];
    }
    return undefined;
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    if (this.count === 0) return expired;
    for (const sorted of this.levels) {
      for (const waiting of sorted) if (waiting.giveUpAt <= now) expired.push(waiting);
    }
    for (const { ticket } of expired) this.remove(ticket);
    return expired;
  }

  earliestGiveUp(): number | undefined {
    if (this.count === 0) return undefined;
    let earliest: number | undefined;
    for (const sorted of this.levels) {
      for (const { giveUpAt } of sorted) earliest = Math.min(earliest ?? Infinity, giveUpAt);
    }
    return earliest;
  }

  countAhead(waiting: WaitingRequest): number {
    const higher = this.levels
      .slice(0, levelIndex(waiting))
      .reduce((sum, { length }) => sum + length, 0);
    return higher + findPosition(this.levelOf(waiting), waiting);
  }

  private levelOf(waiting: WaitingRequest): WaitingRequest[] {
    return this.levels[levelIndex(waiting)]!;
  }
}

function levelIndex({ request }: WaitingRequest): number {
  return 2 * rankOf(request.criticality) + (request.depth > 0 ? 0 : 1);
}

/** Whether a level holds nested calls; the root requests of their class are in the next level. */
function isNestedLevel(level: number): boolean {
  return level % 2 === 0;
}

/** Whether the request must start now for its answer to be just within the objective. */
function isUrgent(now: number, { request, serviceMs }: WaitingRequest): boolean {
  const { dueAt } = request;
  if (dueAt === undefined) return false;
  const leftMs = dueAt - now;
  return leftMs >= serviceMs && leftMs <= URGENT_SERVICE_TIMES * serviceMs;
}

/** Key by which a level is sorted. */
function sortKey({ request, serviceMs, giveUpAt }: WaitingRequest): number {
  return request.depth > 0 ? serviceMs : giveUpAt;
}

/** Position after all requests whose key is not greater (binary search). */
function findPosition(sorted: readonly WaitingRequest[], waiting: WaitingRequest): number {
  const key = sortKey(waiting);
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sortKey(sorted[middle]!) <= key) low = middle + 1;
    else high = middle;
  }
  return low;
}
