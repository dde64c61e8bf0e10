import type { CancelTimer, Clock } from '../kernel/clock.js';

/** Shortest time between two notifications. */
export const MIN_NOTIFY_INTERVAL_MS = 100;

/**
 * Notifies listeners of changes, the first at once and later ones at a bounded rate. Listeners
 * rebuild what they derive from the view, and in a large fleet that loses a rack the view changes
 * hundreds of times a second.
 */
export class PacedNotifier {
  private readonly listeners = new Set<() => void>();
  private lastNotifiedAt = -Infinity;
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly clock: Clock) {}

  /** Adds a listener; returns the function that removes it. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Notifies now, or once the minimum interval has passed; changes until then share one call. */
  notify(): void {
    if (this.cancelTimer !== undefined) return;
    const waitMs = this.lastNotifiedAt + MIN_NOTIFY_INTERVAL_MS - this.clock.now();
    if (waitMs <= 0) this.callListeners();
    else
      this.cancelTimer = this.clock.schedule(waitMs, () => {
        this.callListeners();
      });
  }

  /** Cancels a pending notification. */
  stop(): void {
    this.cancelTimer?.();
  }

  private callListeners(): void {
    this.cancelTimer = undefined;
    this.lastNotifiedAt = this.clock.now();
    for (const listener of [...this.listeners]) listener();
  }
}
