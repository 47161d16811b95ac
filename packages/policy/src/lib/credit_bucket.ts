/** Rate and size of a token bucket that is shared by all gateways, and its parameters for quotas. */

/** Share of a rate that gateways without an issuer use together. @internal */
export const FALLBACK_SHARE = 0.25;
/** Part of the tolerated slack that enlarges the bucket, so that requests of 2,400 units fit. */
const SLACK_SHARE = 0.5;
/**
 * Part of the tolerated overshoot that enlarges it. The rest is for credit that is used later than
 * it was issued, and for the fallback of gateways that have lost the issuer.
 */
const OVERSHOOT_SHARE = 0.4;
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

/** What is tolerated above a quota in a window; nothing where the units are requests. @public */
export interface QuotaTolerance {
  readonly slack: number;
  readonly overshoot: number;
  readonly windowMs: number;
}

/**
 * Token bucket for a quota. Handles a small organisation whose burst is less than two requests, and
 * requests of a larger one that come in clumps: what the operator tolerates in a window is used in
 * part, so that few requests within the quota are refused.
 *
 * @param quota - Units per second, and burst in units.
 * @param tolerance - Units tolerated above the quota in a window.
 * @example
 * quotaBucket({perS: 4200, burst: 4200}, {slack: 17_000, overshoot: 0.1, windowMs: 8000}).size; // 14,044
 * @public
 */
export function quotaBucket(
  quota: {readonly perS: number; readonly burst: number},
  {slack, overshoot, windowMs}: QuotaTolerance,
): CreditBucket {
  const {perS, burst} = quota;
  const overshootUnits = (overshoot * perS * windowMs) / 1000;
  const size = burst + SLACK_SHARE * slack + OVERSHOOT_SHARE * overshootUnits;
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
