/**
 * Keeps requests under which targets ended from the targets that are left. What this node has seen
 * and the crash reports of all nodes are merged in one table and gossiped over open links, since
 * the store may be away when targets end.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import {
  HELD_ENDS,
  SuspectTable,
  type RequestKey,
  type TargetEnd,
  type Verdict,
} from '../../core/quarantine/suspect-table.js';
import { ResultCode } from '../../core/result-code.js';
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { AttemptCall } from '../link/link-messages.js';
import type { QuarantineExchange, QuarantineUpdate, SendUpdate } from './quarantine-update.js';
import { keyOfCall } from './request-key.js';

/** Requests in one log line. */
const MAX_LOGGED = 8;

/** What the quarantine works with. */
export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Tells all connected nodes. */
  broadcast(update: QuarantineUpdate): void;
  /** The node whose target runs the trials of a content; undefined while none is in reach. */
  trialNodeOf(service: string, content: string): string | undefined;
}

/** What becomes of a request at the node where it begins. */
export type Admission =
  | { readonly type: 'routed' }
  /** It may run at the target beside this node and at no other. */
  | { readonly type: 'trial'; readonly node: string }
  | { readonly type: 'refused'; readonly failure: Failure };

const ROUTED: Admission = { type: 'routed' };
/** Told when no target is there for a trial, in milliseconds. */
const NO_TRIAL_RETRY_MS = 1_000;

/** See the module comment. */
export class RequestQuarantine implements QuarantineExchange {
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

  /** Whether a request is routed, at the node where it begins. */
  admit(call: AttemptCall): Admission {
    if (this.table.size === 0) return ROUTED;
    const key = keyOfCall(call);
    const refusal = toFailure(key, this.table.admit(this.options.clock.now(), key));
    if (refusal !== undefined) return { type: 'refused', failure: refusal };
    if (!this.table.isTrial(key)) return ROUTED;
    const node = this.options.trialNodeOf(call.service, key.content);
    return node === undefined
      ? { type: 'refused', failure: noTrialTarget() }
      : { type: 'trial', node };
  }

  /**
   * Second check at the target's node: the node where the request began may not have received the crash
   * reports, and others may send a trial at the same time. The failure says that it was not run and
   * when to come back.
   */
  admitRun(call: AttemptCall): Failure | undefined {
    if (this.table.size === 0) return undefined;
    const key = keyOfCall(call);
    return toFailure(key, this.table.admitRun(this.options.clock.now(), key));
  }

  /** Whether a request may be sent to another target after one has failed it. */
  mayRepeat(call: AttemptCall): boolean {
    if (this.table.size === 0) return true;
    return this.table.endsOf(keyOfCall(call)) < HELD_ENDS;
  }

  /** The own target ended while it ran these requests. */
  noteTargetEnd(target: string, requests: readonly RequestKey[]): void {
    const end = { target, ageMs: 0, requests };
    const fresh = this.takeEnd(end);
    this.options.log.emit(Event.TargetEnded, {
      target,
      running: requests.length,
      suspects: fresh.length,
      requests: fresh
        .slice(0, MAX_LOGGED)
        .map(({ content }) => content)
        .join(' '),
    });
    if (fresh.length === 0) return;
    this.options.broadcast({ type: 'target-ends', ends: [{ ...end, requests: fresh }] });
  }

  /** The own target gave a whole answer. */
  noteServed(call: AttemptCall): void {
    const key = keyOfCall(call);
    // Suspicions of one end are left to fade elsewhere: most are of requests that never come again.
    if (this.clear(key) < HELD_ENDS) return;
    this.options.broadcast({ type: 'requests-cleared', requests: [key] });
  }

  currentUpdate(): QuarantineUpdate | undefined {
    const now = this.options.clock.now();
    this.table.expire(now);
    if (this.table.size === 0) return undefined;
    return { type: 'target-ends', ends: this.table.ends(now) };
  }

  onUpdate(update: QuarantineUpdate, reply: SendUpdate): void {
    if (update.type === 'target-ends') this.onEnds(update.ends, reply);
    else this.onCleared(update.requests);
  }

  private onEnds(ends: readonly TargetEnd[], reply: SendUpdate): void {
    this.table.expire(this.options.clock.now());
    const all = ends.flatMap(({ requests }) => requests);
    const cleared = all.filter((request) => this.table.isServed(request));
    if (cleared.length > 0) reply({ type: 'requests-cleared', requests: cleared });
    const fresh = ends
      .map((end) => ({ ...end, requests: this.takeEnd(end) }))
      .filter(({ requests }) => requests.length > 0);
    if (fresh.length > 0) this.options.broadcast({ type: 'target-ends', ends: fresh });
  }

  private onCleared(requests: readonly RequestKey[]): void {
    const cleared = requests.filter((request) => this.clear(request) > 0);
    if (cleared.length === 0) return;
    this.options.broadcast({ type: 'requests-cleared', requests: cleared });
  }

  /** Returns the requests for which the end was not known. */
  private takeEnd(end: TargetEnd): readonly RequestKey[] {
    const now = this.options.clock.now();
    const fresh = this.table.noteEnd(now, end);
    for (const request of fresh) {
      const verdict = this.table.check(now, request);
      if (verdict.type !== 'free') this.logVerdict(request, verdict);
    }
    return fresh;
  }

  private logVerdict(
    { content, caller }: RequestKey,
    verdict: Exclude<Verdict, { type: 'free' }>,
  ): void {
    const { type, targets, ageMs } = verdict;
    this.options.log.emit(Event.RequestQuarantined, {
      request: content,
      caller,
      verdict: type,
      targets: targets.join(' '),
      ageMs: Math.round(ageMs),
    });
  }

  private clear(request: RequestKey): number {
    const ends = this.table.noteServed(request);
    if (ends >= HELD_ENDS) {
      this.options.log.emit(Event.QuarantineLifted, {
        request: request.content,
        caller: request.caller,
        ends,
      });
    }
    return ends;
  }
}

function toFailure({ content }: RequestKey, verdict: Verdict): Failure | undefined {
  if (verdict.type === 'free') return undefined;
  const { targets, retryAfterMs } = verdict;
  const detail = `${targets.length} targets ended under this request (${content})`;
  return createFailure(ResultCode.RequestQuarantined, detail, {
    execution: 'not-run',
    retryAfterMs,
  });
}

function noTrialTarget(): Failure {
  const detail = 'targets ended under this request, and the one for its next trial is not in reach';
  return createFailure(ResultCode.RequestQuarantined, detail, {
    execution: 'not-run',
    retryAfterMs: NO_TRIAL_RETRY_MS,
  });
}
