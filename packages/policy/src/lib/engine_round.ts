/**
 * One round of placement on model replicas. Worths and costs share a scale on which 1 is the load of
 * one replica that does nothing but read prompts; they were compared in docs/design/engine_placement.md.
 */
import type {EngineMove, PlanInput, PlanModel, PlanReplica} from './engine_plan.ts';

/** Load that one copy should carry at most; the rest of its replica serves other models. */
const COPY_LOAD = 0.2;
/** Copies of a model with urgent demand, however small: it may grow within a load's time. */
const URGENT_COPIES = 3;
/** A model asked for urgently within this time may be so again at any moment. */
const URGENT_MS = 4000;
/** Worth of making a model reachable that callers wait for, against one copy's load. */
const REACH_WORTH = 4;
const PATIENT_REACH_WORTH = 1.5;
/** Worth of a further copy of a model with urgent demand, besides its load. */
const SPREAD_WORTH = 0.8;
/** Cost of giving up a copy beyond the wanted ones of a model with urgent demand. */
const SURPLUS_URGENT_COST = 0.02;
/** Worth of keeping the last copy of a model that callers can wait for. */
const PATIENT_COPY_WORTH = 0.3;
/** The same when the only other copy of its weights is out of reach for longer than the target. */
const OUT_OF_REACH_WORTH = 1.2;
/** Worth of keeping the last copy of a model that may be asked for urgently at any moment. */
const SLEEPING_COPY_WORTH = 0.8;
/** The same before it is known whether it is asked for at all. */
const UNKNOWN_COPY_WORTH = 0.4;
/** Replicas that should have the weights of such a model, in use or as a copy. */
const NEAR_COPIES = 4;
/** Worth of one more of them when that saves the time in which callers leave, or more. */
const NEAR_WORTH = 0.9;
/** Wait for a model after which most callers have left. */
const PATIENCE_S = 2.5;
/** Cost of a load for it from the weight store, whose rate all replicas share. */
const NEAR_COST = 0.1;
/** Share of the loads at once that are left for demand. */
const RESERVED_SHARE = 0.25;
/** Cost of each second until a model that is asked for urgently has arrived. */
const SECOND_COST = 0.03;
/** Cost of a load that takes longer than patient callers' targets. */
const LATE_LOAD_COST = 0.8;
/** Demand that a replica in need is taken to carry, against its limit: demand rises for moments. */
const CARRIED_LOAD = 2;
/** Weight of the load of a model that such a replica serves in part; below this it is left there. */
const PARTLY_WEIGHT = 2;
/** Cost of a load on a replica that is in need and takes only some requests. */
const LIMITED_COST = 2;
/** Least gain that is worth an order. */
const MIN_GAIN = 0.05;
/** Worth of a copy in a zone that has none. */
const ZONE_WORTH = 0.05;

interface Need {
  readonly model: PlanModel;
  readonly worth: number;
  /** True when the load only serves to leave copies of the weights. */
  readonly prefetch: boolean;
}

/** Copies that a model should have. */
function wantedCopies(model: PlanModel, replicas: number, nowMs: number): number {
  const least = nowMs - model.urgentMs < URGENT_MS ? URGENT_COPIES : 1;
  const byLoad = Math.ceil(model.load / COPY_LOAD) + (least > 1 ? 1 : 0);
  return Math.min(replicas, Math.max(least, byLoad));
}

/** True when callers have so far always had the time for the model to be loaded. */
function isPatient(model: PlanModel): boolean {
  return model.askedMs !== Number.NEGATIVE_INFINITY && model.urgentMs === Number.NEGATIVE_INFINITY;
}

/** One round of `planEngines`. @internal */
export class EngineRound {
  /** Replicas that hold each model, or have a copy of its weights. */
  private readonly near = new Map<string, number>();
  private readonly copies = new Map<string, number>();
  private readonly planned = new Set<string>();
  /** Models of which replicas in need serve some requests, and no other replica any. */
  private readonly partly = new Set<string>();
  private readonly models: ReadonlyMap<string, PlanModel>;
  private readonly moves: EngineMove[] = [];
  private storeLoads: number;
  /** Loads from the weight store that are not used for copies ahead of need. */
  private readonly reserved: number;

