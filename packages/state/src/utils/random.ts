import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random integers, injected into a core. */
export interface Random {
  /** Draws an integer in `[min, max]`. */
  nextInt(min: number, max: number): number;
}

/**
 * Makes a source whose draws depend only on the seed.
 * @param seed - a 32-bit integer.
 */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return {nextInt: (min, max) => uniformInt(generator, min, max)};
};
