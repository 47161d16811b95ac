/**
 * One planning round for model replicas. Values and costs share one scale, on which 1 is the load
 * of a replica that does nothing but prefill; docs/design/engine_placement.md compares them.
 */
import type {
  EngineMove,
  EnginePlanInput,
  EnginePlanModel,
  EnginePlanReplica,
} from './engine_plan.ts';

/** Highest load planned for one copy; the rest of its replica's capacity serves other models. */
const TARGET_LOAD_PER_COPY = 0.2;
/** Fewest copies of a model with urgent demand, however low: it may rise before a load completes. */
const MIN_URGENT_COPIES = 3;
/** A model with an urgent request within this time may get another at any moment. */
const URGENT_DEMAND_WINDOW_MS = 4000;
/** Value of the first copy of a model that callers wait for, besides the load it would carry. */
const FIRST_COPY_VALUE = 4;
const DELAY_TOLERANT_FIRST_COPY_VALUE = 1.5;
/** Value of a further copy of a model with urgent demand, besides its load. */
const EXTRA_URGENT_COPY_VALUE = 0.8;
/** Cost of evicting a copy above the target number of a model with urgent demand. */
const SURPLUS_URGENT_COPY_COST = 0.02;
/** Value of keeping the last copy of a model whose requests are all delay-tolerant. */
const DELAY_TOLERANT_LAST_COPY_VALUE = 0.3;
/**
 * The same if the only cached weights would be those on the evicting replica, which can't load them
 * back for longer than the latency target.
 */
const LAST_CACHED_COPY_VALUE = 1.2;
/** Value of keeping the last copy of a model that may get an urgent request at any moment. */
const STANDBY_COPY_VALUE = 0.8;
/** The same before it is known whether the model has any demand. */
const UNKNOWN_DEMAND_COPY_VALUE = 0.4;
/** Replicas that should have the weights of such a model loaded or cached. */
const TARGET_CACHED_REPLICAS = 4;
/** Value of one more of them, if it saves at least the time after which callers give up. */
const CACHED_REPLICA_VALUE = 0.9;
/** Wait for a model after which most callers have given up. */
const CALLER_WAIT_S = 2.5;
/** Cost of a prefetch from the weight store, whose rate all replicas share. */
const PREFETCH_COST = 0.1;
/** Share of the concurrent loads that prefetches leave free for demand. */
const RESERVED_LOAD_SHARE = 0.25;
/** Cost of each second until a model with urgent demand is loaded. */
const URGENT_LOAD_COST_PER_S = 0.03;
/** Cost of a load that takes longer than the targets of delay-tolerant requests. */
const LATE_LOAD_COST = 0.8;
/** Demand that a rate-limited replica can serve, as a multiple of its limit: peaks are short. */
const RATE_LIMIT_DEMAND_FACTOR = 2;
/**
 * Weight of the load of a model that such a replica serves only in part. With a lower weight the
 * model gets no copy elsewhere.
 */
const PARTIALLY_SERVED_WEIGHT = 2;
/** Cost of placing a model on a rate-limited replica, which accepts only some requests. */
const RATE_LIMITED_REPLICA_COST = 2;
/**
 * Cost of a replica on which work takes twice as long: streams there are late behind fewer prompts.
 */
const DOUBLE_PACE_COST = 0.3;
/** Smallest gain that justifies a move. */
const MIN_GAIN = 0.05;
/** Value of a copy in an availability zone that has none. */
const NEW_ZONE_VALUE = 0.05;

interface CopyCandidate {
  readonly model: EnginePlanModel;
  readonly value: number;
  /** True when the load only serves to cache the weights on another replica. */
  readonly prefetch: boolean;
}

