/** A concurrency limit that never changes. */
import type { ConcurrencyLimit } from './concurrency-limit.js';

/** Creates a limit that stays at `limit`; `Infinity` means no limit. */
export function createFixedLimit(limit: number): ConcurrencyLimit {
  return { current: () => limit, onComplete: () => {} };
}
