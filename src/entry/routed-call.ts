/** One call from its admission to its final result: claim, attempts, retries. */
import type { AttemptFailure, AttemptResult } from '../core/attempt.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { Refusal, ServiceRouter } from '../core/overload.js';
import { ResultCode, type Execution } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import type { AttemptSource } from './attempt-source.js';
import type { CallResult, InboundCall } from './call-router.js';
import type { ClaimGuard } from './claim-guard.js';
import type { TargetCaller } from './target-caller.js';

/** Bounds the attempts of one call at one hop, because refusals by targets cost no attempts. */
const MAX_ATTEMPTS_PER_HOP = 16;

/** Signal of attempts that are not cancelled. */
const NEVER_ABORTED = new AbortController().signal;

export interface RoutedCallOptions {
  readonly call: InboundCall;
  readonly signal: AbortSignal;
  readonly router: ServiceRouter;
  readonly attempts: AttemptSource;
  readonly caller: TargetCaller;
  readonly clock: Clock;
  readonly createAttemptId: () => string;
  /** Present for calls that may take effect at most once. */
  readonly claim?: ClaimGuard;
}

export class RoutedCall {
  private readonly tried: string[] = [];
  /** Whether an earlier attempt may have taken effect. */
  private mayHaveRun = false;
  private notAfter: number | undefined;

  constructor(private readonly options: RoutedCallOptions) {}

  /** Runs the call; never rejects. */
  async run(): Promise<CallResult> {
    const { router, call, clock, claim } = this.options;
    const refusal = router.admit(clock.now(), call.context);
    if (refusal !== undefined) return this.refuse(refusal);
    if (claim === undefined) return this.attemptAndRelease();
    const outcome = await claim.claim();
    if (outcome.type === 'final') return outcome.result;
    this.notAfter = outcome.notAfter;
    const result = await this.attemptAndRelease();
    claim.settle(result);
    return result;
  }

  /** Releases unused attempts before the claim is settled, because a caller's retry needs both. */
  private async attemptAndRelease(): Promise<CallResult> {
    const result = await this.attemptUntilEnd();
    this.options.attempts.release();
    return result;
  }

  private async attemptUntilEnd(): Promise<CallResult> {
    for (;;) {
      const ended = this.checkEnd();
      if (ended !== undefined) return this.fail(ended);
      const result = await this.attemptOnce();
      if (result.type === 'final') return result.result;
      const final = await this.afterFailure(result.failure);
      if (final !== undefined) return final;
    }
  }

  private checkEnd(): Failure | undefined {
    const { signal, clock, call } = this.options;
    if (signal.aborted) return createFailure(ResultCode.Cancelled, 'the caller went away');
    if (clock.now() >= call.context.deadline) {
      return createFailure(ResultCode.DeadlineExceeded, 'the deadline of the request has passed');
    }
    return undefined;
  }

  private async attemptOnce(): Promise<AttemptEnd> {
    const { router, call, clock, attempts } = this.options;
    const picked = router.pick(clock.now(), call.context, this.tried);
    if (picked.type === 'refuse') return finalEnd(this.refuse(picked.refusal));
    const granted = await attempts.grant(clock.now());
    if (granted.isErr) return finalEnd(this.fail(granted.error));
    const started = clock.now();
    const result = await this.callTarget(picked.target, granted.value);
    attempts.settle(granted.value, result.attemptsUsed);
    this.tried.push(picked.target);
    this.report(picked.target, result, started);
    if (result.type === 'failure') return { type: 'failed', failure: result };
    const { answer } = result;
    return finalEnd({ type: 'answer', answer, attemptsUsed: attempts.attemptsUsed });
  }

  private callTarget(target: string, attemptsGranted: number): Promise<AttemptResult> {
    const { call, caller, createAttemptId } = this.options;
    const attempt = {
      attemptId: createAttemptId(),
      target,
      context: call.context,
      request: call.request,
      attemptsGranted,
    };
    const { notAfter } = this;
    if (notAfter === undefined) return caller.call(attempt, this.options.signal);
    // It may take effect only once: it continues without its caller, whose retry gets the answer.
    return caller.call({ ...attempt, notAfter }, NEVER_ABORTED);
  }

  private report(target: string, result: AttemptResult, started: number): void {
    const now = this.options.clock.now();
    const retryAfterMs = result.type === 'failure' ? result.failure.retryAfterMs : undefined;
    this.options.router.onOutcome(now, {
      target,
      kind: this.options.call.context.kind,
      outcome: result.outcome,
      latencyMs: now - started,
      ...(result.load === undefined ? {} : { load: result.load }),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }

  /** Waits until the next attempt, or returns the final result. */
  private async afterFailure(result: AttemptFailure): Promise<CallResult | undefined> {
    const { router, call, clock, attempts, signal } = this.options;
    const { failure } = result;
    const mayHaveRun = failure.execution !== 'not-run';
    this.mayHaveRun ||= mayHaveRun;
    const mayRetry = call.context.idempotent || !mayHaveRun;
    const noFurtherAttempt =
      signal.aborted || attempts.remaining < 1 || this.tried.length >= MAX_ATTEMPTS_PER_HOP;
    if (!mayRetry || noFurtherAttempt) return this.fail(failure);
    const decision = router.decideRetry(clock.now(), call.context, {
      attemptsMade: this.tried.length,
      attemptsLeft: attempts.remaining,
      lastOutcome: result.outcome,
      mayHaveRun,
      ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs }),
    });
    if (decision.type === 'give-up') return this.giveUp(failure, decision.refusal);
    const timeLeft = call.context.deadline - clock.now();
    if (decision.delayMs >= timeLeft) return this.fail(failure);
    await this.sleep(decision.delayMs);
    return undefined;
  }

  private sleep(delayMs: number): Promise<void> {
    if (delayMs <= 0) return Promise.resolve();
    const { clock, signal } = this.options;
    return new Promise((resolve) => {
      const cancel = clock.schedule(delayMs, () => {
        signal.removeEventListener('abort', onAbort);
        resolve();
      });
      const onAbort = (): void => {
        cancel();
        resolve();
      };
      signal.addEventListener('abort', onAbort, { once: true });
    });
  }

  /** Reports the last failure, which says more than the refusal, with the longer retry time. */
  private giveUp(failure: Failure, refusal: Refusal): CallResult {
    const retryAfterMs = Math.max(failure.retryAfterMs ?? 0, refusal.retryAfterMs);
    const detail = `${failure.detail}; no further attempt: ${refusal.detail}`;
    return this.fail({ ...failure, detail, retryAfterMs });
  }

  private refuse(refusal: Refusal): CallResult {
    const { code, detail, retryAfterMs } = refusal;
    return this.fail(createFailure(code, detail, { execution: 'not-run', retryAfterMs }));
  }

  /** Fails with what is known about the whole call, not only about its last attempt. */
  private fail(failure: Failure): CallResult {
    const execution = this.executionAfter(failure);
    const { attemptsUsed } = this.options.attempts;
    return { type: 'failure', failure: { ...failure, execution }, attemptsUsed };
  }

  private executionAfter(failure: Failure): Execution {
    if (failure.execution === 'run') return 'run';
    return this.mayHaveRun ? 'unknown' : 'not-run';
  }
}

/** End of one attempt: the call's result, or a failure that another attempt may follow. */
type AttemptEnd =
  | { readonly type: 'final'; readonly result: CallResult }
  | { readonly type: 'failed'; readonly failure: AttemptFailure };

function finalEnd(result: CallResult): AttemptEnd {
  return { type: 'final', result };
}
