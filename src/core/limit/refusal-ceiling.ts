/**
 * Upper bound of a limit, set by refusals of the target itself. A target that refuses while
 * `n` requests are in flight, the refused one included, can take at most `n - 1`. The bound
 * rises again in steps of one; a step that is refused makes the next pause longer. Refusals that
 * do not depend on the load set no bound.
 */
import { RefusalPattern } from './refusal-pattern.js';

/** Base of the pause before a step, in ms; the first refusal and each refused step double it. */
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 3_200;

/** Number of requests that a refusing target can take. */
export class RefusalCeiling {
  private limit = 1;
  private ceiling = Infinity;
  private pauseMs = FIRST_PAUSE_MS;
  private nextStepAt = -Infinity;
  private successesLeft = 0;
  private readonly pattern = new RefusalPattern();

  /** Returns the limit, bounded by the ceiling. */
  apply(limit: number): number {
    this.limit = limit;
    if (limit < this.ceiling) this.ceiling = Infinity;
    return Math.min(limit, this.ceiling);
  }

  /** Lowers the ceiling after the target refused a request for load. */
  onRefused(now: number, inFlight: number): void {
    this.pattern.note(now, true, inFlight, this.limit);
    if (this.pattern.isIndependentOfLoad) {
      this.ceiling = Infinity;
      return;
    }
    const capacity = Math.max(1, inFlight - 1);
    if (capacity >= this.ceiling && now < this.nextStepAt) return;
    const pauseEnded = now >= this.nextStepAt;
    this.ceiling = Math.min(this.ceiling, capacity);
    if (pauseEnded) this.pauseMs = Math.min(MAX_PAUSE_MS, 2 * this.pauseMs);
    this.nextStepAt = now + this.pauseMs;
  }

  /** Raises the ceiling by one after the pause; then again per ceiling's worth of answers. */
  onSuccess(now: number, inFlight: number): void {
    this.pattern.note(now, false, inFlight, this.limit);
    if (this.ceiling === Infinity || now < this.nextStepAt) return;
    this.successesLeft -= 1;
    if (this.successesLeft > 0) return;
    this.ceiling += 1;
    this.successesLeft = this.ceiling;
    this.pauseMs = Math.max(FIRST_PAUSE_MS, this.pauseMs / 2);
  }
}
