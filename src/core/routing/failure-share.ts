/**
 * Share of the recent attempts sent to a target that got no answer, or a failure of the target itself as
 * the answer, as the gate sees it.
 */
import type { AttemptOutcome } from '../request.js';

/** Time in which the weight of an attempt decays to about a third, in milliseconds. */
const TIME_CONSTANT_MS = 2_000;
/** Answered attempts added to those counted, so that one failure among few has little effect. */
const ASSUMED_ANSWERS = 5;

/** Counts that decay with time. */
export class FailureShare {
  private failed = 0;
  private ended = 0;
  private updatedAt = 0;

  /** Records the end of an attempt; one that was not run, or was cancelled, does not count. */
  note(now: number, outcome: AttemptOutcome): void {
    const isFailed = outcome === 'failed' || outcome === 'timeout';
    if (!isFailed && outcome !== 'success') return;
    this.decay(now);
    this.ended += 1;
    if (isFailed) this.failed += 1;
  }

  /** The share, from 0 to 1. */
  at(now: number): number {
    this.decay(now);
    return this.failed / (this.ended + ASSUMED_ANSWERS);
  }

  private decay(now: number): void {
    const factor = Math.exp((this.updatedAt - now) / TIME_CONSTANT_MS);
    this.updatedAt = now;
    this.failed *= factor;
    this.ended *= factor;
  }
}
