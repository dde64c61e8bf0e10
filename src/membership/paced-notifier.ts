/** Notifies listeners of changes, the first at once and later ones at a bounded rate. */
import type { CancelTimer, Clock } from '../kernel/clock.js';

/** Least pause between two notifications, in milliseconds. */
export const NOTIFY_PAUSE_MS = 100;

/**
 * Listeners rebuild what they derive from the view; in a large fleet that loses a rack the
 * view changes hundreds of times a second.
 */
export class PacedNotifier {
  private readonly listeners = new Set<() => void>();
  private lastAt = -Infinity;
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly clock: Clock) {}

  /** Adds a listener; returns the function that removes it. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Something has changed. */
  notify(): void {
    if (this.cancelTimer !== undefined) return;
    const waitMs = this.lastAt + NOTIFY_PAUSE_MS - this.clock.now();
    if (waitMs <= 0) this.callListeners();
    else
      this.cancelTimer = this.clock.schedule(waitMs, () => {
        this.callListeners();
      });
  }

  /** Drops a notification that waits. */
  stop(): void {
    this.cancelTimer?.();
  }

  private callListeners(): void {
    this.cancelTimer = undefined;
    this.lastAt = this.clock.now();
    for (const listener of [...this.listeners]) listener();
  }
}
