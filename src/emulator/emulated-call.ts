/**
 * One call that a node routes: entry admission, target choice, attempts and retries. It models in
 * virtual time what `src/entry` does on sockets.
 */
import { AttemptBudget } from '../core/attempt-budget.js';
import type { Refusal, RetryState, ServiceRouter } from '../core/overload.js';
import type { RequestContext } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';
import { type AttemptEnd, attemptsExhausted, unanswered } from './attempt-end.js';
import type { CallSite } from './deployment.js';
import type { EmulatedNode } from './emulated-node.js';
import type { ScheduledEvent } from './event-queue.js';
import type { CallEnd, RequestRecord } from './request-record.js';
import { UnsharedAttempts } from './unshared-attempts.js';
import type { AttemptReceiver, IncomingAttempt, SimulationContext } from './simulation-context.js';

/** Maximum number of attempts of one call at one hop, as in `src/entry/routed-call.ts`. */
const MAX_ATTEMPTS_PER_HOP = 16;

/** One call to make. */
export interface CallOptions {
  readonly site: CallSite;
  readonly record: RequestRecord;
  /** Attempts for the call and everything below it. */
  readonly attempts: number;
  /** Absolute deadline, in virtual milliseconds. */
  readonly deadline: number;
  readonly onEnd: (end: CallEnd) => void;
}

interface CurrentAttempt {
  readonly incoming: IncomingAttempt;
  readonly side: AttemptReceiver;
  readonly target: string;
  readonly sentAt: number;
  readonly granted: number;
  readonly timer: ScheduledEvent;
}

/** A call in progress. */
export class EmulatedCall {
  private readonly router: ServiceRouter;
  private readonly budget: Pick<AttemptBudget, 'remaining' | 'used' | 'grant' | 'settle'>;
  private context: RequestContext;
  private current: CurrentAttempt | undefined;
  private readonly tried: string[] = [];
  private mayHaveRun = false;
  private ended = false;

  constructor(
    private readonly simulation: SimulationContext,
    private readonly node: EmulatedNode,
    private readonly options: CallOptions,
  ) {
    const { site, attempts } = options;
    this.router = node.router(site.service, this.now());
    this.budget = simulation.profile.sharesAttempts
      ? new AttemptBudget(attempts, simulation.needOf(site.service))
      : new UnsharedAttempts();
    this.context = this.createContext();
  }

  /** Attempts used so far, grants that are not settled yet included. */
  get attemptsUsed(): number {
    return this.budget.used;
  }

  /** Starts the call with entry admission. */
  start(): void {
    const { record, site } = this.options;
    record.reachedSites[site.index] = 1;
    this.node.calls.add(this);
    const refusal = this.router.admit(this.now(), this.context);
    if (refusal === undefined) this.startNextAttempt();
    else this.finishRefused(refusal, 'admission');
  }

  /** Cancels the call when its caller disconnected, if the policy's data path cancels. */
  cancel(): void {
    if (this.ended || !this.simulation.profile.cancels) return;
    this.ended = true;
    this.node.calls.delete(this);
    const attempt = this.current;
    if (attempt === undefined) return;
    this.abandon(attempt, 'cancelled');
    this.reportOutcome(attempt, 'cancelled');
  }

  /** Drops the call without a result, because the node that makes it is lost. */
  discard(): void {
    this.ended = true;
    if (this.current !== undefined) this.current.timer.cancelled = true;
    this.current = undefined;
  }

  /** Ends the current attempt when its target's node is in the lost zone. */
  onZoneLost(zone: string): void {
    const attempt = this.current;
    if (attempt?.side.node.zone !== zone) return;
    this.onAttemptEnd(attempt, unanswered('failed', ResultCode.PeerLost, attempt.granted));
  }

  private now(): number {
    return this.simulation.queue.now();
  }

  private createContext(): RequestContext {
    const { site, record, deadline } = this.options;
    const { kind } = site;
    const ownDeadline = this.now() + kind.deadlineMs;
    return {
      requestId: record.id,
      tenant: this.simulation.deployment.tenant,
      service: site.service,
      kind: kind.name,
      // A back end's calls have the criticality of the caller's request.
      criticality: record.kind.criticality,
      deadline: this.simulation.profile.propagatesDeadline
        ? Math.min(deadline, ownDeadline)
        : ownDeadline,
      idempotent: kind.idempotent,
      depth: site.depth,
    };
  }

  private startNextAttempt(): void {
    if (this.ended) return;
    const granted = this.budget.grant();
    if (granted === 0) {
      this.finishRefused(attemptsExhausted(), 'attempts');
      return;
    }
    const pick = this.router.pick(this.now(), this.context, this.tried);
    if (pick.type === 'refuse') {
      this.budget.settle(granted, 0);
      this.finishRefused(pick.refusal, 'routing');
      return;
    }
    this.sendAttempt(pick.target, granted);
  }

