/**
 * Keeps a request away from the remaining targets after targets crashed while they ran it. The crashes that
 * this node has seen and the reports of all other nodes are merged in one table. They are gossiped over open
 * links, since the store may be unavailable when targets crash.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import {
  HELD_CRASHES,
  SuspectTable,
  type RequestKey,
  type TargetCrash,
  type Verdict,
} from '../../core/quarantine/suspect-table.js';
import { ResultCode } from '../../core/result-code.js';
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { AttemptCall } from '../link/link-messages.js';
import type { QuarantineExchange, QuarantineUpdate, SendUpdate } from './quarantine-update.js';
import { keyOfCall } from './request-key.js';

/** Maximum number of requests in one log line. */
const MAX_LOGGED = 8;

export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Sends an update to all connected nodes. */
  broadcast(update: QuarantineUpdate): void;
  /** The node whose target runs the trials of a content; undefined while none is reachable. */
  trialNodeOf(service: string, content: string): string | undefined;
}

/** Decision on a request at its entry node. */
export type Admission =
  | { readonly type: 'routed' }
  /** It may run only at the target of this `node`. */
  | { readonly type: 'trial'; readonly node: string }
  | { readonly type: 'refused'; readonly failure: Failure };

const ROUTED: Admission = { type: 'routed' };
/** Retry delay for callers while no target is reachable for a trial, in milliseconds. */
const NO_TRIAL_RETRY_MS = 1_000;

/** Decides which requests may run, from the crashes of targets that nodes report. */
export class RequestQuarantine implements QuarantineExchange {
  private readonly table = new SuspectTable();

  constructor(private readonly options: RequestQuarantineOptions) {}

  /** Number of suspect requests. */
  get suspects(): number {
    return this.table.size;
  }

  /** Number of requests that are kept from targets. */
  get quarantined(): number {
    return this.table.quarantined;
  }

  /** Decides at the entry node of a request whether it is routed. */
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
   * Second check at the target's node: the entry node may not have received the crash reports, and other nodes
   * may send a trial at the same time. The failure states that the request was not run and when to retry.
   */
  admitRun(call: AttemptCall): Failure | undefined {
    if (this.table.size === 0) return undefined;
    const key = keyOfCall(call);
    return toFailure(key, this.table.admitRun(this.options.clock.now(), key));
  }

  /** Whether a request may be sent to another target after one target failed it. */
  mayRetry(call: AttemptCall): boolean {
    if (this.table.size === 0) return true;
    return this.table.countCrashes(keyOfCall(call)) < HELD_CRASHES;
  }

  /** Records that the local target crashed while it ran these requests, and broadcasts it. */
  noteTargetCrash(target: string, requests: readonly RequestKey[]): void {
    const crash = { target, ageMs: 0, requests };
    const added = this.recordCrash(crash);
    this.options.log.emit(Event.TargetEnded, {
      target,
      running: requests.length,
      suspects: added.length,
      requests: added
        .slice(0, MAX_LOGGED)
        .map(({ content }) => content)
        .join(' '),
    });
    if (added.length === 0) return;
    this.options.broadcast({ type: 'target-ends', ends: [{ ...crash, requests: added }] });
  }

  /** Records that the local target answered a request completely. */
  noteServed(call: AttemptCall): void {
    const key = keyOfCall(call);
    // Not broadcast after a single crash: other nodes let the suspicion expire, since most such requests are
    // never sent again.
    if (this.clear(key) < HELD_CRASHES) return;
    this.options.broadcast({ type: 'requests-cleared', requests: [key] });
  }

  currentUpdate(): QuarantineUpdate | undefined {
    const now = this.options.clock.now();
    this.table.expire(now);
    if (this.table.size === 0) return undefined;
    return { type: 'target-ends', ends: this.table.crashes(now) };
  }

  onUpdate(update: QuarantineUpdate, reply: SendUpdate): void {
    if (update.type === 'target-ends') this.onCrashes(update.ends, reply);
    else this.onCleared(update.requests);
  }

  private onCrashes(crashes: readonly TargetCrash[], reply: SendUpdate): void {
    this.table.expire(this.options.clock.now());
    const all = crashes.flatMap(({ requests }) => requests);
    const cleared = all.filter((request) => this.table.isServed(request));
    if (cleared.length > 0) reply({ type: 'requests-cleared', requests: cleared });
    const added = crashes
      .map((crash) => ({ ...crash, requests: this.recordCrash(crash) }))
      .filter(({ requests }) => requests.length > 0);
    if (added.length > 0) this.options.broadcast({ type: 'target-ends', ends: added });
  }

  private onCleared(requests: readonly RequestKey[]): void {
    const cleared = requests.filter((request) => this.clear(request) > 0);
    if (cleared.length === 0) return;
    this.options.broadcast({ type: 'requests-cleared', requests: cleared });
  }

  /** Records a crash; returns the requests for which it was not known before. */
  private recordCrash(crash: TargetCrash): readonly RequestKey[] {
    const now = this.options.clock.now();
    const added = this.table.noteCrash(now, crash);
    for (const request of added) {
      const verdict = this.table.check(now, request);
      if (verdict.type !== 'free') this.logVerdict(request, verdict);
    }
    return added;
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
    const crashes = this.table.noteServed(request);
    if (crashes >= HELD_CRASHES) {
      this.options.log.emit(Event.QuarantineLifted, {
        request: request.content,
        caller: request.caller,
        ends: crashes,
      });
    }
    return crashes;
  }
}

function toFailure({ content }: RequestKey, verdict: Verdict): Failure | undefined {
  if (verdict.type === 'free') return undefined;
  const { targets, retryAfterMs } = verdict;
  const detail = `${targets.length} targets crashed while they ran this request (${content})`;
  return createFailure(ResultCode.RequestQuarantined, detail, {
    execution: 'not-run',
    retryAfterMs,
  });
}

function noTrialTarget(): Failure {
  const detail =
    'targets crashed while they ran this request; the target for its next trial is unreachable';
  return createFailure(ResultCode.RequestQuarantined, detail, {
    execution: 'not-run',
    retryAfterMs: NO_TRIAL_RETRY_MS,
  });
}
