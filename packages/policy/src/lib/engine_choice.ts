/** Chooses the model replica for one generation, or none when all should be left to catch up. */

/** What one gateway knows of a replica that holds the request's model. @public */
export interface EngineCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;
  readonly hasAdapter: boolean;
  /** Requests without a first event there, as reported and sent since. */
  readonly unstarted: number;
  /** Requests running or waiting there, as reported and sent since. */
  readonly occupied: number;
  readonly slots: number;
  /** Tokens of KV memory in use, as reported and sent since. */
  readonly kvUsed: number;
  readonly kvTotal: number;
  /** Mean time that one unstarted request there needs up to its first event. */
  readonly prefillMs: number;
}

/** @public */
export interface EngineNeed {
  readonly zone: string;
  /** Hash of the shared part of the prompt; 0 when nothing is shared. */
  readonly prefixHash: number;
  /** Hash of the model and adapter; 0 for the plain model. */
  readonly adapterHash: number;
  /** Prefill time that a kept prefix saves. */
  readonly prefixSavingMs: number;
  readonly tokens: number;
  /** Longest backlog that still is added to. */
  readonly maxBacklogMs: number;
}

/** @public */
export type EngineChoice =
  | {readonly kind: 'chosen'; readonly index: number; readonly backlogMs: number}
  /** Every candidate has as much work as it can start in time. */
  | {readonly kind: 'full'}
  | {readonly kind: 'none'};

/** What bytes to another availability zone cost, stated as time: about one prompt ahead. */
const CROSS_ZONE_MS = 100;
/** Two trips inside a zone, an order and the load itself. */
const ADAPTER_LOAD_MS = 35;
/** Adapters gather on the replica that all gateways agree on, unless it is this much slower. */
const ADAPTER_HOME_MS = 60;
/** Share of the KV memory that is filled; the rest is for tokens still to come. */
const KV_SHARE = 0.92;
/** One more running request slows all others a little. */
const CROWDING_MS = 1.2;

/**
 * Lowest expected time to the first event, with a preference for the own zone, for a replica that
 * keeps the prompt's shared part, and for one that has the adapter. Answers bursts on few copies:
 * a replica whose backlog exceeds the limit gets nothing, so that work waits where any copy that
 * frees up can take it.
 *
 * @example
 * const choice = chooseEngine(candidates, need);
 * if (choice.kind === 'chosen') send(candidates[choice.index]);
 * @public
 */
export function chooseEngine(
  candidates: readonly EngineCandidate[],
  need: EngineNeed,
): EngineChoice {
  if (candidates.length === 0) return {kind: 'none'};
  const prefixHome = homeOf(candidates, need.prefixHash);
  const adapterHome = homeOf(candidates, need.adapterHash);
  let best = -1;
  let bestCost = Number.POSITIVE_INFINITY;
  let bestBacklogMs = 0;
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index];
    const backlogMs = candidate.unstarted * candidate.prefillMs;
    if (!hasRoom(candidate, need, backlogMs)) continue;
    let cost = backlogMs + candidate.occupied * CROWDING_MS;
    if (candidate.zone !== need.zone) cost += CROSS_ZONE_MS;
    if (need.adapterHash !== 0 && !candidate.hasAdapter) cost += ADAPTER_LOAD_MS;
    if (index === prefixHome) cost -= need.prefixSavingMs;
    if (index === adapterHome) cost -= ADAPTER_HOME_MS;
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
      bestBacklogMs = backlogMs;
    }
  }
  return best < 0 ? {kind: 'full'} : {kind: 'chosen', index: best, backlogMs: bestBacklogMs};
}

function hasRoom(candidate: EngineCandidate, need: EngineNeed, backlogMs: number): boolean {
  if (candidate.unstarted > 0 && backlogMs > need.maxBacklogMs) return false;
  if (candidate.occupied >= candidate.slots) return false;
  return candidate.kvUsed + need.tokens <= candidate.kvTotal * KV_SHARE || candidate.occupied === 0;
}

/** Rendezvous hashing: losing a replica moves only what it was home to. */
function homeOf(candidates: readonly EngineCandidate[], hash: number): number {
  if (hash === 0) return -1;
  let home = -1;
  let heaviest = -1;
  for (let index = 0; index < candidates.length; index++) {
    let weight = Math.imul(candidates[index].idHash ^ hash, 0x9e3779b1);
    weight = Math.imul(weight ^ (weight >>> 15), 0x85ebca6b) >>> 0;
    if (weight > heaviest) {
      heaviest = weight;
      home = index;
    }
  }
  return home;
}
