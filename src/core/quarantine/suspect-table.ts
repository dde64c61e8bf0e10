/**
 * Requests under which targets ended, and what follows: a request that ends each target that begins
 * to run it must not be run again and again. Pure: ends and answers in, verdicts out.
 *
 * All that ran at a target when it ended is suspect. What tells the cause from the others is that
 * others are answered by some target, before or after; the cause never is. Ends are kept as a set of
 * targets' lives, so that what several nodes have seen adds up, in whatever order it is heard.
 *
 * Requests of the same content count together, whoever calls: mostly the caller makes no difference, and
 * each service that calls would otherwise end three targets. Where another service's call of the same
 * content has been answered it does make one, and the ends under each caller count alone.
 *
 * @see docs/design/quarantine.md
 */
import { ServedRequests } from './served-requests.js';

/** What a request is, whatever the identity of its try. */
export interface RequestKey {
  /** Hash of what was sent. */
  readonly content: string;
  /** Service on whose machine it began. */
  readonly caller: string;
}

/** One end of a target, with the requests that ran there. */
export interface TargetEnd {
  /** Life of the target: a text that differs from life to life, over all targets. */
  readonly target: string;
  /** Time since the end, in milliseconds. */
  readonly ageMs: number;
  readonly requests: readonly RequestKey[];
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
export const BARRED_CRASHES = 3;

/** Pause before a held request is tried again: most targets are back after it, in milliseconds. */
const HOLD_MS = 5_000;
/** Told to callers of a barred request, in milliseconds. */
const BARRED_RETRY_MS = 30_000;
/** Life of the suspicion of a request that is not barred, in milliseconds. */
const SUSPECT_TTL_MS = 60_000;
/** A barred request is forgotten when nobody has asked for it for this long, in milliseconds. */
const BARRED_TTL_MS = 600_000;
/** Ends that are kept of one content; more change nothing. */
const MAX_CRASHES = 8;
/** Requests that are remembered as suspect. */
const MAX_SUSPECTS = 1_024;
/** Requests that are remembered as answered. */
const MAX_SERVED = 2_048;
const FREE: Verdict = { type: 'free' };

/** An end of a target, as one suspect sees it. */
interface SuspectedCrash {
  /** Local monotonic time. */
  readonly at: number;
  readonly callers: Set<string>;
}

/** All requests of one content. */
interface Suspect {
  /** By life of target. */
  readonly crashes: Map<string, SuspectedCrash>;
  /** Local monotonic time of the last end or trial. */
  lastCrashOrTrialAt: number;
  /** Local monotonic time of the last trial at the target beside this node. */
  lastLocalTrialAt: number;
  /** Local monotonic time at which somebody last asked for the request. */
  lastRequestedAt: number;
}

/** See the module comment. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();
  private readonly served = new ServedRequests(MAX_SERVED);

  /** Contents that are suspect. */
  get size(): number {
    return this.suspects.size;
  }

  /** Contents that are held or barred for some caller. */
  get quarantined(): number {
    let count = 0;
    for (const [content, { crashes }] of this.suspects) {
      const callers = new Set([...crashes.values()].flatMap((crash) => [...crash.callers]));
      if ([...callers].some((caller) => this.endsOf({ content, caller }) >= HELD_ENDS)) count += 1;
    }
    return count;
  }

  /**
   * Takes in an end.
   *
   * @returns the requests for which it is news; those that have been answered are not suspect
   */
  noteEnd(now: number, { target, ageMs, requests }: TargetEnd): readonly RequestKey[] {
    return requests.filter((request) => {
      if (this.isServed(request)) return false;
      return this.addCrash(now, request, target, now - ageMs);
    });
  }

  /**
   * A target gave a whole answer to the request: it does not end targets.
   *
   * @returns how many ends it was suspected of
   */
  noteServed(request: RequestKey): number {
    const crashes = this.endsOf(request);
    this.served.note(request.content, request.caller);
    const suspect = this.suspects.get(request.content);
    if (suspect !== undefined && this.isCleared(request.content, suspect)) {
      this.suspects.delete(request.content);
    }
    return crashes;
  }

  /** Whether a target has answered the request lately. */
  isServed({ content, caller }: RequestKey): boolean {
    return this.served.has(content, caller);
  }

  /** Ends that the request is suspected of. */
  endsOf(request: RequestKey): number {
    return this.countedCrashes(request).length;
  }

  /** Whether a request that is admitted now is a trial, which only one target may run. */
  isTrial(request: RequestKey): boolean {
    return this.endsOf(request) >= HELD_ENDS;
  }

  /**
   * Whether the target beside this node may run a request. Nodes at which requests begin hold them
   * until the same time, so that their trials come at once; all but the first are refused here.
   */
  admitRun(now: number, request: RequestKey): Verdict {
    const crashes = this.countedCrashes(request);
    const suspect = this.suspects.get(request.content);
    if (suspect === undefined || crashes.length < HELD_ENDS) return FREE;
    const holdLeftMs = suspect.lastLocalTrialAt + HOLD_MS - now;
    if (crashes.length >= BARRED_CRASHES) return refused('barred', now, crashes, BARRED_RETRY_MS);
    if (holdLeftMs > 0) return refused('held', now, crashes, holdLeftMs);
    suspect.lastLocalTrialAt = now;
    return FREE;
  }

