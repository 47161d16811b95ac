/** Limits retries to a share of first attempts, so that an outage does not multiply the load. */

const MAX_KEYS = 10_000;

/** One token bucket per key, filled by first attempts and drained by retries. @public */
export class RetryBudget {
  private readonly tokens = new Map<string, number>();

  /**
   * @param ratio - Retries allowed per first attempt.
   * @param reserve - Tokens with which a key starts, and its maximum.
   */
  constructor(
    private readonly ratio: number,
    private readonly reserve: number,
  ) {}

  /** Counts a first attempt of `key`. */
  deposit(key: string): void {
    const tokens = (this.tokens.get(key) ?? this.reserve) + this.ratio;
    // Re-inserting orders the map by last use, so that the first key is the least recent.
    this.tokens.delete(key);
    this.tokens.set(key, Math.min(this.reserve, tokens));
    if (this.tokens.size > MAX_KEYS) this.tokens.delete(this.tokens.keys().next().value!);
  }

  /** Takes one token; false when the budget is spent. */
  withdraw(key: string): boolean {
    const tokens = this.tokens.get(key) ?? this.reserve;
    if (tokens < 1) return false;
    this.tokens.set(key, tokens - 1);
    return true;
  }
}
