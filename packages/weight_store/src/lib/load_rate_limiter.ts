/** Limits loads to the rate that the weight store can serve at full speed. */

/** Token bucket for the load rate, with a limit on concurrent loads. @public */
export class LoadRateLimiter {
  private tokens: number;
  private lastRefillMs: number;

  constructor(
    private readonly loadsPerS: number,
    private readonly maxInFlight: number,
    nowMs: number,
  ) {
    this.tokens = Math.max(1, loadsPerS);
    this.lastRefillMs = nowMs;
  }

  /**
   * Returns the number of loads that may start now, given those in progress.
   *
   * @example
   * const moves = planMoves({...input, budget: budget.available(inFlight, nowMs)});
   */
  available(inFlight: number, nowMs: number): number {
    const refill = ((nowMs - this.lastRefillMs) * this.loadsPerS) / 1000;
    this.tokens = Math.min(Math.max(1, this.loadsPerS), this.tokens + refill);
    this.lastRefillMs = nowMs;
    return Math.max(0, Math.min(Math.floor(this.tokens), this.maxInFlight - inFlight));
  }

  /** Takes tokens for loads that were started. */
  consume(loads: number): void {
    this.tokens -= loads;
  }
}
