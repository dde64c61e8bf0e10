/**
 * Quarantine of requests that crash targets: a request that crashes each target that runs it must not
 * be run again and again. Pure: takes crashes and answers, returns verdicts.
 *
 * Every request that ran at a target when it crashed is suspect. No target ever answers the request that
 * caused the crash, while others are answered, before or after. Crashes are kept as a set of incarnations
 * of targets, so that the reports of several nodes merge to the same table, in any order.
 *
 * Requests with the same content count together, whoever calls: mostly the caller makes no difference, and
 * each calling service would otherwise crash three targets. When a call with the same content from another
 * service has been answered, the caller does matter, and the crashes under each caller count separately.
 *
 * @see docs/design/quarantine.md
 */
import { ServedRequests } from './served-requests.js';

/** Identity of a request that is the same for all of its attempts. */
export interface RequestKey {
  /** Hash of what was sent. */
  readonly content: string;
  /** Service on whose machine the request originated. */
  readonly caller: string;
}

/** One crash of a target, with the requests that ran there. */
export interface TargetCrash {
  /** Incarnation of the target: a text that is unique over all targets and their incarnations. */
  readonly target: string;
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  readonly requests: readonly RequestKey[];
}

/** Whether a request may be run. */
export type Verdict =
  | { readonly type: 'free' }
  /** `held`: a trial follows later; `barred`: none while the request is retained. */
  | {
      readonly type: 'held' | 'barred';
      /** Incarnations of targets that crashed under the request. */
      readonly targets: readonly string[];
      /** Time since the first of these crashes, in milliseconds. */
      readonly ageMs: number;
      readonly retryAfterMs: number;
    };

/** Crashes after which a request is run only in single trials with pauses between them. */
export const HELD_CRASHES = 2;
/** Crashes after which a request is not run any more. */
export const BARRED_CRASHES = 3;

/** Pause before a trial of a held request, in milliseconds: most targets have restarted by then. */
const HOLD_MS = 5_000;
/** Retry time returned for a barred request, in milliseconds. */
const BARRED_RETRY_MS = 30_000;
/** Time for which a request that is not barred stays suspect, in milliseconds. */
const SUSPECT_TTL_MS = 60_000;
/** Time after its last arrival or crash at which a barred request is discarded, in milliseconds. */
const BARRED_TTL_MS = 600_000;
/** Crashes that are kept per content; more change nothing. */
const MAX_CRASHES = 8;
/** Maximum number of contents that are retained as suspect. */
const MAX_SUSPECTS = 1_024;
/** Maximum number of contents that are retained as answered. */
const MAX_SERVED = 2_048;
const FREE: Verdict = { type: 'free' };

/** A crash of a target, as recorded for one suspect. */
interface SuspectedCrash {
  /** Local monotonic time. */
  readonly at: number;
  readonly callers: Set<string>;
}

/** All requests of one content. */
interface Suspect {
  /** By incarnation of the target. */
  readonly crashes: Map<string, SuspectedCrash>;
  /** Local monotonic time of the last crash or trial. */
  lastCrashOrTrialAt: number;
  /** Local monotonic time of the last trial at the local target. */
  lastLocalTrialAt: number;
  /** Local monotonic time at which the request last arrived at this node. */
  lastRequestedAt: number;
}

/** Suspect requests, and whether they may be run. */
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
      if ([...callers].some((caller) => this.countCrashes({ content, caller }) >= HELD_CRASHES))
        count += 1;
    }
    return count;
  }

  /**
   * Records a crash.
   *
   * @returns the requests for which it was not known yet; those that have been answered are not suspect
   */
  noteCrash(now: number, { target, ageMs, requests }: TargetCrash): readonly RequestKey[] {
    return requests.filter((request) => {
      if (this.isServed(request)) return false;
      return this.addCrash(now, request, target, now - ageMs);
    });
  }

  /**
   * Records that a target gave a complete answer to the request, which shows that it does not crash targets.
   *
   * @returns how many crashes it was suspected of
   */
  noteServed(request: RequestKey): number {
    const crashes = this.countCrashes(request);
    this.served.note(request.content, request.caller);
    const suspect = this.suspects.get(request.content);
    if (suspect !== undefined && this.isCleared(request.content, suspect)) {
      this.suspects.delete(request.content);
    }
    return crashes;
  }

  /** Whether a target has answered the request recently. */
  isServed({ content, caller }: RequestKey): boolean {
    return this.served.has(content, caller);
  }

  /** Number of crashes that the request is suspected of. */
  countCrashes(request: RequestKey): number {
    return this.countedCrashes(request).length;
  }

  /** Whether a request that is admitted now is a trial, which only one target may run. */
  isTrial(request: RequestKey): boolean {
    return this.countCrashes(request) >= HELD_CRASHES;
  }

  /**
   * Whether the local target may run a request. Entry nodes hold a request until the same time, so
   * that their trials arrive together; all but the first are refused here.
   */
  admitRun(now: number, request: RequestKey): Verdict {
    const crashes = this.countedCrashes(request);
    const suspect = this.suspects.get(request.content);
    if (suspect === undefined || crashes.length < HELD_CRASHES) return FREE;
    const holdLeftMs = suspect.lastLocalTrialAt + HOLD_MS - now;
    if (crashes.length >= BARRED_CRASHES) return refused('barred', now, crashes, BARRED_RETRY_MS);
    if (holdLeftMs > 0) return refused('held', now, crashes, holdLeftMs);
    suspect.lastLocalTrialAt = now;
    return FREE;
  }

  /** Whether a request may be run; a trial of a held request postpones the next. */
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
    if (!isBarred && (crashes.length < HELD_CRASHES || holdLeftMs <= 0)) return FREE;
    return isBarred
      ? refused('barred', now, crashes, BARRED_RETRY_MS)
      : refused('held', now, crashes, holdLeftMs);
  }

  /** All retained crashes, for a node that receives them for the first time. */
  crashes(now: number): readonly TargetCrash[] {
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

  /** Discards suspects that are too old. */
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

  /** Whether all callers under whose requests targets crashed have been answered. */
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

  /** Evicts the oldest of the suspects with the fewest crashes. */
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
