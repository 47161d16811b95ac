/**
 * One round of placement on model replicas. Worths and costs share a scale on which 1 is the load of
 * one replica that does nothing but read prompts; they were compared in docs/design/engine_placement.md.
 */
import type {
  EngineMove,
  EnginePlanInput,
  EnginePlanModel,
  EnginePlanReplica,
} from './engine_plan.ts';

/** Load that one copy should carry at most; the rest of its replica serves other models. */
const TARGET_LOAD_PER_COPY = 0.2;
/** Copies of a model with urgent demand, however small: it may grow within a load's time. */
const MIN_URGENT_COPIES = 3;
/** A model asked for urgently within this time may be so again at any moment. */
const URGENT_DEMAND_WINDOW_MS = 4000;
/** Worth of making a model reachable that callers wait for, against one copy's load. */
const FIRST_COPY_VALUE = 4;
const DELAY_TOLERANT_FIRST_COPY_VALUE = 1.5;
/** Worth of a further copy of a model with urgent demand, besides its load. */
const EXTRA_URGENT_COPY_VALUE = 0.8;
/** Cost of giving up a copy beyond the wanted ones of a model with urgent demand. */
const SURPLUS_URGENT_COPY_COST = 0.02;
/** Worth of keeping the last copy of a model that callers can wait for. */
const DELAY_TOLERANT_LAST_COPY_VALUE = 0.3;
/** The same when the only other copy of its weights is out of reach for longer than the target. */
const LAST_CACHED_COPY_VALUE = 1.2;
/** Worth of keeping the last copy of a model that may be asked for urgently at any moment. */
const STANDBY_COPY_VALUE = 0.8;
/** The same before it is known whether it is asked for at all. */
const UNKNOWN_DEMAND_COPY_VALUE = 0.4;
/** Replicas that should have the weights of such a model, in use or as a copy. */
const TARGET_CACHED_REPLICAS = 4;
/** Worth of one more of them when that saves the time in which callers leave, or more. */
const CACHED_REPLICA_VALUE = 0.9;
/** Wait for a model after which most callers have left. */
const CALLER_WAIT_S = 2.5;
/** Cost of a load for it from the weight store, whose rate all replicas share. */
const PREFETCH_COST = 0.1;
/** Share of the loads at once that are left for demand. */
const RESERVED_LOAD_SHARE = 0.25;
/** Cost of each second until a model that is asked for urgently has arrived. */
const URGENT_LOAD_COST_PER_S = 0.03;
/** Cost of a load that takes longer than patient callers' targets. */
const LATE_LOAD_COST = 0.8;
/** Demand that a replica in need is taken to carry, against its limit: demand rises for moments. */
const RATE_LIMIT_DEMAND_FACTOR = 2;
/** Weight of the load of a model that such a replica serves in part; below this it is left there. */
const PARTIALLY_SERVED_WEIGHT = 2;
/** Cost of a load on a replica that is in need and takes only some requests. */
const RATE_LIMITED_REPLICA_COST = 2;
/** Least gain that is worth an order. */
const MIN_GAIN = 0.05;
/** Worth of a copy in a zone that has none. */
const NEW_ZONE_VALUE = 0.05;

interface CopyCandidate {
  readonly model: EnginePlanModel;
  readonly value: number;
  /** True when the load only serves to leave copies of the weights. */
  readonly prefetch: boolean;
}

/** Copies that a model should have. */
function targetCopies(model: EnginePlanModel, replicaCount: number, nowMs: number): number {
  const minCopies =
    nowMs - model.lastUrgentRequestMs < URGENT_DEMAND_WINDOW_MS ? MIN_URGENT_COPIES : 1;
  const copiesForLoad = Math.ceil(model.load / TARGET_LOAD_PER_COPY) + (minCopies > 1 ? 1 : 0);
  return Math.min(replicaCount, Math.max(minCopies, copiesForLoad));
}

/** True when callers have so far always had the time for the model to be loaded. */
function isDelayTolerant(model: EnginePlanModel): boolean {
  return (
    model.lastRequestMs !== Number.NEGATIVE_INFINITY &&
    model.lastUrgentRequestMs === Number.NEGATIVE_INFINITY
  );
}

