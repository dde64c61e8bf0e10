/** Attempts of a call when each layer retries by itself and nothing bounds the whole chain. */

/** More attempts than the retries of any one layer use. */
const UNBOUNDED_ATTEMPTS = 255;

/** Replaces the attempt budget when layers do not share one. */
export class UnsharedAttempts {
  readonly remaining = UNBOUNDED_ATTEMPTS;
  readonly used = 0;

  grant(): number {
    return UNBOUNDED_ATTEMPTS;
  }

  settle(): void {}
}
