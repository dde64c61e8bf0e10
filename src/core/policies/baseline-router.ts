/**
 * The calling side of the baselines: round robin, no admission, and immediate
 * retries per layer that use neither the request's attempt budget nor a retry budget. The
 * node's attempt ledger still bounds the attempts where one is in force.
 */
import type {
  PickResult,
  Refusal,
  RetryDecision,
  RetryState,
  ServiceRouter,
  TargetView,
} from '../overload.js';
import type { RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { BASELINE_RETRY_AFTER_MS } from './bounded-gate.js';

/** Retries after the first attempt, at each layer. */
export const BASELINE_RETRIES = 3;

/** Round robin with retries per layer. */
export class BaselineRouter implements ServiceRouter {
  private eligible: readonly string[] = [];
  private next = 0;

  updateTargets(_now: number, targets: readonly TargetView[]): void {
    this.eligible = targets.filter(({ eligible }) => eligible).map(({ id }) => id);
  }

  admit(): Refusal | undefined {
    return undefined;
  }

  pick(): PickResult {
    const target = this.eligible[this.next % this.eligible.length];
    this.next += 1;
    if (target !== undefined) return { type: 'target', target };
    return { type: 'refuse', refusal: refusal(ResultCode.NoTargetAvailable, 'no target') };
  }

  onOutcome(): void {}

  decideRetry(_now: number, request: RequestContext, state: RetryState): RetryDecision {
    const mayRetry = request.idempotent || !state.mayHaveRun;
    if (mayRetry && state.attemptsMade <= BASELINE_RETRIES) return { type: 'retry', delayMs: 0 };
    return { type: 'give-up', refusal: refusal(ResultCode.AttemptsExhausted, 'no retries left') };
  }

  threshold(): number {
    return 0;
  }
}

function refusal(code: ResultCode, detail: string): Refusal {
  return { code, detail, retryAfterMs: BASELINE_RETRY_AFTER_MS };
}