/** One round of `planEngines`. @internal */
export class EnginePlanningRound {
  /** Replicas that hold each model, or have a copy of its weights. */
  private readonly cachedReplicas = new Map<string, number>();
  private readonly copies = new Map<string, number>();
  private readonly plannedReplicas = new Set<string>();
  /** Models of which replicas in need serve some requests, and no other replica any. */
  private readonly partiallyServed = new Set<string>();
  private readonly models: ReadonlyMap<string, EnginePlanModel>;
  private readonly moves: EngineMove[] = [];
  private storeLoadsLeft: number;
  /** Loads from the weight store that are not used for copies ahead of need. */
  private readonly reservedLoads: number;

  constructor(private readonly input: EnginePlanInput) {
    this.reservedLoads = Math.ceil(input.maxConcurrentStoreLoads * RESERVED_LOAD_SHARE);
    this.storeLoadsLeft = input.availableStoreLoads;
    this.models = new Map(input.models.map(model => [model.name, model]));
    for (const replica of input.replicas) {
      const {held, loadingModel: arriving, inMemory, onDisk} = replica;
      for (const name of new Set([...held, ...inMemory, ...onDisk, arriving])) {
        this.cachedReplicas.set(name, (this.cachedReplicas.get(name) ?? 0) + 1);
      }
      if (arriving !== '' && !held.has(arriving)) this.countCopy(arriving);
      if (isRateLimited(replica)) continue;
      for (const name of held) this.countCopy(name);
    }
    for (const replica of input.replicas.filter(isRateLimited))
      this.countRateLimitedCopies(replica);
  }

  run(): EngineMove[] {
    // Each move changes what is needed most.
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
      .filter(need => need.value > MIN_GAIN)
      .sort((a, b) => b.value - a.value);
    for (const candidate of candidates) {
      const move = this.bestMoveFor(candidate);
      if (move !== undefined) return move;
    }
    return undefined;
  }

  /** What one more copy is worth. */
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

  /** Worth of weights near at hand for a model whose demand may rise within seconds. */
  private prefetchValue(model: EnginePlanModel): number {
    if (!this.mayBecomeUrgent(model) || this.storeLoadsLeft <= this.reservedLoads) return 0;
    const replicaCount = this.cachedReplicas.get(model.name) ?? 0;
    const savedShare = Math.min(1, (model.storeLoadS - model.diskLoadS) / CALLER_WAIT_S);
    return replicaCount < TARGET_CACHED_REPLICAS
      ? (CACHED_REPLICA_VALUE * savedShare) / Math.max(1, replicaCount)
      : 0;
  }

  /**
   * What the loss of one copy costs. Until a load from the weight store ends, its replica can't
   * give back what made way for it.
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
   * True for a model whose demand may rise within seconds: one that was asked for urgently, one
   * that somebody has made adapters for, or one that has been silent while the others were not.
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

  /** Counts the models that a replica in need can carry, the least asked for first. */
  private countRateLimitedCopies({held, capacity}: EnginePlanReplica): void {
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
        this.competingLoad(replica) -
        (isRateLimited(replica) ? RATE_LIMITED_REPLICA_COST : 0) +
        (this.isInZone(replica.zone, candidate.model.name) ? 0 : NEW_ZONE_VALUE);
      if (gain <= bestGain) continue;
      bestGain = gain;
      best = {replica: replica.id, unload: eviction.name, load: candidate.model.name, source};
    }
    return best;
  }

  private isSourceAllowed(candidate: CopyCandidate, source: EngineMove['source']): boolean {
    if (source !== 'store') return !candidate.prefetch;
    // Patient callers rather wait for the replica that has the weights at hand.
    const replicaCount = this.cachedReplicas.get(candidate.model.name) ?? 0;
    return this.storeLoadsLeft >= 1 && !(isDelayTolerant(candidate.model) && replicaCount > 0);
  }

  /** What must go to make room; undefined when nothing may, or one model is not enough. */
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
      if (cheapest === undefined || cost < cheapest.cost) cheapest = {name, cost: cost};
    }
    return cheapest;
  }

  /** Load that a replica's other models bring with them. */
  private competingLoad(replica: EnginePlanReplica): number {
    let load = 0;
    for (const name of replica.held) {
      load += (this.models.get(name)?.load ?? 0) / Math.max(1, this.copiesOf(name));
    }
    return load;
  }

  private isInZone(zone: string, model: string): boolean {
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
