/**
 * The discipline of gates whose targets state their slowdown: a request waits only if it is forecast to
 * be answered within what it can afford, and is refused on arrival otherwise.
 *
 * The stricter class goes first; inside a class, the earliest latest useful start. A request of a lower
 * class goes first when it would be late otherwise and every stricter one is in time also after it.
 *
 * @see docs/design/queueing-by-objective.md
 */
import { CRITICALITIES, rankOf, type RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import {
  type GateSlots,
  isBelow,
  MAX_QUEUED_PER_SLOT,
  type QueueDiscipline,
  type QueueWait,
  type Rejection,
} from './queue-discipline.js';
import type { WaitForecast } from './wait-forecast.js';
import type { WaitingRequest } from './waiting-queue.js';

/** Margin of a request for the spread of service times, as a share of its own. */
const SPREAD_MARGIN = 0.25;
/** Longest wait of a call, in milliseconds, since it holds slots above. */
const MAX_CALL_WAIT_MS = 400;
/**
 * Share of the wait that it can afford which a stricter request keeps when it is passed. With less, lower
 * classes take the slots until every stricter request is nearly late, and one slow moment makes it late.
 * Calls keep less, because their bound of 400 ms is mostly far from their objective.
 */
const PASSED_ROOT_KEEPS = 0.75;
const PASSED_CALL_KEEPS = 0.25;
/** Share of its objective for which a request may have waited when it is displaced. */
const MAX_DISPLACED_SHARE = 1 / 8;
/**
 * Shares of the wait that it can afford for which a request below the admission threshold may wait. The
 * rest is left to those above it, which are the same at every gate, so that few runs lose one of their calls.
 */
const ROOT_BELOW_SHARE = 0.25;
const CALL_BELOW_SHARE = 0.75;
/** Share of what waiting calls can afford at which the admission threshold engages. */
const ENGAGE_SHARE = 0.25;

/** A waiting request with its forecast of the time of its arrival. */
interface Entry extends WaitingRequest {
  readonly rank: number;
  readonly arrivedAt: number;
  /** Latest start by which it is answered within what it can afford, with the margin for spread. */
  readonly startBy: number;
  /** Expected work at the usual slowdown, in slot milliseconds. */
  readonly workMs: number;
}

/** Entries of one class by latest useful start. */
class Level {
  readonly entries: Entry[] = [];
  workMs = 0;

  insert(entry: Entry): void {
    this.entries.splice(this.positionOf(entry.startBy), 0, entry);
    this.workMs += entry.workMs;
  }

  removeAt(index: number): Entry {
    const [entry] = index === 0 ? [this.entries.shift()!] : this.entries.splice(index, 1);
    // Set to 0 when empty, so that rounding errors do not add up.
    this.workMs = this.entries.length === 0 ? 0 : this.workMs - entry!.workMs;
    return entry!;
  }

  /** Position after all entries whose latest start is not later (binary search). */
  positionOf(startBy: number): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.entries[middle]!.startBy <= startBy) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Work of the entries before a position. */
  workBefore(position: number): number {
    if (position === this.entries.length) return this.workMs;
    let workMs = 0;
    for (let index = 0; index < position; index += 1) workMs += this.entries[index]!.workMs;
    return workMs;
  }
}

/** A queue in which requests wait for as long as they can afford. */
export class ObjectiveQueue implements QueueDiscipline {
  private readonly levels: readonly Level[] = CRITICALITIES.map(() => new Level());
  private count = 0;
  /** Not later than the earliest `giveUpAt`; it is computed anew when it is reached. */
  private giveUpBound = Infinity;
  private readonly callAfford = new Afford();
  private readonly rootAfford = new Afford();

  constructor(
    private readonly slots: GateSlots,
    private readonly forecast: WaitForecast,
  ) {}

  get length(): number {
    return this.count;
  }

  serviceMs(now: number, kind: string): number | undefined {
    return this.forecast.serviceMs(now, kind);
  }

  noteServed(now: number, kind: string, latencyMs: number): void {
    this.forecast.noteServed(now, kind, latencyMs);
  }

