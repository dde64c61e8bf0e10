/** Attempts of a call where each layer retries by itself, without a bound on the chain. */

/** More than any layer's own retries use. */
const PLENTY = 255;

/** Stands in for an attempt budget where none is shared. */
export class UnsharedAttempts {
  readonly remaining = PLENTY;
  readonly used = 0;

  grant(): number {
    return PLENTY;
  }

  settle(): void {}
}
