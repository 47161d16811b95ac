/** Chooses the replica for one attempt. */
import type {RequestClass} from '@jasminepost/core';

const HASH_MIX = 0x9e3779b1;

/** Cost of a replica with all slots taken and no queue yet: it is the next to have one. */
const OCCUPANCY_COST_MS = 100;

/** What is known about one replica that is ready for the request's model. @public */
export interface RouteCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;
  /** Requests running or queued by class, as last reported. */
  readonly reportedPaid: number;
  readonly reportedTrial: number;
  /** Mean time that a request occupies a slot there, in milliseconds. */
  readonly serviceMs: number;
  /** True when that time includes the pace that the replica reports. */
  readonly reportsPace?: boolean;
  /** Monotonic time at which the report arrived. */
  readonly reportedMs: number;
  /** Requests of this process in progress there: now, and when the report arrived. */
  readonly ownInFlight: number;
  readonly ownAtReport: number;
  /** Requests that the upstream runs concurrently. */
  readonly slots: number;
  /** True while the replica's circuit is open. */
  isBlocked(nowMs: number): boolean;
}

/** @public */
export interface RouteRequest {
  readonly class: RequestClass;
  readonly zone: string;
  /** Hash of the prompt's prefix; 0 for no affinity. */
  readonly prefixHash: number;
  /** Prefill time that a cached prefix saves, in milliseconds. */
  readonly prefixSavingMs: number;
  /** Round trip to another availability zone, in milliseconds. */
  readonly crossZoneMs: number;
  /** Entries that share the replicas. */
  readonly entries: number;
  readonly nowMs: number;
  /** Replicas already tried for this request. */
  readonly excluded: ReadonlySet<string>;
}

/** @public */
export type RouteChoice =
  | {
      readonly kind: 'chosen';
      readonly index: number;
      readonly affinity: boolean;
      /** Expected time until the first token, less preferences. */
      readonly costMs: number;
    }
  | {readonly kind: 'none'};

/**
 * Samples two candidates in the caller's zone and two in any zone, adds the replica with affinity
 * to the prefix, and chooses the lowest expected time to first token. Sampling prevents entries
 * with the same old report from all choosing the same replica.
 *
 * @param random - Uniform source in [0, 1).
 * @returns Index into `candidates`.
 * @example
 * const choice = chooseReplica(candidates, req, Math.random);
 * @public
 */
export function chooseReplica(
  candidates: readonly RouteCandidate[],
  req: RouteRequest,
  random: () => number,
): RouteChoice {
  const usable = usableIndexes(candidates, req);
  if (usable.length === 0) return {kind: 'none'};
  const local = usable.filter(index => candidates[index].zone === req.zone);
  const preferred = req.prefixHash === 0 ? -1 : affinityIndex(candidates, usable, req.prefixHash);

  let best = -1;
  let bestScore = Number.POSITIVE_INFINITY;
  const evaluate = (index: number) => {
    const score = expectedCostMs(candidates[index], req, index === preferred);
    if (score < bestScore) {
      best = index;
      bestScore = score;
    }
  };
  if (preferred >= 0) evaluate(preferred);
  for (const pool of [local, local, usable, usable]) {
    if (pool.length > 0) evaluate(pool[Math.floor(random() * pool.length)]);
  }
  return {kind: 'chosen', index: best, affinity: best === preferred, costMs: bestScore};
}

/** True when a request would have to wait for a slot on the replica. @public */
export function isSaturated(candidate: RouteCandidate, req: RouteRequest): boolean {
  return expectedOccupancy(candidate, req) >= candidate.slots;
}

/** Excludes replicas with an open circuit, unless there are no others. */
function usableIndexes(candidates: readonly RouteCandidate[], req: RouteRequest): number[] {
  const closed: number[] = [];
  const blocked: number[] = [];
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index];
    if (req.excluded.has(candidate.id)) continue;
    (candidate.isBlocked(req.nowMs) ? blocked : closed).push(index);
  }
  return closed.length > 0 ? closed : blocked;
}

/** Rendezvous hashing: losing a replica moves only that replica's prefixes. */
function affinityIndex(
  candidates: readonly RouteCandidate[],
  usable: readonly number[],
  prefixHash: number,
): number {
  let best = -1;
  let bestWeight = -1;
  for (const index of usable) {
    let weight = Math.imul(candidates[index].idHash ^ prefixHash, HASH_MIX);
    weight = Math.imul(weight ^ (weight >>> 15), 0x85ebca6b) >>> 0;
    if (weight > bestWeight) {
      best = index;
      bestWeight = weight;
    }
  }
  return best;
}

/** Expected milliseconds until the first token, less what a cached prefix saves. */
function expectedCostMs(candidate: RouteCandidate, req: RouteRequest, preferred: boolean): number {
  const occupancy = expectedOccupancy(candidate, req);
  const excess = Math.max(0, occupancy + 1 - candidate.slots);
  const waitMs = (excess / candidate.slots) * candidate.serviceMs;
  const occupancyCostMs = (occupancy / candidate.slots) * OCCUPANCY_COST_MS;
  const networkMs = candidate.zone === req.zone ? 0 : req.crossZoneMs;
  const ownMs = candidate.reportsPace ? candidate.serviceMs : 0;
  return waitMs + ownMs + occupancyCostMs + networkMs - (preferred ? req.prefixSavingMs : 0);
}

/**
 * Requests that compete with this one. A report becomes outdated as the requests in it end. It is
 * gradually replaced by this process's own requests there, taken as typical of all entries.
 */
function expectedOccupancy(candidate: RouteCandidate, req: RouteRequest): number {
  const ageMs = Math.max(0, req.nowMs - candidate.reportedMs);
  const weight = Math.exp(-ageMs / candidate.serviceMs);
  // Paid requests preempt trial requests, so they compete only with other paid ones.
  const reported =
    req.class === 'paid'
      ? candidate.reportedPaid
      : candidate.reportedPaid + candidate.reportedTrial;
  const sinceReport = reported + candidate.ownInFlight - candidate.ownAtReport;
  return weight * Math.max(0, sinceReport) + (1 - weight) * candidate.ownInFlight * req.entries;
}
