/** Chooses the replica for one generation, or none when all have too much of a backlog. */

/** What one gateway knows about a replica that has the request's model loaded. @public */
export interface EngineCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;
  readonly hasAdapter: boolean;
  /** Requests there that have had no first event yet: those reported plus those sent since. */
  readonly awaitingFirstEvent: number;
  /** Requests running or waiting there: those reported plus those sent since. */
  readonly active: number;
  readonly slots: number;
  /** Tokens of KV cache in use: as reported plus those of requests sent since. */
  readonly kvUsed: number;
  readonly kvTotal: number;
  /** Expected time until the requests that have had no first event yet have had it. */
  readonly backlogMs: number;
  /** Factor of the usual time that work takes there; undefined where replicas don't report it. */
  readonly pace: number | undefined;
}

/** @public */
export interface EngineRequest {
  readonly zone: string;
  /** Hash of the prompt's shared prefix; 0 when there is none. */
  readonly prefixHash: number;
  /** Hash of the model and adapter; 0 for the base model. */
  readonly adapterHash: number;
  /** Prefill time that a cached prefix saves. */
  readonly prefixSavingMs: number;
  /** Expected prefill time of the request on an idle replica of the usual pace. */
  readonly prefillMs: number;
  readonly tokens: number;
  /** Longest backlog at which a replica still gets requests. */
  readonly maxBacklogMs: number;
  /** Cost of traffic to another availability zone as a time; a fixed cost when absent. */
  readonly crossZoneMs?: number;
}

/** `costMs` is the lowest expected time to the first event, less preferences. @public */
export type EngineChoice =
  | {
      readonly kind: 'chosen';
      readonly index: number;
      readonly backlogMs: number;
      readonly costMs: number;
    }
  /** Every candidate has as much work as it can start in time. */
  | {readonly kind: 'full'}
  | {readonly kind: 'none'};

/** Cost of traffic to another availability zone as a time: about one more prompt in the queue. */
const CROSS_ZONE_COST_MS = 100;
/** Two network trips inside a zone, an order and the load itself. */
const ADAPTER_LOAD_MS = 35;
/** Gateways send an adapter's requests to one agreed replica unless it is slower by this much. */
const ADAPTER_AFFINITY_MS = 60;
/** Share of the KV cache that is filled; the rest is for tokens yet to be generated. */
const MAX_KV_SHARE = 0.92;
/** Cost of one more running request, which slows all others slightly. */
const CONCURRENCY_COST_MS = 1.2;

/**
 * Chooses the lowest expected time to the first event, with a preference for the gateway's zone,
 * for the replica that caches the prompt's prefix, and for one that has the adapter. Handles bursts
 * on few copies: a replica whose backlog exceeds the limit gets no requests, so that they wait
 * where the next copy with free capacity can take them.
 *
 * @example
 * const choice = chooseEngine(candidates, request);
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
  const {crossZoneMs = CROSS_ZONE_COST_MS} = request;
  let best = -1;
  let bestCost = Number.POSITIVE_INFINITY;
  let bestBacklogMs = 0;
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index];
    if (!hasCapacity(candidate, request)) continue;
    const {backlogMs, pace = 1} = candidate;
    let cost = backlogMs + candidate.active * CONCURRENCY_COST_MS * pace;
    // Without a reported pace, the request's own prefill counts as the same on every replica.
    if (candidate.pace !== undefined) cost += request.prefillMs * pace;
    if (candidate.zone !== request.zone) cost += crossZoneMs;
    if (request.adapterHash !== 0 && !candidate.hasAdapter) cost += ADAPTER_LOAD_MS;
    if (index === prefixAffinityIndex) cost -= request.prefixSavingMs * pace;
    if (index === adapterAffinityIndex) cost -= ADAPTER_AFFINITY_MS;
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
      bestBacklogMs = backlogMs;
    }
  }
  if (best < 0) return {kind: 'full'};
  return {kind: 'chosen', index: best, backlogMs: bestBacklogMs, costMs: bestCost};
}

function hasCapacity(replica: EngineCandidate, request: EngineRequest): boolean {
  if (replica.awaitingFirstEvent > 0 && replica.backlogMs > request.maxBacklogMs) return false;
  if (replica.active >= replica.slots) return false;
  return replica.kvUsed + request.tokens <= replica.kvTotal * MAX_KV_SHARE || replica.active === 0;
}

/** Rendezvous hashing: losing a replica moves only the keys that were assigned to it. */
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
