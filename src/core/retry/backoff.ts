/** Exponential backoff with full jitter. */
import type { Random } from '../random.js';

const BASE_MS = 4;
const MAX_MS = 100;

/** Delay before attempt `attemptsMade + 1`, in milliseconds. */
export function backoff(random: Random, attemptsMade: number): number {
  const bound = Math.min(MAX_MS, BASE_MS * 2 ** attemptsMade);
  return random.next() * bound;
}
