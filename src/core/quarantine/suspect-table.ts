/**
 * Requests under which targets ended, and what follows: a request that ends each target that begins
 * to run it must not be run again and again. Pure: ends and answers in, verdicts out.
 *
 * All that ran at a target when it ended is suspect. What tells the cause from the others is that
 * others are answered by some target, before or after; the cause never is. Ends are kept as a set of
 * targets' lives, so that what several nodes have seen adds up, in whatever order it is heard.
 *
 * @see docs/design/quarantine.md
 */
import { ServedRequests } from './served-requests.js';

/** One end of a target, with the requests that ran there. */
export interface TargetEnd {
  /** Life of the target: a text that differs from life to life, over all targets. */
  readonly target: string;
  /** Time since the end, in milliseconds. */
  readonly ageMs: number;
  readonly fingerprints: readonly string[];
}

/** Whether a request may be run. */
export type Verdict =
  | { readonly type: 'free' }
  /** A trial is due later; `barred`: none is due while the request is remembered. */
  | {
      readonly type: 'held' | 'barred';
      /** Lives of targets that ended under the request. */
      readonly targets: readonly string[];
      /** Time since the first of these ends, in milliseconds. */
      readonly ageMs: number;
      readonly retryAfterMs: number;
    };

/** Ends after which a request is run again only now and then. */
export const HELD_ENDS = 2;
/** Ends after which a request is not run any more. */
export const BARRED_ENDS = 3;

/** Pause before a held request is tried again: most targets are back after it, in milliseconds. */
const HOLD_MS = 5_000;
/** Told to callers of a barred request, in milliseconds. */
const BARRED_RETRY_MS = 30_000;
/** Life of the suspicion of a request that is not barred, in milliseconds. */
const SUSPECT_LIFE_MS = 60_000;
/** A barred request is forgotten when nobody has asked for it for this long, in milliseconds. */
const BARRED_LIFE_MS = 600_000;
/** Ends that are kept of a request; more change nothing. */
const MAX_ENDS = 4;
/** Requests that are remembered as suspect. */
const MAX_SUSPECTS = 1_024;
/** Requests that are remembered as answered. */
const MAX_SERVED = 2_048;
const FREE: Verdict = { type: 'free' };

interface Suspect {
  /** Local monotonic times of ends, by life of target. */
  readonly ends: Map<string, number>;
  /** Local monotonic time of the last end or trial. */
  triedAt: number;
  /** Local monotonic time at which somebody last asked for the request. */
  askedAt: number;
}

/** See the module comment. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();
  private readonly served = new ServedRequests(MAX_SERVED);

  /** Requests that are suspect. */
  get size(): number {
    return this.suspects.size;
  }

  /** Requests that are held or barred. */
  get quarantined(): number {
    let count = 0;
    for (const { ends } of this.suspects.values()) if (ends.size >= HELD_ENDS) count += 1;
    return count;
  }

  /**
   * Takes in an end.
   *
   * @returns the requests for which it is news; those that have been answered are not suspect
   */
  noteEnd(now: number, { target, ageMs, fingerprints }: TargetEnd): readonly string[] {
    return fingerprints.filter((fingerprint) => {
      if (this.served.has(fingerprint)) return false;
      return this.addEnd(now, fingerprint, target, now - ageMs);
    });
  }

  /**
   * A target gave a whole answer to the request: it does not end targets.
   *
   * @returns how many ends it was suspected of
   */
  noteServed(fingerprint: string): number {
    this.served.note(fingerprint);
    const ends = this.suspects.get(fingerprint)?.ends.size ?? 0;
    this.suspects.delete(fingerprint);
    return ends;
  }

  /** Whether a target has answered the request lately. */
  isServed(fingerprint: string): boolean {
    return this.served.has(fingerprint);
  }

  /** Ends that the request is suspected of. */
  endsOf(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.ends.size ?? 0;
  }

  /** Whether a request may be run; a trial of a held one puts off the next. */
  admit(now: number, fingerprint: string): Verdict {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return FREE;
    suspect.askedAt = now;
    const verdict = toVerdict(now, suspect);
    if (verdict.type === 'free') suspect.triedAt = now;
    return verdict;
  }

  /** As {@link SuspectTable.admit}, without counting as a trial. */
  check(now: number, fingerprint: string): Verdict {
    const suspect = this.suspects.get(fingerprint);
    return suspect === undefined ? FREE : toVerdict(now, suspect);
  }

  /** All ends that are remembered, for a node that hears of them for the first time. */
  ends(now: number): readonly TargetEnd[] {
    const byTarget = new Map<string, { ageMs: number; fingerprints: string[] }>();
    for (const [fingerprint, { ends }] of this.suspects) {
      for (const [target, at] of ends) {
        const known = byTarget.get(target) ?? { ageMs: now - at, fingerprints: [] };
        known.fingerprints.push(fingerprint);
        byTarget.set(target, known);
      }
    }
    return [...byTarget].map(([target, end]) => ({ target, ...end }));
  }

  /** Forgets what is too old. */
  expire(now: number): void {
    for (const [fingerprint, { ends, triedAt, askedAt }] of this.suspects) {
      const isBarred = ends.size >= BARRED_ENDS;
      const idleMs = now - Math.max(isBarred ? askedAt : -Infinity, triedAt);
      if (idleMs > (isBarred ? BARRED_LIFE_MS : SUSPECT_LIFE_MS)) this.suspects.delete(fingerprint);
    }
  }

  private addEnd(now: number, fingerprint: string, target: string, at: number): boolean {
    const suspect = this.suspects.get(fingerprint) ?? this.add(now, fingerprint);
    if (suspect.ends.has(target) || suspect.ends.size >= MAX_ENDS) return false;
    suspect.ends.set(target, at);
    suspect.triedAt = Math.max(suspect.triedAt, at);
    return true;
  }

  private add(now: number, fingerprint: string): Suspect {
    if (this.suspects.size >= MAX_SUSPECTS) this.dropOne();
    const suspect = { ends: new Map<string, number>(), triedAt: -Infinity, askedAt: now };
    this.suspects.set(fingerprint, suspect);
    return suspect;
  }

  /** The oldest of those with the fewest ends. */
  private dropOne(): void {
    let dropped: string | undefined;
    let fewest = Infinity;
    for (const [fingerprint, { ends }] of this.suspects) {
      if (ends.size >= fewest) continue;
      fewest = ends.size;
      dropped = fingerprint;
    }
    if (dropped !== undefined) this.suspects.delete(dropped);
  }
}

function toVerdict(now: number, { ends, triedAt }: Suspect): Verdict {
  const holdLeftMs = triedAt + HOLD_MS - now;
  const isBarred = ends.size >= BARRED_ENDS;
  if (!isBarred && (ends.size < HELD_ENDS || holdLeftMs <= 0)) return FREE;
  const ageMs = now - Math.min(...ends.values());
  return {
    type: isBarred ? 'barred' : 'held',
    targets: [...ends.keys()],
    ageMs,
    retryAfterMs: isBarred ? BARRED_RETRY_MS : holdLeftMs,
  };
}