  noteOffered(): void {}

  refusalOnArrival(now: number, waiting: WaitingRequest): ResultCode | undefined {
    if (waiting.giveUpAt <= now) return ResultCode.DeadlineUnreachable;
    if (this.hasFreeSlot()) return undefined;
    const entry = this.createEntry(now, waiting);
    if (!this.isInTime(now, entry)) return ResultCode.QueueFull;
    const mustDisplace = this.isFull() && this.findYoungBelow(now, entry.rank) === undefined;
    return mustDisplace ? ResultCode.QueueFull : undefined;
  }

  add(now: number, waiting: WaitingRequest): readonly Rejection[] {
    const entry = this.createEntry(now, waiting);
    const rejections = this.hasFreeSlot() ? [] : this.displaceFor(now, entry);
    this.insert(entry);
    this.forecast.noteAdmitted(now, entry.rank, entry.workMs);
    return rejections;
  }

  /** Adds a request that was admitted by another discipline. */
  adopt(now: number, waiting: WaitingRequest): void {
    this.insert(this.createEntry(now, waiting));
  }

  takeNext(now: number): WaitingRequest | undefined {
    if (!this.hasStartable()) return undefined;
    let workAboveMs = 0;
    let first: Level | undefined;
    for (const level of this.levels) {
      const [head] = level.entries;
      if (head === undefined) continue;
      first ??= level;
      if (level !== first && this.mayPass(now, head, workAboveMs)) return this.take(level, 0);
      workAboveMs += level.workMs;
    }
    return first && this.take(first, 0);
  }

  hasStartable(): boolean {
    return this.count > 0 && this.hasFreeSlot();
  }

  takeLowest(): WaitingRequest | undefined {
    const level = this.levels.findLast(({ entries }) => entries.length > 0);
    if (level === undefined) return undefined;
    const { entries } = level;
    const lowest = entries.reduce((least, entry) =>
      entry.priority <= least.priority ? entry : least,
    );
    return this.take(level, entries.indexOf(lowest));
  }

  /** The length is bounded on arrival, because a request that has waited long is not refused. */
  takeExcess(): readonly Rejection[] {
    return [];
  }

  remove(ticket: number): WaitingRequest | undefined {
    for (const level of this.levels) {
      const index = level.entries.findIndex((entry) => entry.ticket === ticket);
      if (index >= 0) return this.take(level, index);
    }
    return undefined;
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    if (now < this.giveUpBound) return expired;
    let bound = Infinity;
    for (const level of this.levels) {
      for (let index = level.entries.length - 1; index >= 0; index -= 1) {
        const { giveUpAt } = level.entries[index]!;
        if (giveUpAt <= now) expired.push(this.take(level, index));
        else bound = Math.min(bound, giveUpAt);
      }
    }
    this.giveUpBound = bound;
    return expired;
  }

  earliestGiveUp(): number | undefined {
    return this.count === 0 ? undefined : this.giveUpBound;
  }

  countAhead(now: number, waiting: WaitingRequest): number {
    const { rank, startBy } = this.createEntry(now, waiting);
    let ahead = this.levels[rank]!.positionOf(startBy);
    for (const { entries } of this.levels.slice(0, rank)) ahead += entries.length;
    return ahead;
  }

  waitOf(now: number, queued: number): QueueWait {
    const { limit } = this.slots;
    if (queued === 0) return { slots: limit, expectedWaitMs: 0 };
    let workMs = 0;
    for (const level of this.levels) workMs += level.workMs;
    const afford = this.callAfford.count > 0 ? this.callAfford : this.rootAfford;
    return {
      slots: limit,
      expectedWaitMs: this.forecast.waitMs(now, workMs, 0),
      engageWaitMs: ENGAGE_SHARE * afford.mean(),
    };
  }

  private hasFreeSlot(): boolean {
    return this.slots.inFlight < this.slots.limit;
  }

