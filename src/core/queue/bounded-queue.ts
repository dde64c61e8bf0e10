/**
 * The discipline of gates whose targets do not state their slowdown: a queue by criticality and
 * deadline, bounded by the expected wait of its last request, with slots reserved for nested calls.
 */
import type { ServiceTime } from '../limit/service-time.js';
import type { RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { NestedReserve } from './nested-reserve.js';
import {
  type GateSlots,
  isBelow,
  MAX_QUEUED_PER_SLOT,
  type QueueDiscipline,
  type QueueWait,
  type Rejection,
} from './queue-discipline.js';
import type { WaitingQueue, WaitingRequest } from './waiting-queue.js';

/** Smallest bound of the queue's length, whatever the service time. */
const MIN_QUEUED = 4;

export interface BoundedQueueOptions {
  readonly queue: WaitingQueue;
  /** Longest expected wait of the last request in the queue, in milliseconds. */
  readonly maxWaitMs: number;
  readonly slots: GateSlots;
  readonly serviceTime: ServiceTime;
}

/** A queue that is bounded by time, whatever time its requests have left. */
export class BoundedQueue implements QueueDiscipline {
  private readonly reserve = new NestedReserve();

  constructor(private readonly options: BoundedQueueOptions) {}

  get length(): number {
    return this.options.queue.length;
  }

  serviceMs(_now: number, kind: string): number | undefined {
    return this.options.serviceTime.ofKind(kind);
  }

  noteServed(): void {}

  noteOffered(now: number, { request, serviceMs }: WaitingRequest): void {
    this.reserve.note(now, request, serviceMs);
  }

  refusalOnArrival(now: number, waiting: WaitingRequest): ResultCode | undefined {
    if (waiting.giveUpAt <= now) return ResultCode.DeadlineUnreachable;
    if (this.hasFreeSlot(now, waiting.request)) return undefined;
    const wait = this.expectedWait(this.options.queue.countAhead(waiting));
    return now + wait > waiting.giveUpAt ? ResultCode.DeadlineUnreachable : undefined;
  }

  add(now: number, waiting: WaitingRequest): readonly Rejection[] {
    const { queue, slots } = this.options;
    const mustDisplace =
      !this.hasFreeSlot(now, waiting.request) && isBelow(waiting, slots.threshold);
    queue.add(waiting);
    if (!mustDisplace) return [];
    return [{ waiting: queue.takeLowest()!, code: ResultCode.AdmissionRefused }];
  }

  takeNext(now: number): WaitingRequest | undefined {
    const { queue } = this.options;
    const next = queue.takeNext(now);
    if (next === undefined || this.hasFreeSlot(now, next.request)) return next;
    queue.add(next);
    return undefined;
  }

  hasStartable(now: number): boolean {
    const next = this.takeNext(now);
    if (next !== undefined) this.options.queue.add(next);
    return next !== undefined;
  }

  takeLowest(): WaitingRequest | undefined {
    return this.options.queue.takeLowest();
  }

  takeExcess(): readonly Rejection[] {
    const { queue } = this.options;
    const excess: Rejection[] = [];
    while (queue.length > this.maxQueued()) {
      excess.push({ waiting: queue.takeLowest()!, code: ResultCode.QueueFull });
    }
    return excess;
  }

  remove(ticket: number): WaitingRequest | undefined {
    return this.options.queue.remove(ticket);
  }

  takeExpired(now: number): readonly WaitingRequest[] {
    return this.options.queue.takeExpired(now);
  }

  earliestGiveUp(): number | undefined {
    return this.options.queue.earliestGiveUp();
  }

  countAhead(_now: number, waiting: WaitingRequest): number {
    return this.options.queue.countAhead(waiting);
  }

  waitOf(now: number, queued: number): QueueWait {
    const { limit } = this.options.slots;
    return {
      slots: limit - this.reserve.idleSlots(now, limit),
      expectedWaitMs: queued === 0 ? 0 : this.expectedWait(queued - 1),
    };
  }

  private hasFreeSlot(now: number, request: RequestContext): boolean {
    const { limit, inFlight, threshold } = this.options.slots;
    const reserved = threshold > 0 ? this.reserve.slots(now, request, limit) : 0;
    return inFlight < limit - reserved;
  }

  /** Expected wait behind `ahead` waiting requests while all slots are taken. */
  private expectedWait(ahead: number): number {
    const { serviceTime, slots } = this.options;
    return ((ahead + 1) * serviceTime.mean()) / slots.limit;
  }

  private maxQueued(): number {
    const { serviceTime, slots, maxWaitMs } = this.options;
    const perSlot = Math.min(MAX_QUEUED_PER_SLOT, maxWaitMs / serviceTime.mean());
    return Math.max(MIN_QUEUED, Math.ceil(perSlot * slots.limit));
  }
}
