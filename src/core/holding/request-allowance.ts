/**
 * How many unanswered requests clients may hold. A request counts for more than one when it has many
 * header fields, since each field costs memory. A request that is alone on its connection is
 * accepted unless all connections together hold too many; requests that are sent ahead may hold only
 * part of the whole, so that connections with one request each always find room.
 */

/** Entries of a raw field list (names and values) that one unit covers. */
const ENTRIES_PER_UNIT = 64;
/** Share of all units that requests sent ahead may bring the total to. */
const AHEAD_SHARE = 0.25;

/** Bounds in units; a request with few header fields is one unit. */
export interface RequestBounds {
  readonly perConnection: number;
  readonly total: number;
}

/** Whether a request is accepted, or which bound it would exceed. */
export type AllowanceDecision = 'accepted' | 'connection' | 'total';

/** Units that a request takes. */
export function weighRequest(rawFieldEntries: number): number {
  return 1 + Math.floor(rawFieldEntries / ENTRIES_PER_UNIT);
}

/** Counts the units of all connections of a listener. */
export class RequestAllowance {
  private taken = 0;

  constructor(private readonly bounds: RequestBounds) {}

  /** Units that are taken now. */
  get used(): number {
    return this.taken;
  }

  /**
   * Takes the units of a request if it is accepted.
   *
   * @param heldByConnection units of the unanswered requests of the same connection
   */
  tryTake(units: number, heldByConnection: number): AllowanceDecision {
    const { perConnection, total } = this.bounds;
    const isAhead = heldByConnection > 0;
    if (isAhead && heldByConnection + units > perConnection) return 'connection';
    if (this.taken + units > (isAhead ? total * AHEAD_SHARE : total)) return 'total';
    this.taken += units;
    return 'accepted';
  }

  release(units: number): void {
    this.taken -= units;
  }
}