/** Number of copies that a model should have. */
function targetCopies(model: EnginePlanModel, replicaCount: number, nowMs: number): number {
  const minCopies =
    nowMs - model.lastUrgentRequestMs < URGENT_DEMAND_WINDOW_MS ? MIN_URGENT_COPIES : 1;
  const copiesForLoad = Math.ceil(model.load / TARGET_LOAD_PER_COPY) + (minCopies > 1 ? 1 : 0);
  return Math.min(replicaCount, Math.max(minCopies, copiesForLoad));
}

/** True when all requests so far left time to load the model first. */
function isDelayTolerant(model: EnginePlanModel): boolean {
  return (
    model.lastRequestMs !== Number.NEGATIVE_INFINITY &&
    model.lastUrgentRequestMs === Number.NEGATIVE_INFINITY
  );
}

/** One round of `planEngines`. @internal */
export class EnginePlanningRound {
  /** Number of replicas that have each model loaded, being loaded or cached. */
  private readonly cachedReplicas = new Map<string, number>();
  private readonly copies = new Map<string, number>();
  private readonly plannedReplicas = new Set<string>();
  /** Models of which only rate-limited replicas serve requests, and not all of them. */
  private readonly partiallyServed = new Set<string>();
  private readonly models: ReadonlyMap<string, EnginePlanModel>;
  private readonly moves: EngineMove[] = [];
  private storeLoadsLeft: number;
  /** Loads from the weight store that prefetches must leave free. */
  private readonly reservedLoads: number;

  constructor(private readonly input: EnginePlanInput) {
    this.reservedLoads = Math.ceil(input.maxConcurrentStoreLoads * RESERVED_LOAD_SHARE);
    this.storeLoadsLeft = input.availableStoreLoads;
    this.models = new Map(input.models.map(model => [model.name, model]));
    for (const replica of input.replicas) {
      const {held, loadingModel, inMemory, onDisk} = replica;
      for (const name of new Set([...held, ...inMemory, ...onDisk, loadingModel])) {
        this.cachedReplicas.set(name, (this.cachedReplicas.get(name) ?? 0) + 1);
      }
      if (loadingModel !== '' && !held.has(loadingModel)) this.countCopy(loadingModel);
      if (isRateLimited(replica)) continue;
      for (const name of held) this.countCopy(name);
    }
    for (const replica of input.replicas.filter(isRateLimited)) this.countServedModels(replica);
  }

  run(): EngineMove[] {
    // Each move changes the values of the others, so they are computed again.
    for (let i = 0; i < this.input.replicas.length; i++) {
      const move = this.nextMove();
      if (move === undefined) break;
      this.moves.push(move);
      this.plannedReplicas.add(move.replica);
      this.countCopy(move.load);
      if (move.source === 'store')
        this.cachedReplicas.set(move.load, (this.cachedReplicas.get(move.load) ?? 0) + 1);
      if (move.unload !== '') this.copies.set(move.unload, this.copiesOf(move.unload) - 1);
      if (move.source === 'store') this.storeLoadsLeft -= 1;
    }
    return this.moves;
  }

  private nextMove(): EngineMove | undefined {
    const candidates = this.input.models
      .map(model => ({
        model,
        value: this.copyValue(model),
        prefetch: this.copiesOf(model.name) >= this.targetCopiesOf(model),
      }))
      .filter(candidate => candidate.value > MIN_GAIN)
      .sort((a, b) => b.value - a.value);
    for (const candidate of candidates) {
      const move = this.bestMoveFor(candidate);
      if (move !== undefined) return move;
    }
    return undefined;
  }

  /** Value of one more copy. */
  private copyValue(model: EnginePlanModel): number {
    const copies = this.copiesOf(model.name);
    const urgent = this.isUrgent(model);
    if (copies === 0) {
      if (this.partiallyServed.has(model.name)) {
        return FIRST_COPY_VALUE + PARTIALLY_SERVED_WEIGHT * (model.load - TARGET_LOAD_PER_COPY);
      }
      if (urgent) return FIRST_COPY_VALUE + model.waiting + model.load;
      if (model.waiting > 0) return DELAY_TOLERANT_FIRST_COPY_VALUE + model.waiting;
      return isDelayTolerant(model) ? DELAY_TOLERANT_LAST_COPY_VALUE : this.standbyValue(model);
    }
    if (copies < this.targetCopiesOf(model))
      return (model.load + (urgent ? EXTRA_URGENT_COPY_VALUE : 0)) / copies;
    return this.prefetchValue(model);
  }

