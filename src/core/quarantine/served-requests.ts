/** Remembers the requests that were answered last, up to a bound. */
export class ServedRequests {
  /** In the order of their last answers. */
  private readonly fingerprints = new Set<string>();

  /** @param capacity requests that are remembered */
  constructor(private readonly capacity: number) {}

  note(fingerprint: string): void {
    this.fingerprints.delete(fingerprint);
    this.fingerprints.add(fingerprint);
    if (this.fingerprints.size <= this.capacity) return;
    const [oldest] = this.fingerprints;
    this.fingerprints.delete(oldest!);
  }

  has(fingerprint: string): boolean {
    return this.fingerprints.has(fingerprint);
  }
}
