import { type RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { type Random } from './random';

const RANGE = 2 ** 30;

/** Random numbers from pure-rand, reproducible from a seed. */
export class SeededRandom implements Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformInt(this.generator, 0, RANGE - 1) / RANGE;
  }

  integer(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }
}