  /** Value of caching the weights on one more replica, if demand may rise within seconds. */
  private prefetchValue(model: EnginePlanModel): number {
    if (!this.mayBecomeUrgent(model) || this.storeLoadsLeft <= this.reservedLoads) return 0;
    const replicaCount = this.cachedReplicas.get(model.name) ?? 0;
    const savedShare = Math.min(1, (model.storeLoadS - model.diskLoadS) / CALLER_WAIT_S);
    return replicaCount < TARGET_CACHED_REPLICAS
      ? (CACHED_REPLICA_VALUE * savedShare) / Math.max(1, replicaCount)
      : 0;
  }

  /**
   * Cost of evicting one copy. While its replica loads from the weight store, the evicted model
   * can't be loaded again there.
   */
  private evictionCost(name: string, source: EngineMove['source']): number {
    const model = this.models.get(name);
    if (model === undefined) return 0;
    const copies = this.copiesOf(name);
    const urgent = this.isUrgent(model);
    if (copies > 1) {
      if (copies > this.targetCopiesOf(model)) return urgent ? SURPLUS_URGENT_COPY_COST : 0;
      return (model.load + (urgent ? EXTRA_URGENT_COPY_VALUE : 0)) / (copies - 1);
    }
    if (urgent) return FIRST_COPY_VALUE + model.load;
    if (!isDelayTolerant(model)) return this.standbyValue(model);
    const isCachedElsewhere = (this.cachedReplicas.get(name) ?? 0) > 1;
    return isCachedElsewhere || source !== 'store'
      ? DELAY_TOLERANT_LAST_COPY_VALUE
      : LAST_CACHED_COPY_VALUE;
  }

  /**
   * True for a model whose demand may rise within seconds: it had urgent requests, it has adapters,
   * or it had no requests although there was traffic for other models.
   */
  private mayBecomeUrgent(model: EnginePlanModel): boolean {
    if (isDelayTolerant(model)) return false;
    const wasRequested = model.lastRequestMs !== Number.NEGATIVE_INFINITY;
    return wasRequested || model.adapters > 0 || this.input.isDemandKnown;
  }

  private standbyValue(model: EnginePlanModel): number {
    return this.mayBecomeUrgent(model) ? STANDBY_COPY_VALUE : UNKNOWN_DEMAND_COPY_VALUE;
  }

  private targetCopiesOf(model: EnginePlanModel): number {
    return targetCopies(model, this.input.replicas.length, this.input.nowMs);
  }

  /** Counts the models that a rate-limited replica can serve, those with the least load first. */
  private countServedModels({held, capacity}: EnginePlanReplica): void {
    const loadOf = (name: string) => this.models.get(name)?.load ?? 0;
    let capacityLeft = RATE_LIMIT_DEMAND_FACTOR * capacity;
    for (const name of [...held].sort((a, b) => loadOf(a) - loadOf(b))) {
      if (this.copiesOf(name) > 0) continue;
      capacityLeft -= loadOf(name);
      if (capacityLeft >= 0) this.countCopy(name);
      else this.partiallyServed.add(name);
    }
  }

  private isUrgent(model: EnginePlanModel): boolean {
    return this.input.nowMs - model.lastUrgentRequestMs < URGENT_DEMAND_WINDOW_MS;
  }