  constructor(private readonly input: PlanInput) {
    this.reserved = Math.ceil(input.storeLoadsAtOnce * RESERVED_SHARE);
    this.storeLoads = input.storeLoads;
    this.models = new Map(input.models.map(model => [model.name, model]));
    for (const replica of input.replicas) {
      const {held, arriving, inMemory, onDisk} = replica;
      for (const name of new Set([...held, ...inMemory, ...onDisk, arriving])) {
        this.near.set(name, (this.near.get(name) ?? 0) + 1);
      }
      if (arriving !== '' && !held.has(arriving)) this.addCopy(arriving);
      if (isInNeed(replica)) continue;
      for (const name of held) this.addCopy(name);
    }
    for (const replica of input.replicas.filter(isInNeed)) this.addCarried(replica);
  }

  run(): EngineMove[] {
    // Each move changes what is needed most.
    for (let i = 0; i < this.input.replicas.length; i++) {
      const move = this.bestMove();
      if (move === undefined) break;
      this.moves.push(move);
      this.planned.add(move.replica);
      this.addCopy(move.load);
      if (move.source === 'store') this.near.set(move.load, (this.near.get(move.load) ?? 0) + 1);
      if (move.unload !== '') this.copies.set(move.unload, this.copiesOf(move.unload) - 1);
      if (move.source === 'store') this.storeLoads -= 1;
    }
    return this.moves;
  }

  private bestMove(): EngineMove | undefined {
    const needs = this.input.models
      .map(model => ({
        model,
        worth: this.worthOf(model),
        prefetch: this.copiesOf(model.name) >= this.wanted(model),
      }))
      .filter(need => need.worth > MIN_GAIN)
      .sort((a, b) => b.worth - a.worth);
    for (const need of needs) {
      const move = this.moveFor(need);
      if (move !== undefined) return move;
    }
    return undefined;
  }

  /** What one more copy is worth. */
  private worthOf(model: PlanModel): number {
    const copies = this.copiesOf(model.name);
    const urgent = this.isUrgent(model);
    if (copies === 0) {
      if (this.partly.has(model.name)) {
        return REACH_WORTH + PARTLY_WEIGHT * (model.load - COPY_LOAD);
      }
      if (urgent) return REACH_WORTH + model.waiting + model.load;
      if (model.waiting > 0) return PATIENT_REACH_WORTH + model.waiting;
      return isPatient(model) ? PATIENT_COPY_WORTH : this.sleepingWorth(model);
    }
    if (copies < this.wanted(model)) return (model.load + (urgent ? SPREAD_WORTH : 0)) / copies;
    return this.nearWorth(model);
  }

  /** Worth of weights near at hand for a model whose demand may rise within seconds. */
  private nearWorth(model: PlanModel): number {
    if (!this.mayRise(model) || this.storeLoads <= this.reserved) return 0;
    const near = this.near.get(model.name) ?? 0;
    const savedShare = Math.min(1, (model.storeLoadS - model.diskLoadS) / PATIENCE_S);
    return near < NEAR_COPIES ? (NEAR_WORTH * savedShare) / Math.max(1, near) : 0;
  }

  /**
   * What the loss of one copy costs. Until a load from the weight store ends, its replica can't
   * give back what made way for it.
   */
  private lossOf(name: string, source: EngineMove['source']): number {
    const model = this.models.get(name);
    if (model === undefined) return 0;
    const copies = this.copiesOf(name);
    const urgent = this.isUrgent(model);
    if (copies > 1) {
      if (copies > this.wanted(model)) return urgent ? SURPLUS_URGENT_COST : 0;
      return (model.load + (urgent ? SPREAD_WORTH : 0)) / (copies - 1);
    }
    if (urgent) return REACH_WORTH + model.load;
    if (!isPatient(model)) return this.sleepingWorth(model);
    const elsewhere = (this.near.get(name) ?? 0) > 1;
    return elsewhere || source !== 'store' ? PATIENT_COPY_WORTH : OUT_OF_REACH_WORTH;
  }

  /**
   * True for a model whose demand may rise within seconds: one that was asked for urgently, one
   * that somebody has made adapters for, or one that has been silent while the others were not.
   */
  private mayRise(model: PlanModel): boolean {
    if (isPatient(model)) return false;
    const seen = model.askedMs !== Number.NEGATIVE_INFINITY;
    return seen || model.adapters > 0 || this.input.settled;
  }

  private sleepingWorth(model: PlanModel): number {
    return this.mayRise(model) ? SLEEPING_COPY_WORTH : UNKNOWN_COPY_WORTH;
  }

