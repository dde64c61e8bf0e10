/** How many bytes the next answer of a target will probably need in the node's buffer. */

/** Used until answers have been seen. */
const FIRST_ESTIMATE_BYTES = 16 * 1024;
/** Share of the old estimate that an answer which is smaller leaves. */
const DECAY = 0.98;

/** Follows the largest answers: up at once, down slowly. */
export class AnswerSizeEstimate {
  private estimate = FIRST_ESTIMATE_BYTES;

  /** Whole bytes. */
  get expected(): number {
    return Math.ceil(this.estimate);
  }

  /** Takes one answer's size in. */
  note(bytes: number): void {
    this.estimate = Math.max(bytes, this.estimate * DECAY);
  }
}
