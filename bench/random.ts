/** Seeded random number generator of benchmarks and simulations. */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

const RANGE = 2 ** 31 - 1;

export class SeededRandom {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  readonly uniform = (): number =>
    unsafeUniformIntDistribution(0, RANGE - 1, this.generator) / RANGE;

  /** Exponential with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Draws an index by weight; `cumulative` has the running sums of the weights. */
  weighted(cumulative: readonly number[]): number {
    const target = this.uniform() * cumulative[cumulative.length - 1];
    let low = 0;
    let high = cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (cumulative[middle] > target) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}
