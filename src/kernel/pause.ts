/** Waiting on a clock. */
import type { Clock } from './clock.js';

/** Waits on the given clock. */
export function pause(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}