  private createEntry(now: number, waiting: WaitingRequest): Entry {
    const { request, serviceMs } = waiting;
    return {
      ...waiting,
      rank: rankOf(request.criticality),
      arrivedAt: now,
      startBy: latestStart(now, request, serviceMs),
      workMs: this.forecast.workMs(request.kind),
    };
  }

  /** Whether the request, and those that it would delay in its class or above, are in time. */
  private isInTime(now: number, entry: Entry): boolean {
    if (entry.startBy < now) return false;
    const { rank, startBy } = entry;
    const position = this.levels[rank]!.positionOf(startBy);
    const inClassMs = this.levels[rank]!.workBefore(position);
    let aboveMs = 0;
    let earlierAboveMs = 0;
    for (const level of this.levels.slice(0, rank)) {
      aboveMs += level.workMs;
      earlierAboveMs += level.workBefore(level.positionOf(startBy));
    }
    const affordMs = (startBy - now) * this.affordShare(entry);
    if (this.delaysClass(now, entry, position, aboveMs + inClassMs)) return false;
    if (this.forecast.waitMs(now, aboveMs + inClassMs, rank) <= affordMs) return true;
    // Under a lasting overload, requests that pass would make stricter ones late that arrive meanwhile.
    if (this.slots.threshold > 0) return false;
    const passingMs = this.forecast.waitMs(now, earlierAboveMs + inClassMs, 0);
    return (
      passingMs <= affordMs && this.canAboveWait(now, entry, earlierAboveMs + inClassMs, startBy)
    );
  }

  /** Whether a request of the class that is in time would be late behind the new one. */
  private delaysClass(now: number, entry: Entry, position: number, workAheadMs: number): boolean {
    const { entries } = this.levels[entry.rank]!;
    if (position === entries.length) return false;
    const stretch = this.forecast.stretch(now, entry.rank);
    const delayMs = this.forecast.passageMs(now, entry.workMs) * stretch;
    const perWorkMs = this.forecast.passageMs(now, 1) * stretch;
    let startAt = now + this.forecast.waitMs(now, workAheadMs, entry.rank);
    for (let index = position; index < entries.length; index += 1) {
      const { startBy, workMs } = entries[index]!;
      if (startAt <= startBy && startAt + delayMs > startBy) return true;
      startAt += workMs * perWorkMs;
    }
    return false;
  }

  /** Whether a request must start now to be in time, and may do so before stricter ones. */
  private mayPass(now: number, entry: Entry, workAboveMs: number): boolean {
    if (now + this.forecast.waitMs(now, workAboveMs, entry.rank) <= entry.startBy) return false;
    return this.canAboveWait(now, entry);
  }

  /**
   * Whether every stricter waiting request is in time also when it starts after this one.
   *
   * @param workAheadMs work that starts before this one
   * @param after only requests whose latest start is later count; the others start before this one
   */
  private canAboveWait(now: number, entry: Entry, workAheadMs = 0, after = -Infinity): boolean {
    const perWorkMs = this.forecast.passageMs(now, 1);
    let startAt = now + this.forecast.waitMs(now, workAheadMs + entry.workMs, 0);
    for (const { entries } of this.levels.slice(0, entry.rank)) {
      for (const { request, arrivedAt, startBy, workMs } of entries) {
        if (startBy <= after) continue;
        const keeps = request.depth === 0 ? PASSED_ROOT_KEEPS : PASSED_CALL_KEEPS;
        if (startAt + keeps * (startBy - arrivedAt) > startBy) return false;
        startAt += workMs * perWorkMs;
      }
    }
    return true;
  }

  /** Share of the wait that it can afford for which a request may wait. */
  private affordShare(entry: Entry): number {
    if (!isBelow(entry, this.slots.threshold)) return 1;
    return entry.request.depth === 0 ? ROOT_BELOW_SHARE : CALL_BELOW_SHARE;
  }

  private isFull(): boolean {
    return this.count >= MAX_QUEUED_PER_SLOT * this.slots.limit;
  }

