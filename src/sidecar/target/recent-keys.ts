/** Remembers keys for some time, in two generations, so that forgetting costs nothing for each key. */

/** Keys that were added within a time, or up to twice as long ago. */
export class RecentKeys {
  private current = new Set<string>();
  private previous = new Set<string>();
  private startedAt = -Infinity;

  /** @param keepMs least time for which a key is remembered, in milliseconds; may grow */
  constructor(private readonly keepMs: () => number) {}

  /** Adds a key; `now` is monotonic, in milliseconds. */
  add(now: number, key: string): void {
    this.advance(now);
    this.current.add(key);
  }

  /** Whether the key was added within the time. */
  has(now: number, key: string): boolean {
    this.advance(now);
    return this.current.has(key) || this.previous.has(key);
  }

  private advance(now: number): void {
    const ageMs = now - this.startedAt;
    const keepMs = this.keepMs();
    if (ageMs < keepMs) return;
    this.previous = ageMs < 2 * keepMs ? this.current : new Set();
    this.current = new Set();
    this.startedAt = now;
  }
}
