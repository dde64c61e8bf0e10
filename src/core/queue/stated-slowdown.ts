/**
 * How long work takes on the machine of a target at present, as the target states it; 1 is as usual.
 * A statement loses its weight with its age, because the figure changes many times a second.
 */

/** Time constant with which a statement returns to 1, in milliseconds. */
const RETURN_MS = 300;
/** Time constant of the usual slowdown, in milliseconds. */
const USUAL_MS = 5_000;

/** The newest statement of one target, with its age, and a slow mean over its statements. */
export class StatedSlowdown {
  private newest: number | undefined;
  private statedAt = -Infinity;
  private mean = 1;

  /** Records a statement that has just arrived. */
  note(now: number, slowdown: number): void {
    if (this.newest === undefined) {
      this.mean = slowdown;
    } else {
      const weight = 1 - Math.exp((this.statedAt - now) / USUAL_MS);
      this.mean += weight * (slowdown - this.mean);
    }
    this.newest = slowdown;
    this.statedAt = now;
  }

  /** The present slowdown; undefined before the first statement. */
  at(now: number): number | undefined {
    if (this.newest === undefined) return undefined;
    return 1 + (this.newest - 1) * Math.exp((this.statedAt - now) / RETURN_MS);
  }

  /** Mean over the statements of the last seconds; 1 before the first. */
  get usual(): number {
    return this.mean;
  }
}
