/** Plans which replica holds which model: floors first, then spare memory to the busiest models. */

/** @public */
export interface ReplicaState {
  readonly id: string;
  readonly zone: string;
  readonly capacityMiB: number;
  readonly slots: number;
  /** Models planned for this replica. */
  readonly planned: ReadonlySet<string>;
  /** Models that it reports ready. */
  readonly ready: ReadonlySet<string>;
  /** False when it is gone, leaving or unhealthy. */
  readonly available: boolean;
}

/** @public */
export interface ModelDemand {
  readonly name: string;
  /** Weights and the smallest useful KV cache. */
  readonly sizeMiB: number;
  readonly floor: number;
  /** Mean number of requests in progress that the demand causes. */
  readonly erlangs: number;
  /** Monotonic time of the last move of this model. */
  readonly movedMs: number;
}

/** @public */
export interface PlacementInput {
  readonly replicas: readonly ReplicaState[];
  readonly models: readonly ModelDemand[];
  readonly nowMs: number;
  /** Moves allowed in this round by the weight store's rate. */
  readonly budget: number;
  /** Utilisation above which a model's replicas count as busy. */
  readonly busyUtilisation: number;
  /** Utilisation that a move must gain; larger means fewer moves. */
  readonly minGain: number;
  readonly cooldownMs: number;
}

/** @public */
export type PlacementMove =
  | {
      readonly kind: 'add';
      readonly model: string;
      readonly replica: string;
      readonly reason: 'floor' | 'demand';
    }
  | {
      readonly kind: 'remove';
      readonly model: string;
      readonly replica: string;
      readonly reason: 'room_for_floor' | 'room_for_demand';
    };

interface WorkingReplica {
  readonly state: ReplicaState;
  readonly planned: Set<string>;
  freeMiB: number;
  load: number;
}

interface Victim {
  readonly models: readonly string[];
  readonly value: number;
}

/**
 * One round of planning. Copies on unavailable replicas do not count; a copy is removed only when
 * enough others are ready at this moment.
 *
 * @returns Moves in the order in which they must be carried out.
 * @example
 * for (const move of planMoves(input)) plan = applyMove(plan, move);
 * @public
 */
export function planMoves(input: PlacementInput): PlacementMove[] {
  const round = new PlanningRound(input);
  round.restoreFloors();
  round.relieveBusyModels();
  return round.moves;
}

class PlanningRound {
  readonly moves: PlacementMove[] = [];
  private readonly replicas: WorkingReplica[];
  private readonly models: Map<string, ModelDemand>;
  private readonly holders = new Map<string, WorkingReplica[]>();
  private readonly readyCount = new Map<string, number>();
  private adds = 0;

  constructor(private readonly input: PlacementInput) {
    this.models = new Map(input.models.map(model => [model.name, model]));
    this.replicas = input.replicas
      .filter(state => state.available)
      .map(state => ({state, planned: new Set(state.planned), freeMiB: 0, load: 0}));
    for (const replica of this.replicas) this.indexReplica(replica);
    for (const replica of this.replicas) this.refreshLoad(replica);
  }

  restoreFloors(): void {
    const missing = [...this.models.values()]
      .filter(model => this.copies(model.name) < model.floor)
      // A model with no copy at all comes first, then the largest, which are hardest to fit.
      .sort((a, b) => this.copies(a.name) - this.copies(b.name) || b.sizeMiB - a.sizeMiB);
    for (const model of missing) {
      while (this.copies(model.name) < model.floor && this.hasBudget()) {
        const target = this.floorTarget(model);
        if (target === undefined) break;
        this.addCopy(model, target, 'floor');
      }
    }
  }

