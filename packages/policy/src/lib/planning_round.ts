/** One planning round on a working copy of the fleet's state. */
import type {
  AddReason,
  ModelDemand,
  PlacementInput,
  PlacementMove,
  ReplicaState,
} from './placement.ts';

/** Iterations after which the estimated loads have converged. */
const BALANCE_ITERATIONS = 4;

/** Assumed demand of a model without requests. */
const IDLE_ERLANGS = 0.01;

interface WorkingReplica {
  readonly state: ReplicaState;
  readonly planned: Set<string>;
  freeMiB: number;
  load: number;
}

interface Eviction {
  readonly models: readonly string[];
  /** Waiting requests that the removal adds. */
  readonly addedWaits: number;
}

/** @internal */
export class PlanningRound {
  readonly moves: PlacementMove[] = [];
  private readonly replicas: WorkingReplica[];
  private readonly models: Map<string, ModelDemand>;
  private readonly replicasByModel = new Map<string, WorkingReplica[]>();
  private readonly loadShares = new Map<string, Map<WorkingReplica, number>>();
  private readonly readyCounts = new Map<string, number>();
  private addCount = 0;
  private readonly allFloorsFit: boolean;

  constructor(private readonly input: PlacementInput) {
    this.models = new Map(input.models.map(model => [model.name, model]));
    this.replicas = input.replicas
      .filter(state => state.available)
      .map(state => ({state, planned: new Set(state.planned), freeMiB: 0, load: 0}));
    for (const replica of this.replicas) this.indexReplica(replica);
    this.allFloorsFit = this.checkAllFloorsFit();
    for (let iteration = 0; iteration < BALANCE_ITERATIONS; iteration++) {
      for (const model of this.models.values()) this.balance(model);
    }
  }

  restoreFloors(): void {
    const missing = [...this.models.values()]
      .filter(model => this.copies(model.name) < this.floorOf(model))
      // A model with no copy at all comes first, then the largest, which are hardest to fit.
      .sort((a, b) => this.copies(a.name) - this.copies(b.name) || b.sizeMiB - a.sizeMiB);
    for (const model of missing) {
      while (this.copies(model.name) < this.floorOf(model) && this.hasBudget()) {
        const target = this.floorTarget(model);
        if (target === undefined) break;
        this.addCopy(model, target, 'floor');
      }
    }
  }

  relieveBusyModels(): void {
    const busyModels = [...this.models.values()]
      .filter(model => this.isCooldownOver(model))
      .map(model => ({model, waits: this.expectedWaits(model, this.replicasOf(model.name))}))
      .filter(({waits}) => waits > this.input.minGain)
      .sort((a, b) => b.waits - a.waits);
    for (const {model} of busyModels) {
      if (!this.hasBudget()) return;
      const target = this.demandTarget(model);
      if (target !== undefined) this.addCopy(model, target, 'demand');
    }
  }

  /** Gives free memory to the models whose copies have the most load; evicts nothing. */
  fillSpareMemory(): void {
    const replicasWithSpace = this.replicas
      .filter(replica => replica.freeMiB > 0)
      .sort((a, b) => a.load / a.state.slots - b.load / b.state.slots);
    for (const replica of replicasWithSpace) {
      while (this.hasBudget()) {
        const model = this.bestSpareModel(replica);
        if (model === undefined) break;
        this.addCopy(model, replica, 'spare');
      }
    }
  }

