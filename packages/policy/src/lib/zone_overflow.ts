/** Decides how large a share of a gateway's requests may leave its availability zone, and which. */

/** What the replicas of the own zone, or those of the other zones, offer one request. @public */
export type ZoneOffer =
  | {readonly kind: 'available'; readonly costMs: number}
  /** There are usable replicas, and each has as much work as it can start in time. */
  | {readonly kind: 'full'}
  | {readonly kind: 'no_replica'};

/** @public */
export interface ZoneInputs {
  readonly nowMs: number;
  /** Lowest expected cost in the own zone. */
  readonly home: ZoneOffer;
  /** Lowest expected cost in the other zones, without the price of crossing. */
  readonly away: ZoneOffer;
  /** Price of crossing as a time; see `crossingPriceMs`. */
  readonly crossingMs: number;
  /** Age of the load that the costs are computed from. */
  readonly ageMs: number;
  /** Time since the request arrived. */
  readonly waitedMs: number;
  /** Uniform in [0, 1); drawn once for each request. */
  readonly draw: number;
}

/**
 * Why a request leaves its zone. `home_full`: no replica of the zone can start it in time.
 * `home_slow`: another zone is faster, including the price of crossing. `no_home_replica`: the zone
 * has no usable replica. `share`: neither holds any longer, and the share is still falling.
 *
 * @public
 */
export type ZoneLeaveReason = 'home_full' | 'home_slow' | 'no_home_replica' | 'share';

/** `share` is the share of requests that may leave the zone at this moment. @public */
export type ZoneDecision =
  | {readonly kind: 'stay'; readonly share: number}
  | {readonly kind: 'leave'; readonly reason: ZoneLeaveReason; readonly share: number};

/** What a request takes with it when it leaves its zone. @public */
export interface Crossing {
  readonly roundTripMs: number;
  /** Expected bytes of the request's and the response's body. */
  readonly bytes: number;
  /** Milliseconds of a request's wait that a megabyte between zones is worth. */
  readonly msPerMb: number;
  /** Prefill time that a cached prefix would have saved in the own zone. */
  readonly prefixSavingMs: number;
}

const BYTES_PER_MB = 1_000_000;
/** Costs below this are taken as equal: differences are within the error of the estimates. */
const MIN_COST_MS = 20;
/** Relative advantage of the other zones from which the share starts to rise. */
const START_ADVANTAGE = 0.2;
/** Relative advantage of the own zone from which even a request within the share stays. */
const STAY_ADVANTAGE = 0.25;
/** Rise of the share in a second while the other zones have the largest possible advantage. */
const RISE_PER_S = 0.5;
/** Fall of the share; faster than its rise, since each request that leaves has a price. */
const FALL_PER_S = 1;
/** Part of the share that follows the advantage directly; damps the sum of the past. */
const DIRECT_SHARE = 0.4;
/** Time constant of the average of the advantage, over the differences between requests. */
const ADVANTAGE_TIME_MS = 250;
/** Longest time between two requests that a change of the share accounts for. */
const MAX_STEP_MS = 250;
/** After this time without a request the share starts anew. */
const FORGET_MS = 5000;
/** Age at which the load says little about the present. */
const LOAD_TIME_MS = 1000;
/** Old inputs still change the share, since only requests that leave bring newer ones. */
const MIN_FRESHNESS = 0.25;
/** Requests wait for a full zone up to this time, at random, so that not all leave at once. */
const MAX_HOLD_MS = 50;

/**
 * Price of leaving the zone as a time.
 *
 * @example
 * crossingPriceMs({roundTripMs: 3, bytes: 20_000, msPerMb: 1000, prefixSavingMs: 40}); // 63
 * @public
 */
export function crossingPriceMs(crossing: Crossing): number {
  const {roundTripMs, bytes, msPerMb, prefixSavingMs} = crossing;
  return roundTripMs + (bytes / BYTES_PER_MB) * msPerMb + prefixSavingMs;
}

/**
 * Share of the requests to one service, or to one model, that may leave the zone. Handles a zone
 * with too few replicas beside many gateways with old figures: the share follows the advantage of
 * the other zones gradually, by its sum over time and by its present value, so that each gateway
 * corrects a part of the excess and sees the effect before it corrects the rest.
 *
 * @public
 */
export class ZoneOverflow {
  private sum = 0;
  private advantage = 0;
  private updatedMs = Number.NEGATIVE_INFINITY;

  /** Share of requests that may leave the zone. */
  get share(): number {
    if (this.sum === 0 && this.advantage < START_ADVANTAGE) return 0;
    return clampShare(this.sum + DIRECT_SHARE * this.advantage);
  }

  /**
   * Decides on one request, and accounts for its inputs in the share.
   *
   * @example
   * const decision = overflow.decide({nowMs, home, away, crossingMs, ageMs, waitedMs, draw});
   * const candidates = decision.kind === 'leave' ? awayCandidates : homeCandidates;
   */
  decide(inputs: ZoneInputs): ZoneDecision {
    const {home, away, nowMs, ageMs, waitedMs, draw} = inputs;
    const advantage = relativeAdvantage(inputs);
    this.update(advantage, nowMs, ageMs);
    const {share} = this;
    // Counted in the share, so that requests return gradually when the first replica is back; a
    // single request that may not use the zone's replicas changes it little.
    if (home.kind === 'no_replica') {
      if (away.kind === 'no_replica') return {kind: 'stay', share};
      return {kind: 'leave', reason: 'no_home_replica', share};
    }
    if (away.kind !== 'available') return {kind: 'stay', share};
    if (home.kind === 'full') {
      const leaves = draw < share + waitedMs / MAX_HOLD_MS;
      return leaves ? {kind: 'leave', reason: 'home_full', share} : {kind: 'stay', share};
    }
    if (draw >= share || advantage < -STAY_ADVANTAGE) return {kind: 'stay', share};
    return {kind: 'leave', reason: advantage > 0 ? 'home_slow' : 'share', share};
  }

  private update(advantage: number, nowMs: number, ageMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    if (elapsedMs > FORGET_MS) {
      this.sum = 0;
      this.advantage = advantage;
      return;
    }
    this.advantage += (1 - Math.exp(-elapsedMs / ADVANTAGE_TIME_MS)) * (advantage - this.advantage);
    if (this.sum === 0 && this.advantage < START_ADVANTAGE) return;
    const freshness = Math.max(MIN_FRESHNESS, Math.exp(-Math.max(0, ageMs) / LOAD_TIME_MS));
    const stepS = Math.min(elapsedMs, MAX_STEP_MS) / 1000;
    const ratePerS = this.advantage > 0 ? RISE_PER_S : FALL_PER_S;
    this.sum = clampShare(this.sum + ratePerS * freshness * stepS * this.advantage);
  }
}

/** Advantage of leaving over staying, from -1 to 1, relative to the larger cost. */
function relativeAdvantage({home, away, crossingMs}: ZoneInputs): number {
  if (away.kind !== 'available') return -1;
  if (home.kind !== 'available') return 1;
  const awayMs = away.costMs + crossingMs;
  const advantage = (home.costMs - awayMs) / Math.max(MIN_COST_MS, home.costMs, awayMs);
  return Math.min(1, Math.max(-1, advantage));
}

function clampShare(share: number): number {
  return Math.min(1, Math.max(0, share));
}
