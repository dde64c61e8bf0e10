/**
 * Ejection of a target that fails while others do not (outlier detection, as in Envoy).
 * The router decides whether an ejection takes effect; it never leaves a service without targets.
 */
import type { AttemptOutcome } from '../request.js';

/** Attempts in a row that could not reach a target, after which it is ejected. */
const MAX_UNREACHABLE = 2;
/** Attempts in a row that were sent and not answered, after which a target is ejected. */
const MAX_FAILED = 5;
/** Duration of the first ejection, in milliseconds; doubled with each further one. */
const FIRST_EJECTION_MS = 250;
/** Longest duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 4_000;

type Verdict = 'alive' | 'unreachable' | 'failed' | 'unknown';

const VERDICTS: Readonly<Record<AttemptOutcome, Verdict>> = {
  success: 'alive',
  overloaded: 'alive',
  draining: 'alive',
  'rate-limited': 'alive',
  unreachable: 'unreachable',
  failed: 'failed',
  timeout: 'failed',
  cancelled: 'unknown',
};

/** Consecutive failures of one target, and its ejection. */
export class OutlierDetection {
  private unreachable = 0;
  private failed = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;
  private probing = false;

  /** Records the outcome of one attempt. */
  noteOutcome(now: number, outcome: AttemptOutcome): void {
    const verdict = VERDICTS[outcome];
    this.probing = false;
    if (verdict === 'alive') this.reset();
    if (verdict === 'unreachable') this.unreachable += 1;
    if (verdict === 'failed') this.failed += 1;
    const isOutlier = this.unreachable >= MAX_UNREACHABLE || this.failed >= MAX_FAILED;
    if (isOutlier && now >= this.ejectedUntil) this.eject(now);
  }

  /** Whether the target is ejected, or is being probed after an ejection. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil || (this.ejections > 0 && this.probing);
  }

  /** Whether attempts could not reach the target, so that none could succeed. */
  get isUnreachable(): boolean {
    return this.unreachable >= MAX_UNREACHABLE;
  }

  /** Records that an attempt is sent; the first after an ejection is a probe. */
  noteSent(): void {
    if (this.ejections > 0) this.probing = true;
  }

  private reset(): void {
    this.unreachable = 0;
    this.failed = 0;
    this.ejections = 0;
    this.ejectedUntil = -Infinity;
  }

  private eject(now: number): void {
    const duration = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntil = now + duration;
  }
}