  private bestSpareModel(replica: WorkingReplica): ModelDemand | undefined {
    let best: ModelDemand | undefined;
    let bestValue = Number.NEGATIVE_INFINITY;
    for (const model of this.models.values()) {
      if (model.sizeMiB > replica.freeMiB || replica.planned.has(model.name)) continue;
      const copies = this.copies(model.name);
      // With equal demand the model with the fewest copies gains most.
      const value = (model.erlangs + IDLE_ERLANGS) / (copies * (copies + 1));
      if (copies > 0 && value > bestValue) {
        best = model;
        bestValue = value;
      }
    }
    return best;
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
      this.replicasOf(name).push(replica);
      if (replica.state.ready.has(name)) {
        this.readyCounts.set(name, (this.readyCounts.get(name) ?? 0) + 1);
      }
    }
  }

  /**
   * With an availability zone lost, the memory may be too small for all floors. Then only one copy
   * of each model is guaranteed, and demand decides about further ones.
   */
  private floorOf(model: ModelDemand): number {
    return this.allFloorsFit ? model.floor : 1;
  }

  private checkAllFloorsFit(): boolean {
    let neededMiB = 0;
    for (const model of this.models.values()) neededMiB += model.floor * model.sizeMiB;
    let capacityMiB = 0;
    for (const replica of this.replicas) capacityMiB += replica.state.capacityMiB;
    return neededMiB <= capacityMiB;
  }

  /** Prefers an availability zone without a copy, then the most free memory. */
  private floorTarget(model: ModelDemand): WorkingReplica | undefined {
    const zones = new Set(this.replicasOf(model.name).map(replica => replica.state.zone));
    let best: WorkingReplica | undefined;
    let bestRank = Number.NEGATIVE_INFINITY;
    for (const replica of this.replicas) {
      if (replica.planned.has(model.name) || replica.state.capacityMiB < model.sizeMiB) continue;
      const fits = replica.freeMiB >= model.sizeMiB;
      if (this.findEviction(replica, model) === undefined) continue;
      const newZone = zones.has(replica.state.zone) ? 0 : 1;
      const rank = newZone * 4 + (fits ? 2 : 0) + replica.freeMiB / replica.state.capacityMiB;
      if (rank > bestRank) {
        best = replica;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Replica on which one more copy saves the most waiting requests, less those from evictions. */
  private demandTarget(model: ModelDemand): WorkingReplica | undefined {
    const currentReplicas = this.replicasOf(model.name);
    const waits = this.expectedWaits(model, currentReplicas);
    let best: WorkingReplica | undefined;
    let bestGain = this.input.minGain;
    for (const replica of this.replicas) {
      if (replica.planned.has(model.name)) continue;
      const gain = waits - this.expectedWaits(model, [...currentReplicas, replica]);
      if (gain <= bestGain) continue;
      const eviction = this.findEviction(replica, model);
      if (eviction === undefined || gain - eviction.addedWaits <= bestGain) continue;
      best = replica;
      bestGain = gain - eviction.addedWaits;
    }
    return best;
  }

  /** Cheapest set of copies to evict; empty when the model fits without eviction. */
  private findEviction(replica: WorkingReplica, model: ModelDemand): Eviction | undefined {
    let {freeMiB} = replica;
    if (freeMiB >= model.sizeMiB) return {models: [], addedWaits: 0};
    const candidates = [...replica.planned]
      .filter(name => this.isRemovable(name, replica))
      .map(name => ({name, addedWaits: this.addedWaitsWithout(name, replica)}))
      .sort((a, b) => a.addedWaits - b.addedWaits);
    const models: string[] = [];
    let addedWaits = 0;
    for (const candidate of candidates) {
      models.push(candidate.name);
      addedWaits += candidate.addedWaits;
      freeMiB += this.models.get(candidate.name)!.sizeMiB;
      if (freeMiB >= model.sizeMiB) return {models, addedWaits};
    }
    return undefined;
  }

  /** Waiting requests that the removal of a model's copy from a replica would add. */
  private addedWaitsWithout(name: string, replica: WorkingReplica): number {
    const model = this.models.get(name)!;
    const replicas = this.replicasOf(name);
    const remaining = replicas.filter(other => other !== replica);
    return this.expectedWaits(model, remaining) - this.expectedWaits(model, replicas);
  }

  /**
   * Expected number of requests that have to wait: demand times the probability that all slots of
   * the replicas are taken, by Sakasegawa's approximation for many servers.
   */
  private expectedWaits(model: ModelDemand, replicas: readonly WorkingReplica[]): number {
    let slots = 0;
    let load = 0;
    for (const replica of replicas) {
      slots += replica.state.slots;
      load += replica.load;
    }
    if (slots === 0) return model.erlangs;
    const utilisation = Math.min(1, load / slots);
    return model.erlangs * utilisation ** (Math.sqrt(2 * (slots + 1)) - 1);
  }

  private isRemovable(name: string, replica: WorkingReplica): boolean {
    const model = this.models.get(name)!;
    if (!this.isCooldownOver(model)) return false;
    const readyHere = replica.state.ready.has(name) ? 1 : 0;
    const readyElsewhere = (this.readyCounts.get(name) ?? 0) - readyHere;
    const others = this.replicasOf(name).filter(other => other !== replica);
    const zones = new Set(others.map(other => other.state.zone));
    const floor = this.floorOf(model);
    const keepsZoneSpread = zones.size >= Math.min(floor, 2);
    return readyElsewhere >= Math.max(1, floor) && keepsZoneSpread;
  }

  private addCopy(model: ModelDemand, replica: WorkingReplica, reason: AddReason): void {
    for (const name of this.findEviction(replica, model)!.models) {
      this.removeCopy(name, replica, reason);
    }
    this.moves.push({kind: 'add', model: model.name, replica: replica.state.id, reason});
    replica.planned.add(model.name);
    replica.freeMiB -= model.sizeMiB;
    const replicas = this.replicasOf(model.name);
    replicas.push(replica);
    this.addCount += 1;
    this.balance(model);
  }

  private removeCopy(name: string, replica: WorkingReplica, reason: AddReason): void {
    this.moves.push({
      kind: 'remove',
      model: name,
      replica: replica.state.id,
      reason: reason === 'floor' ? 'room_for_floor' : 'room_for_demand',
    });
    replica.planned.delete(name);
    replica.freeMiB += this.models.get(name)!.sizeMiB;
    const replicas = this.replicasOf(name);
    replicas.splice(replicas.indexOf(replica), 1);
    if (replica.state.ready.has(name)) {
      this.readyCounts.set(name, this.readyCounts.get(name)! - 1);
    }
    this.balance(this.models.get(name)!);
  }

  /**
   * Distributes a model's demand over its replicas as load-aware routing does: the least loaded are
   * filled up to a common level.
   */
  private balance(model: ModelDemand): void {
    const replicas = this.replicasOf(model.name);
    const shares = this.sharesOf(model.name);
    for (const [replica, share] of shares) replica.load -= share;
    shares.clear();
    replicas.sort((a, b) => a.load / a.state.slots - b.load / b.state.slots);
    let slots = 0;
    let load = model.erlangs;
    let filled = 0;
    for (const replica of replicas) {
      if (filled > 0 && load / slots <= replica.load / replica.state.slots) break;
      slots += replica.state.slots;
      load += replica.load;
      filled += 1;
    }
    for (const replica of replicas.slice(0, filled)) {
      const share = (load / slots) * replica.state.slots - replica.load;
      shares.set(replica, share);
      replica.load += share;
    }
  }

  private sharesOf(name: string): Map<WorkingReplica, number> {
    let shares = this.loadShares.get(name);
    if (shares === undefined) {
      shares = new Map();
      this.loadShares.set(name, shares);
    }
    return shares;
  }

  private isCooldownOver(model: ModelDemand): boolean {
    return this.input.nowMs - model.movedMs >= this.input.cooldownMs;
  }

  private hasBudget(): boolean {
    return this.addCount < this.input.moveBudget;
  }

  private copies(name: string): number {
    return this.replicasByModel.get(name)?.length ?? 0;
  }

  private replicasOf(name: string): WorkingReplica[] {
    let replicas = this.replicasByModel.get(name);
    if (replicas === undefined) {
      replicas = [];
      this.replicasByModel.set(name, replicas);
    }
    return replicas;
  }
}