  relieveBusyModels(): void {
    const busy = [...this.models.values()]
      .filter(model => model.erlangs > 0 && this.isCool(model))
      .map(model => ({model, pressure: this.pressure(model.name)}))
      .filter(({pressure}) => pressure > this.input.busyUtilisation)
      .sort((a, b) => b.pressure - a.pressure);
    for (const {model, pressure} of busy) {
      if (!this.hasBudget()) return;
      const target = this.demandTarget(model, pressure);
      if (target !== undefined) this.addCopy(model, target, 'demand');
    }
  }

  private indexReplica(replica: WorkingReplica): void {
    replica.freeMiB = replica.state.capacityMiB;
    for (const name of replica.planned) {
      const model = this.models.get(name);
      if (model === undefined) {
        this.moves.push({
          kind: 'remove',
          model: name,
          replica: replica.state.id,
          reason: 'room_for_floor',
        });
        replica.planned.delete(name);
        continue;
      }
      replica.freeMiB -= model.sizeMiB;
      this.holdersOf(name).push(replica);
      if (replica.state.ready.has(name)) {
        this.readyCount.set(name, (this.readyCount.get(name) ?? 0) + 1);
      }
    }
  }

  /** Prefers an availability zone without a copy, then the most free memory. */
  private floorTarget(model: ModelDemand): WorkingReplica | undefined {
    const zones = new Set(this.holdersOf(model.name).map(holder => holder.state.zone));
    let best: WorkingReplica | undefined;
    let bestRank = Number.NEGATIVE_INFINITY;
    for (const replica of this.replicas) {
      if (replica.planned.has(model.name) || replica.state.capacityMiB < model.sizeMiB) continue;
      const fits = replica.freeMiB >= model.sizeMiB;
      if (!fits && this.victim(replica, model, Number.POSITIVE_INFINITY) === undefined) continue;
      const newZone = zones.has(replica.state.zone) ? 0 : 1;
      const rank = newZone * 4 + (fits ? 2 : 0) + replica.freeMiB / replica.state.capacityMiB;
      if (rank > bestRank) {
        best = replica;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Least loaded replica on which a further copy gains enough. */
  private demandTarget(model: ModelDemand, pressure: number): WorkingReplica | undefined {
    const share = model.erlangs / (this.copies(model.name) + 1);
    let best: WorkingReplica | undefined;
    let bestGain = this.input.minGain;
    for (const replica of this.replicas) {
      if (replica.planned.has(model.name)) continue;
      const gain = pressure - (replica.load + share) / replica.state.slots;
      if (gain <= bestGain) continue;
      const fits = replica.freeMiB >= model.sizeMiB;
      if (!fits && this.victim(replica, model, share) === undefined) continue;
      best = replica;
      bestGain = gain;
    }
    return best;
  }

  /** Cheapest set of copies to remove for room; their load must be worth less than `value`. */
  private victim(replica: WorkingReplica, model: ModelDemand, value: number): Victim | undefined {
    const removable = [...replica.planned]
      .filter(name => this.isRemovable(name, replica))
      .map(name => ({name, share: this.share(name), sizeMiB: this.models.get(name)!.sizeMiB}))
      .sort((a, b) => a.share - b.share);
    const chosen: string[] = [];
    let lost = 0;
    let freeMiB = replica.freeMiB;
    for (const candidate of removable) {
      if (freeMiB >= model.sizeMiB) break;
      chosen.push(candidate.name);
      lost += candidate.share;
      freeMiB += candidate.sizeMiB;
    }
    if (freeMiB < model.sizeMiB || lost * (1 + this.input.minGain) >= value) return undefined;
    return {models: chosen, value: lost};
  }

  private isRemovable(name: string, replica: WorkingReplica): boolean {
    const model = this.models.get(name)!;
    if (!this.isCool(model)) return false;
    const readyHere = replica.state.ready.has(name) ? 1 : 0;
    const readyElsewhere = (this.readyCount.get(name) ?? 0) - readyHere;
    const others = this.holdersOf(name).filter(holder => holder !== replica);
    const zones = new Set(others.map(holder => holder.state.zone));
    const zonesKept = zones.size >= Math.min(model.floor, 2);
    return readyElsewhere >= Math.max(1, model.floor) && zonesKept;
  }

  private addCopy(model: ModelDemand, replica: WorkingReplica, reason: 'floor' | 'demand'): void {
    if (replica.freeMiB < model.sizeMiB) {
      const limit =
        reason === 'floor'
          ? Number.POSITIVE_INFINITY
          : model.erlangs / (this.copies(model.name) + 1);
      for (const name of this.victim(replica, model, limit)!.models) {
        this.removeCopy(name, replica, reason);
      }
    }
    this.moves.push({kind: 'add', model: model.name, replica: replica.state.id, reason});
    replica.planned.add(model.name);
    replica.freeMiB -= model.sizeMiB;
    const holders = this.holdersOf(model.name);
    holders.push(replica);
    this.adds += 1;
    for (const holder of holders) this.refreshLoad(holder);
  }

  private removeCopy(name: string, replica: WorkingReplica, reason: 'floor' | 'demand'): void {
    this.moves.push({
      kind: 'remove',
      model: name,
      replica: replica.state.id,
      reason: reason === 'floor' ? 'room_for_floor' : 'room_for_demand',
    });
    replica.planned.delete(name);
    replica.freeMiB += this.models.get(name)!.sizeMiB;
    const holders = this.holdersOf(name);
    holders.splice(holders.indexOf(replica), 1);
    if (replica.state.ready.has(name)) {
      this.readyCount.set(name, this.readyCount.get(name)! - 1);
    }
    for (const holder of holders) this.refreshLoad(holder);
  }

  private refreshLoad(replica: WorkingReplica): void {
    let load = 0;
    for (const name of replica.planned) load += this.share(name);
    replica.load = load;
  }

  /** Requests in progress that one copy carries. */
  private share(name: string): number {
    return this.models.get(name)!.erlangs / Math.max(1, this.copies(name));
  }

  /** Mean utilisation of the replicas that hold the model. */
  private pressure(name: string): number {
    const holders = this.holdersOf(name);
    if (holders.length === 0) return Number.POSITIVE_INFINITY;
    let total = 0;
    for (const holder of holders) total += holder.load / holder.state.slots;
    return total / holders.length;
  }

  private isCool(model: ModelDemand): boolean {
    return this.input.nowMs - model.movedMs >= this.input.cooldownMs;
  }

  private hasBudget(): boolean {
    return this.adds < this.input.budget;
  }

  private copies(name: string): number {
    return this.holders.get(name)?.length ?? 0;
  }

  private holdersOf(name: string): WorkingReplica[] {
    let holders = this.holders.get(name);
    if (holders === undefined) {
      holders = [];
      this.holders.set(name, holders);
    }
    return holders;
  }
}

/** A model whose floor does not fit. @public */
export interface FloorShortage {
  readonly model: string;
  readonly wantedCopies: number;
  readonly placedCopies: number;
}

/**
 * Tries to place every floor on empty replicas.
 *
 * @returns Models whose floor does not fit; empty when the declaration is reachable.
 * @public
 */
export function checkFloors(
  replicas: readonly ReplicaState[],
  models: readonly ModelDemand[],
): FloorShortage[] {
  const empty = new Set<string>();
  const moves = planMoves({
    replicas: replicas.map(replica => ({...replica, planned: empty, ready: empty})),
    models,
    nowMs: 0,
    budget: Number.POSITIVE_INFINITY,
    busyUtilisation: Number.POSITIVE_INFINITY,
    minGain: 0,
    cooldownMs: 0,
  });
  const placed = new Map<string, number>();
  for (const move of moves) placed.set(move.model, (placed.get(move.model) ?? 0) + 1);
  return models
    .map(model => ({
      model: model.name,
      wantedCopies: model.floor,
      placedCopies: placed.get(model.name) ?? 0,
    }))
    .filter(shortage => shortage.placedCopies < shortage.wantedCopies);
}
