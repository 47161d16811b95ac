/** Request rates per model on two time scales. */

/** Weight of trial demand relative to paid demand in placement. @public */
export const TRIAL_DEMAND_WEIGHT = 0.1;

interface Rates {
  fastPerS: number;
  slowPerS: number;
}

/** Exponentially weighted rates; the larger of the two is the demand. @public */
export class DemandTracker {
  private readonly rates = new Map<string, Rates>();

  /**
   * @param fastMs - Time constant that follows a surge.
   * @param slowMs - Time constant that retains demand after a surge.
   */
  constructor(
    private readonly fastMs: number,
    private readonly slowMs: number,
  ) {}

  /** Adds the counts of one interval; models without a count decay. */
  update(counts: ReadonlyMap<string, number>, intervalMs: number): void {
    for (const model of counts.keys()) {
      if (!this.rates.has(model)) this.rates.set(model, {fastPerS: 0, slowPerS: 0});
    }
    const fastWeight = 1 - Math.exp(-intervalMs / this.fastMs);
    const slowWeight = 1 - Math.exp(-intervalMs / this.slowMs);
    for (const [model, rates] of this.rates) {
      const perS = ((counts.get(model) ?? 0) * 1000) / intervalMs;
      rates.fastPerS += fastWeight * (perS - rates.fastPerS);
      rates.slowPerS += slowWeight * (perS - rates.slowPerS);
    }
  }

  /** Requests per second. */
  perSecond(model: string): number {
    const rates = this.rates.get(model);
    return rates === undefined ? 0 : Math.max(rates.fastPerS, rates.slowPerS);
  }
}
