import type { Clock } from './clock.js';

/** Resolves after `delayMs` on the given clock. */
export function pause(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}
