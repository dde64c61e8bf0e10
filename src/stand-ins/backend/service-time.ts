/** Seeded service times with a lognormal distribution. */
import type { Random } from '../../core/random.js';

/** Draws one standard normal value (Box-Muller). */
export function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/**
 * Draws one service time.
 *
 * @param meanMs mean of the distribution in milliseconds
 * @param sigma standard deviation of the logarithm; 0 gives the mean itself
 */
export function drawServiceTime(random: Random, meanMs: number, sigma: number): number {
  const location = Math.log(meanMs) - (sigma * sigma) / 2;
  return Math.exp(location + sigma * drawNormal(random));
}
