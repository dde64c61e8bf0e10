/**
 * Limits the retries that this node sends to one service: to a share of its requests for the service
 * over a sliding window, plus its part of the slack that all nodes share. Since every node stays
 * within its part, all nodes together stay within the total without exchanging messages.
 *
 * Calls made by an attempt that is itself a retry count as retries too and are recorded when they
 * arrive; above a second, higher share they are refused. Retries of the calls themselves may use what
 * is left of the first share.
 *
 * In a large fleet a node's part is less than one retry, so that no node could retry at all if parts were
 * rounded down. Parts are rounded up at random, once a window, so that their sum keeps its mean.
 */
import type { Random } from '../../core/random.js';

/** Parameters of {@link WindowedRetryBudget}. */
export interface WindowedRetryBudgetOptions {
  /** Retries as a share of requests; 0 to 1. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries in a window beyond the share, for this node alone. */
  readonly slack: number;
  /**
   * Retries as a share of requests, 0 to 1, above which the calls of attempts that are retries are refused;
   * absent: they are never refused.
   */
  readonly callRatio?: number;
}

const BUCKETS = 10;
/** One more, so that they cover a whole window although the newest is not complete. */
const RETRY_BUCKETS = BUCKETS + 1;
/**
 * Part of the share that is available until the parent attempt has had a call served. The rest is reserved
 * for later calls, whose failure wastes the most work. This matters while targets refuse or lose more calls
 * than the budget covers.
 */
const FIRST_CALLS_SHARE = 0.6;

/** Counts in buckets of a tenth of the window; a bucket expires as a whole. */
export class WindowedRetryBudget {
  private readonly requests = new Float64Array(BUCKETS);
  private readonly retries = new Float64Array(RETRY_BUCKETS);
  private current = 0;
  private period = -1;
  /** Random number that is added to the part in this period before it is rounded down, 0 to 1. */
  private rounding = 0;

  /** @param random source for the rounding; absent: parts are rounded down */
  constructor(
    private readonly options: WindowedRetryBudgetOptions,
    private readonly random?: Random,
  ) {}

  /**
   * Records a request for the service.
   *
   * @param isFromRetry whether the attempt that makes the request is itself a retry
   */
  noteRequest(now: number, isFromRetry = false): void {
    this.advance(now);
    this.requests[this.current % BUCKETS]! += 1;
    if (isFromRetry) this.noteRetry();
  }

  /**
   * Records a request for the service, unless it is the call of an attempt that is a retry and retries have
   * reached `callRatio`. Calls of a retry can outnumber those of first attempts, which end at their first
   * failed call, so that bounds on retries upstream do not bound the calls.
   *
   * @param slack as for {@link spend}
   * @returns whether the request may be sent
   */
  admit(now: number, isFromRetry: boolean, slack = this.options.slack): boolean {
    this.advance(now);
    const { callRatio } = this.options;
    if (isFromRetry && callRatio !== undefined) {
      const allowed = callRatio * sum(this.requests) + slack + this.drawRounding(now);
      if (sum(this.retries) + 1 > allowed) return false;
    }
    this.noteRequest(now, isFromRetry);
    return true;
  }

  /**
   * Takes one retry; returns false when none is left.
   *
   * @param slack this node's part of the shared slack, which depends on the number of nodes
   * @param isFirstCall whether no call of the parent attempt has been served yet
   */
  spend(now: number, slack = this.options.slack, isFirstCall = false): boolean {
    this.advance(now);
    const share = isFirstCall ? FIRST_CALLS_SHARE : 1;
    const part = share * this.options.ratio * sum(this.requests) + slack;
    const allowed = part + this.drawRounding(now);
    const recent = sum(this.retries) - this.retries[(this.current + 1) % RETRY_BUCKETS]!;
    if (recent + 1 > allowed) return false;
    this.noteRetry();
    return true;
  }

  private noteRetry(): void {
    this.retries[this.current % RETRY_BUCKETS]! += 1;
  }

  private drawRounding(now: number): number {
    const period = Math.floor(now / this.options.windowMs);
    if (period !== this.period) {
      this.period = period;
      this.rounding = this.random?.next() ?? 0;
    }
    return this.rounding;
  }

  private advance(now: number): void {
    const bucket = Math.floor((now * BUCKETS) / this.options.windowMs);
    const steps = Math.min(RETRY_BUCKETS, bucket - this.current);
    for (let step = 1; step <= steps; step += 1) {
      const passed = bucket - steps + step;
      this.requests[passed % BUCKETS] = 0;
      this.retries[passed % RETRY_BUCKETS] = 0;
    }
    if (steps > 0) this.current = bucket;
  }
}

function sum(counts: Float64Array): number {
  return counts.reduce((total, count) => total + count, 0);
}
