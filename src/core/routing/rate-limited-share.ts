/**
 * Bounds what one router sends to a target that has stated a request limit. The node beside the target keeps
 * the limit for all routers; each router follows what that node accepts from it and sends up to twice as much,
 * so that the limit is used when other routers send less, without messages between routers.
 */

/** Time constant of the measured rate of accepted attempts, in milliseconds. */
const ACCEPTED_TIME_CONSTANT_MS = 2_000;
/**
 * Attempts sent for each one that is accepted. A share in which less than one of so many is accepted shrinks,
 * so it must leave room for attempts that are refused because several routers send at the same time.
 */
const SENT_PER_ACCEPTED = 2;
/**
 * Rates that are sent whatever is accepted, so that a router without a share gets one: a part of the target's
 * limit, and a rate per second up to the limit itself. The lowest one finds out that a limit of 0 has ended.
 */
const MIN_SENT_SHARE = 0.05;
const MIN_SENT_PER_SECOND = 0.5;
const LOWEST_SENT_PER_SECOND = 0.2;
/**
 * Attempts in hand that each less important class must leave to the more important ones (trunk
 * reservation).
 */
const RESERVED_PER_RANK = 0.5;
/** Largest number of attempts in hand. */
const MAX_IN_HAND = 3;

const MS_PER_SECOND = 1_000;

/** What one router may send to one rate-limited target; times are monotonic, in milliseconds. */
export class RateLimitedShare {
  /** Accepted attempts, each of them decayed by its age. */
  private accepted = 0;
  private acceptedAt = 0;
  private inHand = 1;
  private filledAt: number | undefined;
  private requestLimit = 0;

  /** @param requestsPerSecond requests that the target takes from all routers; undefined: no limit */
  setLimit(requestsPerSecond: number | undefined): void {
    this.requestLimit = requestsPerSecond ?? 0;
  }

  /** Records an attempt that the target's node accepted. */
  noteAccepted(now: number): void {
    this.accepted = this.acceptedUntil(now) + 1;
    this.acceptedAt = now;
  }

  /** Whether an attempt for a request of this rank (0: most important) may be sent. */
  allows(now: number, rank: number): boolean {
    return this.inHandAt(now) >= neededFor(rank);
  }

  /** Records that an attempt is sent. */
  noteSent(now: number): void {
    this.inHand = Math.max(0, this.inHandAt(now) - 1);
    this.filledAt = now;
  }

  /** Attempts a second that may be sent. */
  ratePerSecond(now: number): number {
    const acceptedPerSecond = (this.acceptedUntil(now) / ACCEPTED_TIME_CONSTANT_MS) * MS_PER_SECOND;
    return SENT_PER_ACCEPTED * acceptedPerSecond + this.minSentPerSecond();
  }

  private minSentPerSecond(): number {
    const byRate = Math.min(MIN_SENT_PER_SECOND, this.requestLimit);
    return Math.max(LOWEST_SENT_PER_SECOND, MIN_SENT_SHARE * this.requestLimit, byRate);
  }

  private acceptedUntil(now: number): number {
    return this.accepted * Math.exp((this.acceptedAt - now) / ACCEPTED_TIME_CONSTANT_MS);
  }

  private inHandAt(now: number): number {
    const added = ((now - (this.filledAt ?? now)) * this.ratePerSecond(now)) / MS_PER_SECOND;
    return Math.min(MAX_IN_HAND, this.inHand + added);
  }
}

function neededFor(rank: number): number {
  return 1 + rank * RESERVED_PER_RANK;
}
