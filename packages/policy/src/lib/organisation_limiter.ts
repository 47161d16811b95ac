/** Enforces an entry's share of the rate and concurrency limits of each organisation. */

interface Usage {
  inFlight: number;
  tokens: number;
  refilledMs: number;
}

/** @public */
export interface LimitRefusal {
  readonly retryAfterMs: number;
}

/** @public */
export class OrganisationLimiter {
  private readonly usage = new Map<string, Usage>();

  /**
   * Admits one request; call `release` when it ends.
   *
   * @param requestsPerS - Declared rate of the organisation over all entries; 0 for no limit.
   * @param concurrency - Declared requests in progress over all entries; 0 for no limit.
   * @param entries - Entries that share the limits.
   * @returns Undefined when admitted.
   */
  admit(
    organisation: string,
    requestsPerS: number,
    concurrency: number,
    entries: number,
    nowMs: number,
  ): LimitRefusal | undefined {
    const rate = requestsPerS / entries;
    const burst = Math.max(1, rate);
    const usage = this.usageOf(organisation, burst, nowMs);
    usage.tokens = Math.min(burst, usage.tokens + ((nowMs - usage.refilledMs) * rate) / 1000);
    usage.refilledMs = nowMs;
    if (concurrency > 0 && usage.inFlight >= Math.max(1, concurrency / entries)) {
      return {retryAfterMs: 1000};
    }
    if (requestsPerS > 0) {
      if (usage.tokens < 1) return {retryAfterMs: Math.ceil(((1 - usage.tokens) / rate) * 1000)};
      usage.tokens -= 1;
    }
    usage.inFlight += 1;
    return undefined;
  }

  release(organisation: string): void {
    const usage = this.usage.get(organisation);
    if (usage !== undefined) usage.inFlight -= 1;
  }

  private usageOf(organisation: string, burst: number, nowMs: number): Usage {
    let usage = this.usage.get(organisation);
    if (usage === undefined) {
      usage = {inFlight: 0, tokens: burst, refilledMs: nowMs};
      this.usage.set(organisation, usage);
    }
    return usage;
  }
}
