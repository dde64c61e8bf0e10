/** Records which requests were answered last, and to callers of which services, up to a bound. */

export class ServedRequests {
  /** Callers by content, the least recently answered content first. */
  private readonly callers = new Map<string, Set<string>>();

  /** @param capacity largest number of contents */
  constructor(private readonly capacity: number) {}

  note(content: string, caller: string): void {
    const known = this.callers.get(content);
    this.callers.delete(content);
    this.callers.set(content, known === undefined ? new Set([caller]) : known.add(caller));
    if (this.callers.size <= this.capacity) return;
    const [oldest] = this.callers.keys();
    this.callers.delete(oldest!);
  }

  /** Whether a request of this content was answered to a caller of this service. */
  has(content: string, caller: string): boolean {
    return this.callers.get(content)?.has(caller) ?? false;
  }

  /** Whether a request of this content was answered to any caller. */
  hasAny(content: string): boolean {
    return this.callers.has(content);
  }
}
