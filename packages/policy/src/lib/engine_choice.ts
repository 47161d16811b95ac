/** Chooses the model replica for one generation, or none when all should be left to catch up. */

/** What one gateway knows of a replica that holds the request's model. @public */
export interface EngineCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;
  readonly hasAdapter: boolean;
  /** Requests without a first event there, as reported and sent since. */
  readonly awaitingFirstEvent: number;
  /** Requests running or waiting there, as reported and sent since. */
  readonly active: number;
  readonly slots: number;
  /** Tokens of KV memory in use, as reported and sent since. */
  readonly kvUsed: number;
  readonly kvTotal: number;
  /** Mean time that one unstarted request there needs up to its first event. */
  readonly prefillMs: number;
}

/** @public */
export interface EngineRequest {
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
const CROSS_ZONE_COST_MS = 100;
/** Two trips inside a zone, an order and the load itself. */
const ADAPTER_LOAD_MS = 35;
/** Adapters gather on the replica that all gateways agree on, unless it is this much slower. */
const ADAPTER_AFFINITY_MS = 60;
/** Share of the KV memory that is filled; the rest is for tokens still to come. */
const MAX_KV_SHARE = 0.92;
/** One more running request slows all others a little. */
const CONCURRENCY_COST_MS = 1.2;

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
  request: EngineRequest,
): EngineChoice {
  if (candidates.length === 0) return {kind: 'none'};
  const prefixAffinityIndex = affinityIndex(candidates, request.prefixHash);
  const adapterAffinityIndex = affinityIndex(candidates, request.adapterHash);
  let best = -1;
  let bestCost = Number.POSITIVE_INFINITY;
  let bestBacklogMs = 0;
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index];
    const backlogMs = candidate.awaitingFirstEvent * candidate.prefillMs;
    if (!hasCapacity(candidate, request, backlogMs)) continue;
    let cost = backlogMs + candidate.active * CONCURRENCY_COST_MS;
    if (candidate.zone !== request.zone) cost += CROSS_ZONE_COST_MS;
    if (request.adapterHash !== 0 && !candidate.hasAdapter) cost += ADAPTER_LOAD_MS;
    if (index === prefixAffinityIndex) cost -= request.prefixSavingMs;
    if (index === adapterAffinityIndex) cost -= ADAPTER_AFFINITY_MS;
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
      bestBacklogMs = backlogMs;
    }
  }
  return best < 0 ? {kind: 'full'} : {kind: 'chosen', index: best, backlogMs: bestBacklogMs};
}

function hasCapacity(replica: EngineCandidate, request: EngineRequest, backlogMs: number): boolean {
  if (replica.awaitingFirstEvent > 0 && backlogMs > request.maxBacklogMs) return false;
  if (replica.active >= replica.slots) return false;
  return replica.kvUsed + request.tokens <= replica.kvTotal * MAX_KV_SHARE || replica.active === 0;
}

/** Rendezvous hashing: losing a replica moves only what it was home to. */
function affinityIndex(candidates: readonly EngineCandidate[], hash: number): number {
  if (hash === 0) return -1;
  let best = -1;
  let bestWeight = -1;
  for (let index = 0; index < candidates.length; index++) {
    let weight = Math.imul(candidates[index].idHash ^ hash, 0x9e3779b1);
    weight = Math.imul(weight ^ (weight >>> 15), 0x85ebca6b) >>> 0;
    if (weight > bestWeight) {
      bestWeight = weight;
      best = index;
    }
  }
  return best;
}
