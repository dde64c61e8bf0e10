/**
 * Retries as a share of successful traffic: a token bucket, as the retry budgets of the
 * SRE book (chapter 22) and of Finagle.
 */

export interface RetryBudgetOptions {
  /** Tokens earned by one success. */
  readonly ratio: number;
  /** Maximum number of tokens. */
  readonly capacity: number;
}

/** One retry per twenty successes, and a burst of ten. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { ratio: 0.05, capacity: 10 };

/** Token bucket; starts full. */
export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.tokens = options.capacity;
  }

  /** Adds the tokens earned by one success. */
  earn(): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + this.options.ratio);
  }

  /** Takes the token of one retry; false when there is none. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
