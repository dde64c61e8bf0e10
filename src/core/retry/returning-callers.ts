/**
 * Recognizes clients that return after a refusal by an admission plan. A client that returns too early is refused
 * again and is no demand, so that immediate repeats gain nothing; one that returns in time takes precedence over
 * new requests of its class.
 *
 * @see docs/design/fair-shares.md
 */

/** How a request relates to an earlier refusal. */
export type ReturnCheck =
  | { readonly type: 'new' }
  /** A repeat before its time: to be refused with the remaining time and not counted as demand. */
  | { readonly type: 'early'; readonly remainingMs: number }
  /** A repeat in time; its objective counts from the first try. */
  | { readonly type: 'due'; readonly firstTriedAt: number };

/** Share of the stated time after which a repeat is in time: clocks and timers of clients differ. */
const DUE_SHARE = 0.8;
/** Time beyond the stated one for which a refusal is remembered, in milliseconds. */
const KEPT_BEYOND_MS = 2_000;
const MAX_ENTRIES = 4_096;
const PRECEDENCE_FACTOR = 2;

interface RefusedCaller {
  readonly firstTriedAt: number;
  readonly refusedAt: number;
  readonly retryAfterMs: number;
  /** Whether a repeat in time has been recognized, so that one refusal gives precedence to one request. */
  returned: boolean;
}

/**
 * Returns the share of returning requests that is admitted where new requests of their class have the share `p`.
 * Full precedence would make every request wait one round under sustained overload.
 */
export function returningShare(p: number): number {
  return Math.min(1, PRECEDENCE_FACTOR * p);
}

/** Refused clients of one entry node. */
export class ReturningCallers {
  /** By key, in order of their last refusals. */
  private readonly refused = new Map<string, RefusedCaller>();

  /**
   * Records a refusal. Refusals of early repeats are not to be recorded, since their clients are told the time
   * that remains.
   *
   * @param key digest of the client's address, the method and the path
   * @param retryAfterMs time after which the client was told to return
   */
  noteRefused(now: number, key: string, retryAfterMs: number): void {
    if (!(retryAfterMs >= 0 && retryAfterMs < Infinity)) return;
    const firstTriedAt = this.find(now, key)?.firstTriedAt ?? now;
    this.refused.delete(key);
    this.refused.set(key, { firstTriedAt, refusedAt: now, retryAfterMs, returned: false });
    this.dropOldest(now);
  }

  /** Finds out whether a request repeats a refused one; it counts as the repeat if it is due. */
  check(now: number, key: string): ReturnCheck {
    const known = this.find(now, key);
    if (known === undefined || known.returned) return { type: 'new' };
    const { firstTriedAt, refusedAt, retryAfterMs } = known;
    if (now < refusedAt + DUE_SHARE * retryAfterMs) {
      return { type: 'early', remainingMs: refusedAt + retryAfterMs - now };
    }
    known.returned = true;
    return { type: 'due', firstTriedAt };
  }

  private find(now: number, key: string): RefusedCaller | undefined {
    const known = this.refused.get(key);
    if (known === undefined || !isExpired(now, known)) return known;
    this.refused.delete(key);
    return undefined;
  }

  /** Retry times differ, so expired entries may remain behind one that is still valid, up to the maximum. */
  private dropOldest(now: number): void {
    for (const [key, oldest] of this.refused) {
      if (this.refused.size <= MAX_ENTRIES && !isExpired(now, oldest)) return;
      this.refused.delete(key);
    }
  }
}

function isExpired(now: number, { refusedAt, retryAfterMs }: RefusedCaller): boolean {
  return now > refusedAt + retryAfterMs + KEPT_BEYOND_MS;
}
