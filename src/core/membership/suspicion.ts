/** How long a suspicion lasts: shorter with each independent confirmation (Lifeguard). */
import type { MembershipOptions } from './membership-options.js';

/** One running suspicion. */
export class Suspicion {
  private readonly suspecters = new Set<string>();
  private readonly minMs: number;
  private readonly maxMs: number;
  private readonly confirmationsWanted: number;

  /**
   * @param fleetSize members that are not failed, this node included
   * @param leaving whether the member had announced its stop: it is not expected to refute
   */
  constructor(
    private startedAt: number,
    from: string,
    fleetSize: number,
    leaving: boolean,
    options: MembershipOptions,
  ) {
    const { suspicionMultiplier, suspicionMaxFactor, suspicionConfirmations } = options;
    const scale = Math.max(1, Math.log10(Math.max(1, fleetSize)));
    this.minMs = leaving
      ? options.probeIntervalMs
      : suspicionMultiplier * scale * options.probeIntervalMs;
    // In a small fleet, only members other than the subject and the first suspecter can confirm.
    this.confirmationsWanted = Math.max(0, Math.min(suspicionConfirmations, fleetSize - 2));
    this.maxMs =
      leaving || this.confirmationsWanted === 0 ? this.minMs : suspicionMaxFactor * this.minMs;
    this.suspecters.add(from);
  }

  /** Time at which the member counts as failed. */
  get deadline(): number {
    if (this.confirmationsWanted === 0) return this.startedAt + this.minMs;
    const confirmations = Math.min(this.confirmationsWanted, this.suspecters.size - 1);
    const share = Math.log(confirmations + 1) / Math.log(this.confirmationsWanted + 1);
    return this.startedAt + this.maxMs - (this.maxMs - this.minMs) * share;
  }

  /** Counts another node's suspicion; returns whether it was new and still shortens the wait. */
  confirm(from: string): boolean {
    if (this.suspecters.has(from) || this.suspecters.size > this.confirmationsWanted) return false;
    this.suspecters.add(from);
    return true;
  }

  /** Moves the deadline after a pause of this process, in which no refutation could arrive. */
  postpone(milliseconds: number): void {
    this.startedAt += milliseconds;
  }
}
