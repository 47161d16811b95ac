/** Plans which model replica loads which model, one round at a time. */

/** A model replica as the planner sees it. @public */
export interface PlanReplica {
  readonly id: string;
  readonly zone: string;
  /** Models that it holds and does not unload. */
  readonly held: ReadonlySet<string>;
  /** True when no order is in progress there and its steward can be reached. */
  readonly idle: boolean;
  /** Model that is on its way there; empty when none is. */
  readonly arriving: string;
  readonly freeMb: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
}

/** @public */
export interface PlanModel {
  readonly name: string;
  readonly weightsMb: number;
  readonly storeLoadS: number;
  readonly diskLoadS: number;
  readonly memoryLoadS: number;
  /** Replicas that the demand would keep busy reading prompts. */
  readonly load: number;
  /** Requests that wait for it now. */
  readonly waiting: number;
  /** Monotonic time of the last request; minus infinity when there was none. */
  readonly askedMs: number;
}

/** @public */
export interface PlanInput {
  readonly replicas: readonly PlanReplica[];
  readonly models: readonly PlanModel[];
  /** Loads from the weight store that may begin now. */
  readonly storeLoads: number;
  readonly nowMs: number;
  /** True for a copy that was loaded so recently that it stays. */
  isFresh(replica: string, model: string): boolean;
}

/** @public */
export interface EngineMove {
  readonly replica: string;
  /** Empty when there is room. */
  readonly unload: string;
  readonly load: string;
  readonly source: 'memory' | 'disk' | 'store';
}

/** Load that one copy should carry at most; the rest of its replica serves other models. */
const COPY_LOAD = 0.22;
/** A model asked for within this time is in demand. */
const DEMAND_MS = 12_000;
/** Worth of making a model reachable that callers wait for, against one copy's load. */
const REACH_WORTH = 4;
/** Worth of keeping the last copy of a model without recent demand. */
const LAST_COPY_WORTH = 0.25;
/** Worth of a second's sooner arrival. */
const SECOND_WORTH = 0.12;
/** Least gain that is worth an order. */
const MIN_GAIN = 0.06;
/** Worth of a copy in a zone that has none. */
const ZONE_WORTH = 0.05;

interface Need {
  readonly model: PlanModel;
  readonly worth: number;
}

/**
 * Loads what is asked for and held nowhere, then further copies of models whose load is more than
 * their copies should carry. Answers a shift of demand: copies of models that nobody asks for any
 * more make way at once, from the nearest copy of the weights.
 *
 * @example
 * for (const move of planEngines(input)) send(move);
 * @public
 */
export function planEngines(input: PlanInput): EngineMove[] {
  const round = new EngineRound(input);
  return round.run();
}

/** Copies that a model should have. @public */
export function wantedCopies(model: PlanModel, replicas: number): number {
  const byLoad = Math.ceil(model.load / COPY_LOAD);
  return Math.max(1, Math.min(replicas, byLoad));
}

class EngineRound {
  private readonly copies = new Map<string, number>();
  private readonly planned = new Set<string>();
  private readonly models: ReadonlyMap<string, PlanModel>;
  private readonly moves: EngineMove[] = [];
  private storeLoads: number;

  constructor(private readonly input: PlanInput) {
    this.storeLoads = input.storeLoads;
    this.models = new Map(input.models.map(model => [model.name, model]));
    for (const {held, arriving} of input.replicas) {
      for (const name of held) this.addCopy(name);
      if (arriving !== '' && !held.has(arriving)) this.addCopy(arriving);
    }
  }

  run(): EngineMove[] {
    // Each move changes what is needed most.
    for (let i = 0; i < this.input.replicas.length; i++) {
      const move = this.bestMove();
      if (move === undefined) break;
      this.moves.push(move);
      this.planned.add(move.replica);
      this.addCopy(move.load);
      if (move.unload !== '') this.copies.set(move.unload, this.copiesOf(move.unload) - 1);
      if (move.source === 'store') this.storeLoads -= 1;
    }
    return this.moves;
  }

  private bestMove(): EngineMove | undefined {
    const needs = this.input.models
      .map(model => ({model, worth: this.worthOf(model)}))
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
    const inDemand = this.input.nowMs - model.askedMs < DEMAND_MS;
    if (copies === 0) {
      if (model.waiting > 0) return REACH_WORTH + model.waiting + model.load;
      return inDemand ? REACH_WORTH / 2 + model.load : LAST_COPY_WORTH;
    }
    if (copies >= wantedCopies(model, this.input.replicas.length)) return 0;
    return model.load / copies;
  }

  /** What the loss of one copy costs. */
  private lossOf(name: string): number {
    const model = this.models.get(name);
    if (model === undefined) return 0;
    const copies = this.copiesOf(name);
    const inDemand = this.input.nowMs - model.askedMs < DEMAND_MS;
    if (copies <= 1) return inDemand ? REACH_WORTH / 2 + model.load : LAST_COPY_WORTH;
    if (copies > wantedCopies(model, this.input.replicas.length)) return 0;
    return model.load / (copies - 1);
  }

  private moveFor(need: Need): EngineMove | undefined {
    let best: EngineMove | undefined;
    let bestGain = MIN_GAIN;
    for (const replica of this.input.replicas) {
      if (!replica.idle || this.planned.has(replica.id) || replica.held.has(need.model.name)) {
        continue;
      }
      const source = sourceOf(replica, need.model.name);
      if (source === 'store' && this.storeLoads < 1) continue;
      const victim = this.victimOn(replica, need.model.weightsMb);
      if (victim === undefined) continue;
      const gain =
        need.worth -
        victim.loss -
        SECOND_WORTH * loadSeconds(need.model, source) -
        this.crowding(replica) +
        (this.zoneHas(replica.zone, need.model.name) ? 0 : ZONE_WORTH);
      if (gain <= bestGain) continue;
      bestGain = gain;
      best = {replica: replica.id, unload: victim.name, load: need.model.name, source};
    }
    return best;
  }

  /** What must go to make room; undefined when nothing may, or one model is not enough. */
  private victimOn(
    replica: PlanReplica,
    neededMb: number,
  ): {readonly name: string; readonly loss: number} | undefined {
    if (replica.freeMb >= neededMb) return {name: '', loss: 0};
    let victim: {readonly name: string; readonly loss: number} | undefined;
    for (const name of replica.held) {
      const sizeMb = this.models.get(name)?.weightsMb ?? 0;
      if (replica.freeMb + sizeMb < neededMb || this.input.isFresh(replica.id, name)) continue;
      const loss = this.lossOf(name);
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

function sourceOf(replica: PlanReplica, model: string): EngineMove['source'] {
  if (replica.inMemory.has(model)) return 'memory';
  return replica.onDisk.has(model) ? 'disk' : 'store';
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