  /** Whether a request may be run; a trial of a held one puts off the next. */
  admit(now: number, request: RequestKey): Verdict {
    const suspect = this.suspects.get(request.content);
    if (suspect === undefined) return FREE;
    suspect.lastRequestedAt = now;
    const verdict = this.check(now, request);
    if (verdict.type === 'free') suspect.lastCrashOrTrialAt = now;
    return verdict;
  }

  /** As {@link SuspectTable.admit}, without counting as a trial. */
  check(now: number, request: RequestKey): Verdict {
    const crashes = this.countedCrashes(request);
    const lastCrashOrTrialAt = this.suspects.get(request.content)?.lastCrashOrTrialAt ?? -Infinity;
    const holdLeftMs = lastCrashOrTrialAt + HOLD_MS - now;
    const isBarred = crashes.length >= BARRED_CRASHES;
    if (!isBarred && (crashes.length < HELD_ENDS || holdLeftMs <= 0)) return FREE;
    return isBarred
      ? refused('barred', now, crashes, BARRED_RETRY_MS)
      : refused('held', now, crashes, holdLeftMs);
  }

  /** All ends that are remembered, for a node that hears of them for the first time. */
  ends(now: number): readonly TargetEnd[] {
    const byTarget = new Map<string, { ageMs: number; requests: RequestKey[] }>();
    for (const [content, { crashes }] of this.suspects) {
      for (const [target, { at, callers }] of crashes) {
        const known = byTarget.get(target) ?? { ageMs: now - at, requests: [] };
        for (const caller of callers) known.requests.push({ content, caller });
        byTarget.set(target, known);
      }
    }
    return [...byTarget].map(([target, crash]) => ({ target, ...crash }));
  }

  /** Forgets what is too old. */
  expire(now: number): void {
    for (const [content, { crashes, lastCrashOrTrialAt, lastRequestedAt }] of this.suspects) {
      const isBarred = crashes.size >= BARRED_CRASHES;
      const idleMs = now - Math.max(isBarred ? lastRequestedAt : -Infinity, lastCrashOrTrialAt);
      if (idleMs > (isBarred ? BARRED_TTL_MS : SUSPECT_TTL_MS)) this.suspects.delete(content);
    }
  }

  private countedCrashes(request: RequestKey): readonly (readonly [string, SuspectedCrash])[] {
    const suspect = this.suspects.get(request.content);
    if (suspect === undefined || this.isServed(request)) return [];
    const crashes = [...suspect.crashes];
    if (!this.served.hasAny(request.content)) return crashes;
    return crashes.filter(([, { callers }]) => callers.has(request.caller));
  }

  /** Whether all callers under whose requests targets ended have been answered since. */
  private isCleared(content: string, { crashes }: Suspect): boolean {
    return [...crashes.values()].every(({ callers }) =>
      [...callers].every((caller) => this.served.has(content, caller)),
    );
  }

  private addCrash(now: number, request: RequestKey, target: string, at: number): boolean {
    const { content, caller } = request;
    const suspect = this.suspects.get(content) ?? this.addSuspect(now, content);
    const known = suspect.crashes.get(target);
    if (known?.callers.has(caller) === true) return false;
    if (known === undefined && suspect.crashes.size >= MAX_CRASHES) return false;
    if (known === undefined) suspect.crashes.set(target, { at, callers: new Set([caller]) });
    else known.callers.add(caller);
    suspect.lastCrashOrTrialAt = Math.max(suspect.lastCrashOrTrialAt, at);
    return true;
  }

  private addSuspect(now: number, content: string): Suspect {
    if (this.suspects.size >= MAX_SUSPECTS) this.evictOne();
    const suspect = {
      crashes: new Map<string, SuspectedCrash>(),
      lastCrashOrTrialAt: -Infinity,
      lastLocalTrialAt: -Infinity,
      lastRequestedAt: now,
    };
    this.suspects.set(content, suspect);
    return suspect;
  }

  /** The oldest of those with the fewest ends. */
  private evictOne(): void {
    let dropped: string | undefined;
    let fewestCrashes = Infinity;
    for (const [content, { crashes }] of this.suspects) {
      if (crashes.size >= fewestCrashes) continue;
      fewestCrashes = crashes.size;
      dropped = content;
    }
    if (dropped !== undefined) this.suspects.delete(dropped);
  }
}

function refused(
  type: 'held' | 'barred',
  now: number,
  crashes: readonly (readonly [string, SuspectedCrash])[],
  retryAfterMs: number,
): Verdict {
  return {
    type,
    targets: crashes.map(([target]) => target),
    ageMs: now - Math.min(...crashes.map(([, { at }]) => at)),
    retryAfterMs,
  };
}