  private sendAttempt(target: string, granted: number): void {
    // Without deadline propagation each attempt has its own timeout.
    if (!this.simulation.profile.propagatesDeadline) this.context = this.createContext();
    const { site, record } = this.options;
    const side = this.simulation.targetSide(target);
    const incoming: IncomingAttempt = {
      id: this.simulation.nextAttemptId(),
      site,
      record,
      context: this.context,
      granted,
      reply: (end) => {
        this.simulation.send(side.node.zone, this.node.zone, () => {
          if (this.current === attempt) this.onAttemptEnd(attempt, end);
        });
      },
    };
    const timer = this.simulation.queue.scheduleAt(this.context.deadline, () => {
      this.onTimeout(attempt);
    });
    const attempt: CurrentAttempt = {
      incoming,
      side,
      target,
      sentAt: this.now(),
      granted,
      timer,
    };
    this.current = attempt;
    this.tried.push(target);
    this.simulation.send(this.node.zone, side.node.zone, () => {
      side.receive(incoming);
    });
  }

  private onTimeout(attempt: CurrentAttempt): void {
    if (this.simulation.profile.cancels) this.abandon(attempt, 'timeout');
    const end = unanswered('timeout', ResultCode.DeadlineExceeded, attempt.granted);
    this.onAttemptEnd(attempt, end);
  }

  /** Cancels an attempt; the message takes the same link, so it arrives after the attempt. */
  private abandon(attempt: CurrentAttempt, outcome: 'cancelled' | 'timeout'): void {
    attempt.timer.cancelled = true;
    const { side, incoming } = attempt;
    this.simulation.send(this.node.zone, side.node.zone, () => {
      side.cancel(incoming, outcome);
    });
  }

  private reportOutcome(attempt: CurrentAttempt, outcome: AttemptEnd['outcome']): void {
    this.current = undefined;
    const latencyMs = this.now() - attempt.sentAt;
    const { target } = attempt;
    const { kind } = this.context;
    this.router.onOutcome(this.now(), { target, kind, outcome, latencyMs });
  }

  private onAttemptEnd(attempt: CurrentAttempt, end: AttemptEnd): void {
    attempt.timer.cancelled = true;
    this.current = undefined;
    this.budget.settle(attempt.granted, end.attemptsUsed);
    this.router.onOutcome(this.now(), {
      target: attempt.target,
      kind: this.context.kind,
      outcome: end.outcome,
      latencyMs: this.now() - attempt.sentAt,
      ...(end.load === undefined ? {} : { load: end.load }),
      ...(end.retryAfterMs === undefined ? {} : { retryAfterMs: end.retryAfterMs }),
    });
    this.mayHaveRun ||= end.mayHaveRun;
    if (end.outcome === 'success') this.finish(end.complete ? 'complete' : 'failed', end.code);
    else this.decideRetry(end);
  }

  private decideRetry(end: AttemptEnd): void {
    const state: RetryState = {
      attemptsMade: this.tried.length,
      attemptsLeft: this.budget.remaining,
      lastOutcome: end.outcome,
      mayHaveRun: this.mayHaveRun,
      ...(end.retryAfterMs === undefined ? {} : { retryAfterMs: end.retryAfterMs }),
    };
    if (this.simulation.profile.sharesAttempts && this.isRetryRuledOut(end)) {
      this.giveUp(end, end.retryAfterMs);
      return;
    }
    const decision = this.router.decideRetry(this.now(), this.context, state);
    if (decision.type === 'retry') {
      this.retryAfter(decision.delayMs);
    } else {
      const { retryAfterMs } = decision.refusal;
      this.giveUp(end, Math.max(end.retryAfterMs ?? 0, retryAfterMs));
    }
  }

  /** Whether the data path forbids another attempt, whatever the policy decides. */
  private isRetryRuledOut(end: AttemptEnd): boolean {
    const mayRetry = this.context.idempotent || !end.mayHaveRun;
    return !mayRetry || this.budget.remaining < 1 || this.tried.length >= MAX_ATTEMPTS_PER_HOP;
  }

  private giveUp(end: AttemptEnd, retryAfterMs: number | undefined): void {
    if (end.outcome === 'timeout') this.finish('timeout', end.code);
    else if (this.mayHaveRun) this.finish('failed', end.code);
    else this.finish('refused', end.code, retryAfterMs);
  }

  private retryAfter(delayMs: number): void {
    if (
      this.simulation.profile.propagatesDeadline &&
      this.now() + delayMs >= this.context.deadline
    ) {
      this.finish('timeout', ResultCode.DeadlineExceeded);
      return;
    }
    if (delayMs <= 0) {
      this.startNextAttempt();
      return;
    }
    this.simulation.queue.schedule(delayMs, () => {
      this.startNextAttempt();
    });
  }

  private finishRefused(refusal: Refusal, place: 'admission' | 'routing' | 'attempts'): void {
    const { record, site } = this.options;
    this.simulation.recorder.onRefusal(record, site, place, refusal.code);
    this.finish(this.mayHaveRun ? 'failed' : 'refused', refusal.code, refusal.retryAfterMs);
  }

  private finish(result: CallEnd['result'], code: ResultCode, retryAfterMs?: number): void {
    if (this.ended) return;
    this.ended = true;
    this.node.calls.delete(this);
    const { mayHaveRun, budget } = this;
    this.options.onEnd({ result, code, retryAfterMs, mayHaveRun, attemptsUsed: budget.used });
  }
}
