/** Whether a failed attempt is followed by another one. */
import type { Refusal, RetryDecision, RetryState } from '../overload.js';
import type { Random } from '../random.js';
import type { AttemptOutcome, RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { backoff } from './backoff.js';
import type { RetryBudget } from './retry-budget.js';

/** Router state on which a retry decision depends. */
export interface RetryEnvironment {
  readonly now: number;
  /** Whether a target clearly has spare capacity for the request. */
  readonly hasSpareCapacity: boolean;
  /** Typical time of a request at the service, in milliseconds. */
  readonly typicalLatencyMs: number;
  /** Retry time to report, in milliseconds; called only when the request is given up. */
  retryAfterMs(): number;
}

/** Result code of a request that is given up, by the outcome of its last attempt. */
const GIVE_UP_CODES: Readonly<Record<AttemptOutcome, ResultCode>> = {
  success: ResultCode.Ok,
  overloaded: ResultCode.TargetRefused,
  draining: ResultCode.NoTargetAvailable,
  'rate-limited': ResultCode.TargetRateLimited,
  unreachable: ResultCode.TargetUnreachable,
  failed: ResultCode.AnswerIncomplete,
  timeout: ResultCode.AnswerTimeout,
  cancelled: ResultCode.Cancelled,
};

/** Outcomes after which another attempt can help. */
const RETRYABLE_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  'overloaded',
  'draining',
  'rate-limited',
  'unreachable',
  'failed',
]);

/** Decides on retries to one service, within its retry budget. */
export class RetryPolicy {
  constructor(
    private readonly budget: RetryBudget,
    private readonly random: Random,
  ) {}

  /** Decides on a retry, and takes a token of the budget for it. */
  decide(request: RequestContext, state: RetryState, environment: RetryEnvironment): RetryDecision {
    const { lastOutcome } = state;
    const giveUp = (code: ResultCode, detail: string): RetryDecision => ({
      type: 'give-up',
      refusal: createRefusal(code, detail, environment),
    });
    if (!isRetryable(request, state, environment)) {
      return giveUp(GIVE_UP_CODES[lastOutcome], `attempt ended as ${lastOutcome}`);
    }
    if (state.attemptsLeft <= 0) return giveUp(ResultCode.AttemptsExhausted, 'no attempts left');
    const delayMs = this.delay(state);
    if (environment.now + delayMs + environment.typicalLatencyMs > request.deadline) {
      return giveUp(ResultCode.DeadlineUnreachable, 'no time left for another attempt');
    }
    // A draining or rate-limited target was not offered the request; these retries add no load.
    const addsNoLoad = lastOutcome === 'draining' || lastOutcome === 'rate-limited';
    if (!addsNoLoad && !this.budget.spend()) {
      return giveUp(ResultCode.RetryBudgetExhausted, 'retry budget exhausted');
    }
    return { type: 'retry', delayMs };
  }

  /** The first retry goes to another target at once if the attempt was not run; others back off. */
  private delay({ lastOutcome, attemptsMade }: RetryState): number {
    if (attemptsMade === 1 && lastOutcome !== 'failed') return 0;
    return backoff(this.random, attemptsMade);
  }
}

function isRetryable(
  request: RequestContext,
  state: RetryState,
  environment: RetryEnvironment,
): boolean {
  if (!RETRYABLE_OUTCOMES.has(state.lastOutcome)) return false;
  if (state.mayHaveRun && !request.idempotent) return false;
  return state.lastOutcome !== 'overloaded' || environment.hasSpareCapacity;
}

function createRefusal(code: ResultCode, detail: string, environment: RetryEnvironment): Refusal {
  return { code, detail, retryAfterMs: environment.retryAfterMs() };
}
