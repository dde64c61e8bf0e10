/**
 * Decides whether one target is leaving, from signs that lag or mislead. Any one sign suffices.
 * Only a restart or the end of the drain, as shown by the health endpoint, clears it. Pure.
 */

/** Result of a health poll. */
export type HealthState = 'starting' | 'serving' | 'draining' | 'unreachable';

/** Consecutive failed polls after which the target counts as down. */
const UNREACHABLE_POLLS = 2;

/** Signs that one target is leaving. */
export class LeavingSigns {
  private seenInTraffic = false;
  private stoppedServing = false;
  private unreachablePolls = 0;
  private drainedByOperator = false;
  private reportedByOthers = false;

  /** Whether the target must not get new work. */
  get leaving(): boolean {
    return this.seenHere || this.reportedByOthers;
  }

  /** Whether this node has a sign of its own, which it reports to others. */
  get seenHere(): boolean {
    return this.seenInTraffic || this.drainedByOperator;
  }

  /** Records an answer that says that the target is draining. */
  noteDrainingAnswer(): void {
    if (this.seenInTraffic) return;
    this.seenInTraffic = true;
    this.stoppedServing = false;
  }

  /**
   * Records a health poll. The endpoint lags, so `serving` clears a sign from traffic only when
   * the endpoint has shown something else first.
   */
  noteHealth(state: HealthState): void {
    this.unreachablePolls = state === 'unreachable' ? this.unreachablePolls + 1 : 0;
    if (state === 'draining') {
      this.seenInTraffic = true;
      this.stoppedServing = true;
      return;
    }
    if (state === 'starting' || this.unreachablePolls >= UNREACHABLE_POLLS) {
      this.stoppedServing = true;
      return;
    }
    if (state === 'serving' && this.stoppedServing) {
      this.seenInTraffic = false;
      this.stoppedServing = false;
    }
  }

  /** Records that an operator started or ended a drain. */
  setDrainedByOperator(drained: boolean): void {
    this.drainedByOperator = drained;
  }

  /** Sets whether another node or the platform's list of machines shows the target as leaving. */
  setReportedByOthers(reported: boolean): void {
    this.reportedByOthers = reported;
  }
}
