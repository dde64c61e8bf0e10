/**
 * Whether one target is leaving, from signs that lag or mislead. Any one sign suffices; only
 * a restart or an end of the drain that the health endpoint shows takes it back. Pure.
 */

/** What a health poll saw. */
export type HealthState = 'starting' | 'serving' | 'draining' | 'unreachable';

/** Failed polls in a row that count as the target being down. */
const UNREACHABLE_POLLS = 2;

/** Signs of one target. */
export class LeavingSigns {
  private seenInTraffic = false;
  private stoppedServing = false;
  private unreachablePolls = 0;
  private drainedByOperator = false;
  private reportedByOthers = false;

  /** Whether the target may get no new work. */
  get leaving(): boolean {
    return this.seenHere || this.reportedByOthers;
  }

  /** Whether this node has a sign of its own, to be told to others. */
  get seenHere(): boolean {
    return this.seenInTraffic || this.drainedByOperator;
  }

  /** An answer said that the target is draining. */
  noteDrainingAnswer(): void {
    if (this.seenInTraffic) return;
    this.seenInTraffic = true;
    this.stoppedServing = false;
  }

  /**
   * A health poll ended. The endpoint lags, so `serving` alone does not take back a sign from
   * traffic: it must have shown something else first.
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

  /** An operator started or ended a drain. */
  setDrainedByOperator(drained: boolean): void {
    this.drainedByOperator = drained;
  }

  /** Another node or the platform's list of machines shows the target as leaving, or not. */
  setReportedByOthers(reported: boolean): void {
    this.reportedByOthers = reported;
  }
}
