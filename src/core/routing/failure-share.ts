/**
 * Share of late attempts that were sent to a target and got no answer, or its own failure as one, as the
 * gate sees it.
 */
import type { AttemptOutcome } from '../request.js';

/** Time after which an attempt counts for a third, in milliseconds. */
const TIME_CONSTANT_MS = 2_000;
/** Answered attempts that are assumed before any was seen, so that one failure says little. */
const ASSUMED_ANSWERS = 5;

/** Counts that decay with time. */
export class FailureShare {
  private failed = 0;
  private ended = 0;
  private updatedAt = 0;

  /** Takes in the end of an attempt; one that was not sent, or given up, says nothing. */
  note(now: number, outcome: AttemptOutcome): void {
    const isFailed = outcome === 'failed' || outcome === 'timeout';
    if (!isFailed && outcome !== 'success') return;
    this.decay(now);
    this.ended += 1;
    if (isFailed) this.failed += 1;
  }

  /** From 0 to 1. */
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