  private displaceFor(now: number, entry: Entry): Rejection[] {
    const young = this.isFull() ? this.findYoungBelow(now, entry.rank) : undefined;
    if (young !== undefined) this.remove(young.ticket);
    const displaced = this.takeDelayedBelow(now, entry);
    if (young !== undefined) displaced.push(young);
    return displaced.map((waiting) => ({ waiting, code: ResultCode.QueueFull }));
  }

  /** Request of the lowest class below `rank` that has not waited long. */
  private findYoungBelow(now: number, rank: number): Entry | undefined {
    for (let below = this.levels.length - 1; below > rank; below -= 1) {
      const young = this.levels[below]!.entries.findLast((entry) => isYoung(now, entry));
      if (young !== undefined) return young;
    }
    return undefined;
  }

  /** Removes requests of lower classes that are in time without the new one and late with it. */
  private takeDelayedBelow(now: number, entry: Entry): Entry[] {
    const taken: Entry[] = [];
    let aheadMs = 0;
    for (const level of this.levels.slice(0, entry.rank + 1)) aheadMs += level.workMs;
    let addedMs = entry.workMs;
    for (let rank = entry.rank + 1; rank < this.levels.length; rank += 1) {
      const level = this.levels[rank]!;
      if (level.entries.length === 0) continue;
      const stretchRank = this.slots.threshold > 0 ? rank : 0;
      const perWorkMs = this.forecast.passageMs(now, 1) * this.forecast.stretch(now, stretchRank);
      const emptyAt = now + this.forecast.waitMs(now, 0, stretchRank);
      for (let index = 0; index < level.entries.length && addedMs > 0; index += 1) {
        const candidate = level.entries[index]!;
        const startAt = emptyAt + aheadMs * perWorkMs;
        const isDelayed =
          startAt <= candidate.startBy && startAt + addedMs * perWorkMs > candidate.startBy;
        aheadMs += candidate.workMs;
        if (!isDelayed || !isYoung(now, candidate)) continue;
        taken.push(this.take(level, index));
        addedMs -= candidate.workMs;
        index -= 1;
      }
    }
    return taken;
  }

  private insert(entry: Entry): void {
    this.levels[entry.rank]!.insert(entry);
    this.count += 1;
    this.giveUpBound = Math.min(this.count === 1 ? Infinity : this.giveUpBound, entry.giveUpAt);
    this.affordOf(entry).add(entry.startBy - entry.arrivedAt);
  }

  private take(level: Level, index: number): Entry {
    const entry = level.removeAt(index);
    this.count -= 1;
    this.affordOf(entry).remove(entry.startBy - entry.arrivedAt);
    return entry;
  }

  private affordOf({ request }: Entry): Afford {
    return request.depth > 0 ? this.callAfford : this.rootAfford;
  }
}

/** Mean wait that requests could afford on their arrival. */
class Afford {
  count = 0;
  private totalMs = 0;

  add(ms: number): void {
    this.count += 1;
    this.totalMs += ms;
  }

  remove(ms: number): void {
    this.count -= 1;
    this.totalMs = this.count === 0 ? 0 : this.totalMs - ms;
  }

  mean(): number {
    return this.count === 0 ? 0 : Math.max(0, this.totalMs / this.count);
  }
}

/** Time until which the answer of a request has its value. */
function affordableUntil({ deadline, dueAt = deadline }: RequestContext): number {
  return Math.min(dueAt, deadline);
}

function latestStart(now: number, request: RequestContext, serviceMs: number): number {
  const startBy = affordableUntil(request) - (1 + SPREAD_MARGIN) * serviceMs;
  return request.depth > 0 ? Math.min(startBy, now + MAX_CALL_WAIT_MS) : startBy;
}

/**
 * Whether a request has waited only a small share of its objective, so that it may be refused. A later call
 * of a run is not, because the work of the earlier ones would be lost.
 */
function isYoung(now: number, { arrivedAt, request }: Entry): boolean {
  if (request.committed === true) return false;
  return now - arrivedAt <= MAX_DISPLACED_SHARE * (affordableUntil(request) - arrivedAt);
}
