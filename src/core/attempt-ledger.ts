/**
 * Counts the attempts spent below each running attempt. The fronting node of a target keeps the
 * ledger, so that retries by the back end itself and by the nodes draw from one budget.
 *
 * Invariant: the attempts that an ended attempt reports, plus those that its callers keep,
 * never exceed what it was granted; a reservation that was not returned counts as spent.
 */

interface LedgerEntry {
  readonly granted: number;
  /** Attempts reserved by calls below and not returned. */
  reserved: number;
}

/** Ledger of one node; see docs/design/attempt-budget.md. */
export class AttemptLedger {
  private readonly entries = new Map<string, LedgerEntry>();

  /** Running attempts. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Opens an attempt at its dispatch.
   *
   * @param granted attempts for it and everything below, itself included; at least 1
   */
  open(attemptId: string, granted: number): void {
    this.entries.set(attemptId, { granted: Math.max(1, granted), reserved: 0 });
  }

  /** Attempts that calls below may still reserve; 0 when the attempt is unknown or has ended. */
  remaining(attemptId: string): number {
    const entry = this.entries.get(attemptId);
    return entry === undefined ? 0 : entry.granted - 1 - entry.reserved;
  }

  /** Reserves up to `wanted` attempts and returns how many were reserved. */
  reserve(attemptId: string, wanted: number): number {
    const entry = this.entries.get(attemptId);
    if (entry === undefined) return 0;
    const reserved = Math.max(0, Math.min(Math.floor(wanted), this.remaining(attemptId)));
    entry.reserved += reserved;
    return reserved;
  }

  /** Returns attempts that were reserved and not used; ignored after the attempt has ended. */
  release(attemptId: string, unused: number): void {
    const entry = this.entries.get(attemptId);
    if (entry === undefined) return;
    entry.reserved -= Math.max(0, Math.min(Math.floor(unused), entry.reserved));
  }

  /** Ends an attempt and returns all attempts spent by it and below it. */
  close(attemptId: string): number {
    const entry = this.entries.get(attemptId);
    if (entry === undefined) return 0;
    this.entries.delete(attemptId);
    return 1 + entry.reserved;
  }
}
