/** Whether a failed attempt is followed by another one. */
import type { Refusal, RetryDecision, RetryState } from '../overload.js';
import type { Random } from '../random.js';
import type { AttemptOutcome, RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { backoff } from './backoff.js';
import type { RetryBudget } from './retry-budget.js';

/** What the router knows that bears on a retry. */
export interface RetryEnvironment {
  readonly now: number;
  /** Whether a target clearly has room for the request. */
  readonly hasSpareCapacity: boolean;
  /** Typical time of a request at the service, in milliseconds. */
  readonly typicalLatencyMs: number;
  /** Retry time to report, in milliseconds; asked only when the request is given up. */
  retryAfterMs(): number;
}

/** Code of a request given up after an outcome. */
const GIVE_UP_CODES: Readonly<Record<AttemptOutcome, ResultCode>> = {
  success: ResultCode.Ok,
  overloaded: ResultCode.TargetRefused,
  draining: ResultCode.NoTargetAvailable,
  unreachable: ResultCode.TargetUnreachable,
  failed: ResultCode.AnswerIncomplete,
  timeout: ResultCode.AnswerTimeout,
  cancelled: ResultCode.Cancelled,
};

/** Outcomes after which another attempt can help. */
const RETRYABLE_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  'overloaded',
  'draining',
  'unreachable',
  'failed',
]);

/** Decides on retries of one service; draws on its budget. */
export class RetryPolicy {
  constructor(
    private readonly budget: RetryBudget,
    private readonly random: Random,
  ) {}

  /** Decides; takes a token when it says retry. */
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
    // A leaving target refuses each request once; these retries are not load.
    if (lastOutcome !== 'draining' && !this.budget.spend()) {
      return giveUp(ResultCode.RetryBudgetExhausted, 'retry budget exhausted');
    }
    return { type: 'retry', delayMs };
  }

  /** Attempts that were not run go to another target at once; others back off. */
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
