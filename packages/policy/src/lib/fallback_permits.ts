/** What one gateway sends to a replica with a limit while nobody deals permits. */

/** Part of the limit that all gateways use together: others may be dealt permits meanwhile. */
const FALLBACK_LIMIT_SHARE = 0.25;
/** A permit that is not used lapses after this, in milliseconds. */
const PERMIT_EXPIRY_MS = 1000;

/**
 * One permit in each period of the gateway's own, none of which are kept. Answers a lost dealer: many
 * gateways that each had kept one permit would use them at once.
 *
 * @public
 */
export class FallbackPermits {
  private nextMs: number | undefined;

  /** @param random - Uniform source in [0, 1), for the gateway's place in the period. */
  constructor(private readonly random: () => number) {}

  /**
   * Takes the permit of this time; false when there is none.
   *
   * @param perS - Requests a second that the replica takes.
   * @param senders - Gateways that may send to it.
   * @example
   * if (share.tryTake(1.5, gateways, clock.monotonicMs())) send();
   */
  tryTake(perS: number, senders: number, nowMs: number): boolean {
    if (this.waitMs(perS, senders, nowMs) > 0) return false;
    this.nextMs! += periodMs(perS, senders);
    return true;
  }

  /** Time until the next permit, in milliseconds; 0 when there is one now. */
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
