/** Estimates how many bytes of the node's buffer the next answer of a target needs. */

/** Estimate before the first answer. */
const FIRST_ESTIMATE_BYTES = 16 * 1024;
/** Factor by which each smaller answer lowers the estimate. */
const DECAY = 0.98;

/** Follows the largest answers: rises at once, falls slowly. */
export class AnswerSizeEstimate {
  private estimate = FIRST_ESTIMATE_BYTES;

  /** Whole bytes. */
  get expected(): number {
    return Math.ceil(this.estimate);
  }

  /** Records the size of one answer. */
  note(bytes: number): void {
    this.estimate = Math.max(bytes, this.estimate * DECAY);
  }
}
