/** Permits that a gateway gives itself for a rate-limited replica while there is no issuer. */

/** Share of the rate limit that all gateways use together: others may still get issued permits. */
const FALLBACK_LIMIT_SHARE = 0.25;
/** Time after which an unused permit expires, in milliseconds. */
const PERMIT_EXPIRY_MS = 1000;

/**
 * Gives one permit in each of the gateway's own periods; unused permits don't accumulate. Handles a
 * lost issuer: many gateways that had each saved a permit would use them simultaneously.
 *
 * @public
 */
export class FallbackPermits {
  private nextMs: number | undefined;

  /** @param random - Uniform source in [0, 1), for the phase of the gateway's periods. */
  constructor(private readonly random: () => number) {}

  /**
   * Takes the current permit; false when there is none.
   *
   * @param perS - The replica's rate limit in requests a second.
   * @param senders - Gateways that may send to it.
   * @example
   * if (fallback.tryTake(1.5, gateways, clock.monotonicMs())) send();
   */
  tryTake(perS: number, senders: number, nowMs: number): boolean {
    if (this.waitMs(perS, senders, nowMs) > 0) return false;
    this.nextMs! += periodMs(perS, senders);
    return true;
  }

  /** Time until the next permit, in milliseconds; 0 when one is available. */
  waitMs(perS: number, senders: number, nowMs: number): number {
    const period = periodMs(perS, senders);
    let nextMs = Math.min(this.nextMs ?? nowMs + this.random() * period, nowMs + period);
    const missedPeriods = Math.ceil((nowMs - PERMIT_EXPIRY_MS - nextMs) / period);
    if (missedPeriods > 0) nextMs += missedPeriods * period;
    this.nextMs = nextMs;
    return Math.max(0, nextMs - nowMs);
  }
}

function periodMs(perS: number, senders: number): number {
  return (Math.max(1, senders) * 1000) / (FALLBACK_LIMIT_SHARE * perS);
}
