/** Seeded random numbers for decision logic, so that every run can be repeated. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform whole number in [0, bound). */
  nextInt(bound: number): number;
}

/**
 * Creates a generator; the same seed gives the same sequence on every machine.
 *
 * @param seed 32-bit number with all bits mixed, as from `hash32` or `mix32`: the first number of
 * a small seed is always close to 1
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    next: () => uniformFloat64(generator),
    nextInt: (bound) => uniformInt(generator, 0, bound - 1),
  };
}
