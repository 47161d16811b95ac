/** One round of placement over a working copy of the fleet. */
import type {
  AddReason,
  ModelDemand,
  PlacementInput,
  PlacementMove,
  ReplicaState,
} from './placement.ts';

/** Rounds after which the estimate of loads has settled. */
const BALANCE_SWEEPS = 4;

/** Stands for the demand of a model that nobody asks for yet. */
const IDLE_ERLANGS = 0.01;

interface WorkingReplica {
  readonly state: ReplicaState;
  readonly planned: Set<string>;
  freeMiB: number;
  load: number;
}

interface Victim {
  readonly models: readonly string[];
  /** Waits that the removal causes. */
  readonly loss: number;
}

/** @internal */
export class PlanningRound {
  readonly moves: PlacementMove[] = [];
  private readonly replicas: WorkingReplica[];
  private readonly models: Map<string, ModelDemand>;
  private readonly holders = new Map<string, WorkingReplica[]>();
  private readonly shares = new Map<string, Map<WorkingReplica, number>>();
  private readonly readyCount = new Map<string, number>();
  private adds = 0;
  private readonly floorsFit: boolean;

  constructor(private readonly input: PlacementInput) {
    this.models = new Map(input.models.map(model => [model.name, model]));
    this.replicas = input.replicas
      .filter(state => state.available)
      .map(state => ({state, planned: new Set(state.planned), freeMiB: 0, load: 0}));
    for (const replica of this.replicas) this.indexReplica(replica);
    this.floorsFit = this.doFloorsFit();
    for (let sweep = 0; sweep < BALANCE_SWEEPS; sweep++) {
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
    const waiting = [...this.models.values()]
      .filter(model => this.isCool(model))
      .map(model => ({model, waits: this.waits(model, this.holdersOf(model.name))}))
      .filter(({waits}) => waits > this.input.minGain)
      .sort((a, b) => b.waits - a.waits);
    for (const {model} of waiting) {
      if (!this.hasBudget()) return;
      const target = this.demandTarget(model);
      if (target !== undefined) this.addCopy(model, target, 'demand');
    }
  }

  /** Gives free memory to the models whose copies carry most; removes nothing for it. */
  fillSpareMemory(): void {
    const roomy = this.replicas
      .filter(replica => replica.freeMiB > 0)
      .sort((a, b) => a.load / a.state.slots - b.load / b.state.slots);
    for (const replica of roomy) {
      while (this.hasBudget()) {
        const model = this.bestFiller(replica);
        if (model === undefined) break;
        this.addCopy(model, replica, 'spare');
      }
    }
  }

  private bestFiller(replica: WorkingReplica): ModelDemand | undefined {
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
      this.holdersOf(name).push(replica);
      if (replica.state.ready.has(name)) {
        this.readyCount.set(name, (this.readyCount.get(name) ?? 0) + 1);
      }
    }
  }

  /** With a zone lost, memory may not hold every floor; then demand decides beyond one copy. */
  private floorOf(model: ModelDemand): number {
    return this.floorsFit ? model.floor : 1;
  }

  private doFloorsFit(): boolean {
    let neededMiB = 0;
    for (const model of this.models.values()) neededMiB += model.floor * model.sizeMiB;
    let capacityMiB = 0;
    for (const replica of this.replicas) capacityMiB += replica.state.capacityMiB;
    return neededMiB <= capacityMiB;
  }