  private wanted(model: PlanModel): number {
    return wantedCopies(model, this.input.replicas.length, this.input.nowMs);
  }

  /** Counts the models that a replica in need can carry, the least asked for first. */
  private addCarried({held, capacity}: PlanReplica): void {
    const loadOf = (name: string) => this.models.get(name)?.load ?? 0;
    let left = CARRIED_LOAD * capacity;
    for (const name of [...held].sort((a, b) => loadOf(a) - loadOf(b))) {
      if (this.copiesOf(name) > 0) continue;
      left -= loadOf(name);
      if (left >= 0) this.addCopy(name);
      else this.partly.add(name);
    }
  }

  private isUrgent(model: PlanModel): boolean {
    return this.input.nowMs - model.urgentMs < URGENT_MS;
  }

  private moveFor(need: Need): EngineMove | undefined {
    let best: EngineMove | undefined;
    let bestGain = MIN_GAIN;
    for (const replica of this.input.replicas) {
      if (!replica.idle || this.planned.has(replica.id) || replica.held.has(need.model.name)) {
        continue;
      }
      const source = sourceOf(replica, need.model.name);
      if (!this.allows(need, source)) continue;
      const victim = this.victimOn(replica, need.model.weightsMb, source);
      if (victim === undefined) continue;
      const gain =
        need.worth -
        victim.loss -
        loadCost(need, source) -
        this.crowding(replica) -
        (isInNeed(replica) ? LIMITED_COST : 0) +
        (this.zoneHas(replica.zone, need.model.name) ? 0 : ZONE_WORTH);
      if (gain <= bestGain) continue;
      bestGain = gain;
      best = {replica: replica.id, unload: victim.name, load: need.model.name, source};
    }
    return best;
  }

  private allows(need: Need, source: EngineMove['source']): boolean {
    if (source !== 'store') return !need.prefetch;
    // Patient callers rather wait for the replica that has the weights at hand.
    const near = this.near.get(need.model.name) ?? 0;
    return this.storeLoads >= 1 && !(isPatient(need.model) && near > 0);
  }

  /** What must go to make room; undefined when nothing may, or one model is not enough. */
  private victimOn(
    replica: PlanReplica,
    neededMb: number,
    source: EngineMove['source'],
  ): {readonly name: string; readonly loss: number} | undefined {
    if (replica.freeMb >= neededMb) return {name: '', loss: 0};
    let victim: {readonly name: string; readonly loss: number} | undefined;
    for (const name of replica.held) {
      const sizeMb = this.models.get(name)?.weightsMb ?? 0;
      if (replica.freeMb + sizeMb < neededMb || this.input.isFresh(replica.id, name)) continue;
      const loss = this.lossOf(name, source);
      if (victim === undefined || loss < victim.loss) victim = {name, loss};
    }
    return victim;
  }

  /** Load that a replica's other models bring with them. */
  private crowding(replica: PlanReplica): number {
    let load = 0;
    for (const name of replica.held) {
      load += (this.models.get(name)?.load ?? 0) / Math.max(1, this.copiesOf(name));
    }
    return load;
  }

  private zoneHas(zone: string, model: string): boolean {
    return this.input.replicas.some(
      replica => replica.zone === zone && (replica.held.has(model) || replica.arriving === model),
    );
  }

  private copiesOf(name: string): number {
    return this.copies.get(name) ?? 0;
  }

  private addCopy(name: string): void {
    this.copies.set(name, this.copiesOf(name) + 1);
  }
}

function isInNeed({capacity}: PlanReplica): boolean {
  return capacity < Number.POSITIVE_INFINITY;
}

function sourceOf(replica: PlanReplica, model: string): EngineMove['source'] {
  if (replica.inMemory.has(model)) return 'memory';
  return replica.onDisk.has(model) ? 'disk' : 'store';
}

function loadCost(need: Need, source: EngineMove['source']): number {
  if (need.prefetch) return NEAR_COST;
  if (isPatient(need.model)) return source === 'store' ? LATE_LOAD_COST : 0;
  return SECOND_COST * loadSeconds(need.model, source);
}

function loadSeconds(model: PlanModel, source: EngineMove['source']): number {
  switch (source) {
    case 'memory':
      return model.memoryLoadS;
    case 'disk':
      return model.diskLoadS;
    case 'store':
      return model.storeLoadS;
  }
}
