/**
 * Keeps requests under which targets ended from the targets that are left. What this node has seen
 * and what others tell adds up in one table; news are passed on over all links that are open, since
 * the store may be away when targets end.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import {
  HELD_ENDS,
  SuspectTable,
  type TargetEnd,
  type Verdict,
} from '../../core/quarantine/suspect-table.js';
import { ResultCode } from '../../core/result-code.js';
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { AttemptCall } from '../link/link-messages.js';
import { fingerprintOfCall } from './call-fingerprint.js';
import type { NewsExchange, QuarantineNews, SendNews } from './quarantine-news.js';

/** Fingerprints in one log line. */
const MAX_LOGGED = 8;

/** What the quarantine works with. */
export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Tells all connected nodes. */
  broadcast(news: QuarantineNews): void;
}

/** See the module comment. */
export class RequestQuarantine implements NewsExchange {
  private readonly table = new SuspectTable();

  constructor(private readonly options: RequestQuarantineOptions) {}

  /** Requests that are suspect. */
  get suspects(): number {
    return this.table.size;
  }

  /** Requests that are kept from targets. */
  get quarantined(): number {
    return this.table.quarantined;
  }

  /** Whether a request is routed; the failure says that it was not run and when to come back. */
  admit(call: AttemptCall): Failure | undefined {
    if (this.table.size === 0) return undefined;
    const fingerprint = fingerprintOfCall(call);
    return toFailure(fingerprint, this.table.admit(this.options.clock.now(), fingerprint));
  }

  /**
   * The last look before a target: the node where the request began may not have heard of the ends.
   * Trials are up to that node.
   */
  checkBarred(call: AttemptCall): Failure | undefined {
    if (this.table.size === 0) return undefined;
    const fingerprint = fingerprintOfCall(call);
    const verdict = this.table.check(this.options.clock.now(), fingerprint);
    return verdict.type === 'barred' ? toFailure(fingerprint, verdict) : undefined;
  }

  /** Whether a request may be sent to another target after one has failed it. */
  mayRepeat(call: AttemptCall): boolean {
    if (this.table.size === 0) return true;
    return this.table.endsOf(fingerprintOfCall(call)) < HELD_ENDS;
  }

  /** The own target ended while it ran these requests. */
  noteTargetEnd(target: string, fingerprints: readonly string[]): void {
    const end = { target, ageMs: 0, fingerprints };
    const fresh = this.takeEnd(end);
    this.options.log.emit(Event.TargetEnded, {
      target,
      running: fingerprints.length,
      suspects: fresh.length,
      requests: fresh.slice(0, MAX_LOGGED).join(' '),
    });
    if (fresh.length === 0) return;
    this.options.broadcast({ type: 'target-ends', ends: [{ ...end, fingerprints: fresh }] });
  }

  /** The own target gave a whole answer. */
  noteServed(call: AttemptCall): void {
    const fingerprint = fingerprintOfCall(call);
    // Suspicions of one end are left to fade elsewhere: most are of requests that never come again.
    if (this.clear(fingerprint) < HELD_ENDS) return;
    this.options.broadcast({ type: 'requests-cleared', fingerprints: [fingerprint] });
  }

  news(): QuarantineNews | undefined {
    const now = this.options.clock.now();
    this.table.expire(now);
    if (this.table.size === 0) return undefined;
    return { type: 'target-ends', ends: this.table.ends(now) };
  }

  onNews(news: QuarantineNews, reply: SendNews): void {
    if (news.type === 'target-ends') this.onEnds(news.ends, reply);
    else this.onCleared(news.fingerprints);
  }

  private onEnds(ends: readonly TargetEnd[], reply: SendNews): void {
    this.table.expire(this.options.clock.now());
    const all = ends.flatMap(({ fingerprints }) => fingerprints);
    const cleared = all.filter((fingerprint) => this.table.isServed(fingerprint));
    if (cleared.length > 0) reply({ type: 'requests-cleared', fingerprints: cleared });
    const fresh = ends
      .map((end) => ({ ...end, fingerprints: this.takeEnd(end) }))
      .filter(({ fingerprints }) => fingerprints.length > 0);
    if (fresh.length > 0) this.options.broadcast({ type: 'target-ends', ends: fresh });
  }

  private onCleared(fingerprints: readonly string[]): void {
    const news = fingerprints.filter((fingerprint) => this.clear(fingerprint) > 0);
    if (news.length === 0) return;
    this.options.broadcast({ type: 'requests-cleared', fingerprints: news });
  }

  /** Returns the requests for which the end is news. */
  private takeEnd(end: TargetEnd): readonly string[] {
    const now = this.options.clock.now();
    const fresh = this.table.noteEnd(now, end);
    for (const fingerprint of fresh) {
      const verdict = this.table.check(now, fingerprint);
      if (verdict.type !== 'free') this.logVerdict(fingerprint, verdict);
    }
    return fresh;
  }

  private logVerdict(request: string, verdict: Exclude<Verdict, { type: 'free' }>): void {
    const { type, targets, ageMs } = verdict;
    this.options.log.emit(Event.RequestQuarantined, {
      request,
      verdict: type,
      targets: targets.join(' '),
      ageMs: Math.round(ageMs),
    });
  }

  private clear(fingerprint: string): number {
    const ends = this.table.noteServed(fingerprint);
    if (ends >= HELD_ENDS) {
      this.options.log.emit(Event.QuarantineLifted, { request: fingerprint, ends });
    }
    return ends;
  }
}

function toFailure(fingerprint: string, verdict: Verdict): Failure | undefined {
  if (verdict.type === 'free') return undefined;
  const { targets, retryAfterMs } = verdict;
  const detail = `${targets.length} targets ended under this request (${fingerprint})`;
  return createFailure(ResultCode.RequestQuarantined, detail, {
    execution: 'not-run',
    retryAfterMs,
  });
}
