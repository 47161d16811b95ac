/** What a gateway grants itself of a shared rate while there is no issuer, in whole requests. */
import {FALLBACK_SHARE} from './credit_bucket.ts';

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
  /** Units of the largest request so far, which sets the length of the periods. */
  private largestUnits = 0;

  /** @param random - Uniform source in [0, 1), for the phase of the gateway's periods. */
  constructor(private readonly random: () => number) {}

  /**
   * Takes the current permit; false when there is none.
   *
   * @param perS - The shared rate in units a second; a unit is a request for rate limits.
   * @param senders - Gateways that share it.
   * @param units - Units of the request.
   * @example
   * if (fallback.tryTake(1.5, gateways, clock.monotonicMs())) send();
   */
  tryTake(perS: number, senders: number, nowMs: number, units = 1): boolean {
    if (this.waitMs(perS, senders, nowMs, units) > 0) return false;
    this.nextMs! += periodMs(perS, senders, units);
    return true;
  }

  /** Time until the next permit, in milliseconds; 0 when one is available. */
  waitMs(perS: number, senders: number, nowMs: number, units = 1): number {
    const addedUnits = Math.max(0, units - this.largestUnits);
    if (addedUnits > 0) {
      // Gateways that see their first larger request together must not all send it together.
      const delayMs = this.random() * periodMs(perS, senders, addedUnits);
      this.nextMs = Math.max(this.nextMs ?? nowMs, nowMs) + delayMs;
      this.largestUnits = units;
    }
    const period = periodMs(perS, senders, this.largestUnits);
    let nextMs = Math.min(this.nextMs ?? nowMs, nowMs + period);
    const missedPeriods = Math.ceil((nowMs - PERMIT_EXPIRY_MS - nextMs) / period);
    if (missedPeriods > 0) nextMs += missedPeriods * period;
    this.nextMs = nextMs;
    return Math.max(0, nextMs - nowMs);
  }
}

function periodMs(perS: number, senders: number, units: number): number {
  return (Math.max(1, senders) * 1000 * units) / (FALLBACK_SHARE * perS);
}