  private bestMoveFor(candidate: CopyCandidate): EngineMove | undefined {
    let best: EngineMove | undefined;
    let bestGain = MIN_GAIN;
    for (const replica of this.input.replicas) {
      if (
        !replica.idle ||
        this.plannedReplicas.has(replica.id) ||
        replica.held.has(candidate.model.name)
      ) {
        continue;
      }
      const source = sourceOf(replica, candidate.model.name);
      if (!this.isSourceAllowed(candidate, source)) continue;
      const eviction = this.findEviction(replica, candidate.model.weightsMb, source);
      if (eviction === undefined) continue;
      const gain =
        candidate.value -
        eviction.cost -
        loadCost(candidate, source) -
        this.competingLoad(replica) * replica.pace -
        DOUBLE_PACE_COST * (replica.pace - 1) -
        (isRateLimited(replica) ? RATE_LIMITED_REPLICA_COST : 0) +
        (this.hasCopyInZone(replica.zone, candidate.model.name) ? 0 : NEW_ZONE_VALUE);
      if (gain <= bestGain) continue;
      bestGain = gain;
      best = {replica: replica.id, unload: eviction.name, load: candidate.model.name, source};
    }
    return best;
  }

  private isSourceAllowed(candidate: CopyCandidate, source: EngineMove['source']): boolean {
    if (source !== 'store') return !candidate.prefetch;
    // Delay-tolerant requests wait for a replica that has the weights cached.
    const replicaCount = this.cachedReplicas.get(candidate.model.name) ?? 0;
    return this.storeLoadsLeft >= 1 && !(isDelayTolerant(candidate.model) && replicaCount > 0);
  }

  /** Cheapest model to evict; undefined if none may be evicted or one is not enough. */
  private findEviction(
    replica: EnginePlanReplica,
    neededMb: number,
    source: EngineMove['source'],
  ): {readonly name: string; readonly cost: number} | undefined {
    if (replica.freeMb >= neededMb) return {name: '', cost: 0};
    let cheapest: {readonly name: string; readonly cost: number} | undefined;
    for (const name of replica.held) {
      const sizeMb = this.models.get(name)?.weightsMb ?? 0;
      if (replica.freeMb + sizeMb < neededMb || this.input.isRecentlyLoaded(replica.id, name))
        continue;
      const cost = this.evictionCost(name, source);
      if (cheapest === undefined || cost < cheapest.cost) cheapest = {name, cost};
    }
    return cheapest;
  }

  /** Load of the models that the replica already serves. */
  private competingLoad(replica: EnginePlanReplica): number {
    let load = 0;
    for (const name of replica.held) {
      load += (this.models.get(name)?.load ?? 0) / Math.max(1, this.copiesOf(name));
    }
    return load;
  }

  private hasCopyInZone(zone: string, model: string): boolean {
    return this.input.replicas.some(
      replica =>
        replica.zone === zone && (replica.held.has(model) || replica.loadingModel === model),
    );
  }

  private copiesOf(name: string): number {
    return this.copies.get(name) ?? 0;
  }

  private countCopy(name: string): void {
    this.copies.set(name, this.copiesOf(name) + 1);
  }
}

function isRateLimited({capacity}: EnginePlanReplica): boolean {
  return capacity < Number.POSITIVE_INFINITY;
}

function sourceOf(replica: EnginePlanReplica, model: string): EngineMove['source'] {
  if (replica.inMemory.has(model)) return 'memory';
  return replica.onDisk.has(model) ? 'disk' : 'store';
}

function loadCost(candidate: CopyCandidate, source: EngineMove['source']): number {
  if (candidate.prefetch) return PREFETCH_COST;
  if (isDelayTolerant(candidate.model)) return source === 'store' ? LATE_LOAD_COST : 0;
  return URGENT_LOAD_COST_PER_S * loadSeconds(candidate.model, source);
}

function loadSeconds(model: EnginePlanModel, source: EngineMove['source']): number {
  switch (source) {
    case 'memory':
      return model.memoryLoadS;
    case 'disk':
      return model.diskLoadS;
    case 'store':
      return model.storeLoadS;
  }
}
