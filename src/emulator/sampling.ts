/** Seeded random streams and samples of the distributions that the models use. */
import { createRandom, type Random } from '../core/random.js';

const GOLDEN_RATIO_32 = 0x9e3779b1;

/** Derives an independent seed for one purpose of a run (32-bit mix based on MurmurHash3). */
export function deriveSeed(seed: number, purpose: string): number {
  let hash = seed | 0;
  for (let index = 0; index < purpose.length; index += 1) {
    hash = Math.imul(hash ^ purpose.charCodeAt(index), GOLDEN_RATIO_32);
    hash ^= hash >>> 15;
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return hash ^ (hash >>> 16);
}

/** Creates a random source for one purpose of a run. */
export function createStream(seed: number, purpose: string): Random {
  return createRandom(deriveSeed(seed, purpose));
}

/** Exponential sample with the given mean. */
export function sampleExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}

/** Standard normal sample (Box-Muller). */
export function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Lognormal sample with the given mean; `sigma` is the standard deviation of its logarithm. */
export function sampleLognormal(random: Random, mean: number, sigma: number): number {
  return mean * Math.exp(sigma * sampleNormal(random) - (sigma * sigma) / 2);
}