  /** Prefers an availability zone without a copy, then the most free memory. */
  private floorTarget(model: ModelDemand): WorkingReplica | undefined {
    const zones = new Set(this.holdersOf(model.name).map(holder => holder.state.zone));
    let best: WorkingReplica | undefined;
    let bestRank = Number.NEGATIVE_INFINITY;
    for (const replica of this.replicas) {
      if (replica.planned.has(model.name) || replica.state.capacityMiB < model.sizeMiB) continue;
      const fits = replica.freeMiB >= model.sizeMiB;
      if (this.victim(replica, model) === undefined) continue;
      const newZone = zones.has(replica.state.zone) ? 0 : 1;
      const rank = newZone * 4 + (fits ? 2 : 0) + replica.freeMiB / replica.state.capacityMiB;
      if (rank > bestRank) {
        best = replica;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Replica on which a further copy spares most waits, less what it displaces. */
  private demandTarget(model: ModelDemand): WorkingReplica | undefined {
    const holders = this.holdersOf(model.name);
    const waits = this.waits(model, holders);
    let best: WorkingReplica | undefined;
    let bestGain = this.input.minGain;
    for (const replica of this.replicas) {
      if (replica.planned.has(model.name)) continue;
      const gain = waits - this.waits(model, [...holders, replica]);
      if (gain <= bestGain) continue;
      const victim = this.victim(replica, model);
      if (victim === undefined || gain - victim.loss <= bestGain) continue;
      best = replica;
      bestGain = gain - victim.loss;
    }
    return best;
  }

  /** Cheapest set of copies to remove for room; empty when the model fits as it is. */
  private victim(replica: WorkingReplica, model: ModelDemand): Victim | undefined {
    let {freeMiB} = replica;
    if (freeMiB >= model.sizeMiB) return {models: [], loss: 0};
    const removable = [...replica.planned]
      .filter(name => this.isRemovable(name, replica))
      .map(name => ({name, loss: this.lossWithout(name, replica)}))
      .sort((a, b) => a.loss - b.loss);
    const models: string[] = [];
    let loss = 0;
    for (const candidate of removable) {
      models.push(candidate.name);
      loss += candidate.loss;
      freeMiB += this.models.get(candidate.name)!.sizeMiB;
      if (freeMiB >= model.sizeMiB) return {models, loss};
    }
    return undefined;
  }

  /** Waits that a model's requests would suffer without its copy on a replica. */
  private lossWithout(name: string, replica: WorkingReplica): number {
    const model = this.models.get(name)!;
    const holders = this.holdersOf(name);
    const others = holders.filter(holder => holder !== replica);
    return this.waits(model, others) - this.waits(model, holders);
  }

  /**
   * Requests in progress that had to wait: demand times the chance that every slot of the
   * replicas is taken, by Sakasegawa's approximation for many servers.
   */
  private waits(model: ModelDemand, replicas: readonly WorkingReplica[]): number {
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
    if (!this.isCool(model)) return false;
    const readyHere = replica.state.ready.has(name) ? 1 : 0;
    const readyElsewhere = (this.readyCount.get(name) ?? 0) - readyHere;
    const others = this.holdersOf(name).filter(holder => holder !== replica);
    const zones = new Set(others.map(holder => holder.state.zone));
    const floor = this.floorOf(model);
    const zonesKept = zones.size >= Math.min(floor, 2);
    return readyElsewhere >= Math.max(1, floor) && zonesKept;
  }

  private addCopy(model: ModelDemand, replica: WorkingReplica, reason: AddReason): void {
    for (const name of this.victim(replica, model)!.models) {
      this.removeCopy(name, replica, reason);
    }
    this.moves.push({kind: 'add', model: model.name, replica: replica.state.id, reason});
    replica.planned.add(model.name);
    replica.freeMiB -= model.sizeMiB;
    const holders = this.holdersOf(model.name);
    holders.push(replica);
    this.adds += 1;
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
    const holders = this.holdersOf(name);
    holders.splice(holders.indexOf(replica), 1);
    if (replica.state.ready.has(name)) {
      this.readyCount.set(name, this.readyCount.get(name)! - 1);
    }
    this.balance(this.models.get(name)!);
  }

  /**
   * Spreads a model's demand over its replicas as load-aware routing does: the least loaded fill
   * up to a common level.
   */
  private balance(model: ModelDemand): void {
    const holders = this.holdersOf(model.name);
    const shares = this.sharesOf(model.name);
    for (const [holder, share] of shares) holder.load -= share;
    shares.clear();
    holders.sort((a, b) => a.load / a.state.slots - b.load / b.state.slots);
    let slots = 0;
    let load = model.erlangs;
    let filled = 0;
    for (const holder of holders) {
      if (filled > 0 && load / slots <= holder.load / holder.state.slots) break;
      slots += holder.state.slots;
      load += holder.load;
      filled += 1;
    }
    for (const holder of holders.slice(0, filled)) {
      const share = (load / slots) * holder.state.slots - holder.load;
      shares.set(holder, share);
      holder.load += share;
    }
  }

  private sharesOf(name: string): Map<WorkingReplica, number> {
    let shares = this.shares.get(name);
    if (shares === undefined) {
      shares = new Map();
      this.shares.set(name, shares);
    }
    return shares;
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
