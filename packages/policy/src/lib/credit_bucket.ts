/** Rate and size of a token bucket that is shared by all gateways, and its parameters for quotas. */

/** Share of a rate that gateways without an issuer use together. @internal */
export const FALLBACK_SHARE = 0.25;
/** Part of the tolerated slack that enlarges the bucket, so that requests of 2,400 units fit. */
const SLACK_SHARE = 0.25;
/** Part of the tolerated slack up to which one request may exceed the bucket. */
const OVERSIZE_SLACK_SHARE = 0.5;
/** Part of a second of the rate by which one request may exceed the bucket. */
const OVERSIZE_S = 0.1;

/** @public */
export interface CreditBucket {
  /** Units per second. */
  readonly perS: number;
  /** Units in the full bucket. */
  readonly size: number;
  /** Units of the largest request; one above `size` needs the full bucket and leaves a debt. */
  readonly maxUnits: number;
}

/**
 * Token bucket for a quota. Handles a small organisation whose burst is less than two requests.
 *
 * @param quota - Units per second, and burst in units.
 * @param slack - Units tolerated above the quota in a window; 0 where the units are requests.
 * @example
 * quotaBucket({perS: 4200, burst: 4200}, 17_000).size; // 8450
 * @public
 */
export function quotaBucket(
  quota: {readonly perS: number; readonly burst: number},
  slack: number,
): CreditBucket {
  const {perS, burst} = quota;
  const size = burst + SLACK_SHARE * slack;
  // A single unit always fits: otherwise a quota of one request per minute would refuse them all.
  const maxUnits = Math.max(1, burst + OVERSIZE_SLACK_SHARE * slack + OVERSIZE_S * perS);
  return {perS, size, maxUnits: Math.max(size, maxUnits)};
}

/**
 * Share of a rate that an issuer may issue. What the fallback of the other gateways may use is
 * kept for them, and an issuer that may have been replaced issues only what the fallback of the
 * gateways linked to it would use, so that all shares add up to at most 1.
 *
 * @param linked - Gateways that ask this issuer, including its own.
 * @param known - Gateways known in all.
 * @example
 * issuerShare(true, 26, 27); // 0.99
 * @public
 */
export function issuerShare(isConfirmed: boolean, linked: number, known: number): number {
  const linkedShare = Math.min(1, linked / Math.max(1, known));
  return isConfirmed ? 1 - FALLBACK_SHARE * (1 - linkedShare) : FALLBACK_SHARE * linkedShare;
}
