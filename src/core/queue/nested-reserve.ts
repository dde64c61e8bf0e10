/**
 * Slots kept free for nested calls while a target is overloaded.
 *
 * A nested call holds a slot upstream for as long as it waits here. When less important root
 * requests fill every slot, each nested call waits for the next free slot, and the capacity
 * upstream falls by that wait. A small reserve costs less. It grows with the square root of
 * the load of nested calls, as in safety staffing of queueing theory (Halfin and Whitt 1981).
 *
 * @see docs/design/overload-control.md
 */
import { CRITICALITIES, rankOf, type RequestContext } from '../request.js';

/** Largest reserved share of the limit. */
const MAX_RESERVED_SHARE = 0.2;
/** Part of the reserve that is idle on average. */
const IDLE_SHARE = 0.5;
/** Time constant of the measured load, in milliseconds. */
const TIME_CONSTANT_MS = 500;

/** Load of the nested calls of one class, in slots. */
interface NestedLoad {
  slots: number;
  updatedAt: number;
}

/** Reserve of one target. */
export class NestedReserve {
  private readonly loads: readonly NestedLoad[] = CRITICALITIES.map(() => ({
    slots: 0,
    updatedAt: 0,
  }));

  /** Records an offered request that is expected to take `workMs` of slot time. */
  note(now: number, request: RequestContext, workMs: number): void {
    if (request.depth === 0) return;
    const load = this.loads[rankOf(request.criticality)]!;
    load.slots = slotsAt(now, load) + workMs / TIME_CONSTANT_MS;
    load.updatedAt = now;
  }

  /** Slots that `request` must leave free: those for nested calls at least as important. */
  slots(now: number, request: RequestContext, limit: number): number {
    if (request.depth > 0) return 0;
    return this.slotsForRank(now, rankOf(request.criticality), limit);
  }

  /** Slots that stay idle on average because of the reserve. */
  idleSlots(now: number, limit: number): number {
    return IDLE_SHARE * this.slotsForRank(now, CRITICALITIES.length - 1, limit);
  }

  private slotsForRank(now: number, rank: number, limit: number): number {
    const load = this.loads
      .slice(0, rank + 1)
      .reduce((sum, nested) => sum + slotsAt(now, nested), 0);
    return Math.round(Math.min(Math.sqrt(load), MAX_RESERVED_SHARE * limit));
  }
}

function slotsAt(now: number, { slots, updatedAt }: NestedLoad): number {
  return slots * Math.exp((updatedAt - now) / TIME_CONSTANT_MS);
}
