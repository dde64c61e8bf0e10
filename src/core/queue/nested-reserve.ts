/**
 * Slots kept free for calls from other services while a target is overloaded.
 *
 * A call from another service holds a slot above for as long as it waits here. When less
 * important callers' requests fill every slot, each such call waits for the next slot to
 * come free, and the capacity above falls by that wait. A small reserve costs less.
 *
 * @see docs/design/overload-control.md
 */
import { CRITICALITIES, rankOf, type RequestContext } from '../request.js';

/** Reserved share of the limit. */
const RESERVED_SHARE = 0.12;
/** Part of the reserve that stands idle on average. */
const IDLE_SHARE = 0.5;
/** A class whose last nested call is older than this needs no reserve, in milliseconds. */
const NESTED_RECENTLY_MS = 200;

/** Reserve of one target. */
export class NestedReserve {
  private readonly lastNestedAt: number[] = CRITICALITIES.map(() => -Infinity);

  /** Takes note of an offered request. */
  note(now: number, request: RequestContext): void {
    if (request.depth > 0) this.lastNestedAt[rankOf(request.criticality)] = now;
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
    const latest = Math.max(...this.lastNestedAt.slice(0, rank + 1));
    return now - latest <= NESTED_RECENTLY_MS ? Math.round(RESERVED_SHARE * limit) : 0;
  }
}
