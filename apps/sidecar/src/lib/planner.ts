/** Plans placement for the whole fleet while this sidecar holds the planner lease. */
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {DemandMessage, Fleet, Replica} from '@jasminepost/mesh';
import type {ActiveConfig, Declaration} from '@jasminepost/operator';
import {
  parsePlan,
  planShardKey,
  planKeyForReplica,
  PLAN_PREFIX,
  type KeyValueClient,
  type PlanDocument,
  type LeaderLease,
} from '@jasminepost/key_value';
import {
  DemandTracker,
  TRIAL_DEMAND_WEIGHT,
  planMoves,
  thresholdsOf,
  type ModelDemand,
  type PlacementInput,
  type PlacementMove,
  type ReplicaState,
} from '@jasminepost/policy';
import type {LoadRateLimiter} from '@jasminepost/weight_store';

const PLAN_INTERVAL_MS = 500;
/** Delay until the next round per time spent planning; limits planning to about 1% of a CPU. */
const PLANNING_TIME_FACTOR = 100;
/** Time for a new planner to connect to the fleet; until then it would overlook replicas. */
const TAKEOVER_DELAY_MS = 2000;
/** A lost replica keeps its planned copies this long, so that a restart causes no moves. */
const ABSENCE_GRACE_MS = 10_000;
const DEMAND_FAST_WINDOW_MS = 30_000;
const DEMAND_SLOW_WINDOW_MS = 600_000;

interface PlanShard {
  version: number;
  plan: PlanDocument;
}

/** @internal */
export interface PlannerContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly kv: KeyValueClient;
  readonly lease: LeaderLease;
  readonly activeConfig: ActiveConfig;
  readonly loadRateLimiter: LoadRateLimiter;
  readonly shardCount: number;
  /** Opens links to all sidecars when the term starts; closeFleet() closes them at its end. */
  openFleet(): Fleet;
  closeFleet(): void;
  onMoves(moves: readonly PlacementMove[]): void;
  onTermChange(): void;
}

/** @internal */
export class Planner {
  private fleet: Fleet | undefined;
  private term = 0;
  private termStartMs = 0;
  private shards: Map<string, PlanShard> | undefined;
  private readonly demand = new DemandTracker(DEMAND_FAST_WINDOW_MS, DEMAND_SLOW_WINDOW_MS);
  private readonly demandCounts = new Map<string, number>();
  private demandUpdatedMs = 0;
  /** Time that the last run of the planning algorithm took. */
  private lastPlanningMs = 0;
  private readonly lastMovedMs = new Map<string, number>();
  private readonly lastContactMs = new Map<string, number>();
  private readonly lastState = new Map<string, ReplicaState>();
  private readonly task = new RepeatingTask(() => this.runRound());

  constructor(private readonly context: PlannerContext) {}

  start(): void {
    this.task.start(PLAN_INTERVAL_MS);
  }

  dispose(): void {
    this.task.dispose();
    this.stopPlanning();
  }

  /** Current term while this sidecar is the planner, otherwise 0. */
  get activeTerm(): number {
    return this.fleet === undefined ? 0 : this.term;
  }

  onDemand(message: DemandMessage): void {
    for (const [model, count] of Object.entries(message.paid)) this.addDemand(model, count);
    for (const [model, count] of Object.entries(message.trial)) {
      this.addDemand(model, count * TRIAL_DEMAND_WEIGHT);
    }
  }

  /** Runs one planning round. @returns the delay until the next, in milliseconds. */
  private async runRound(): Promise<number> {
    try {
      this.updateTerm();
      if (this.fleet !== undefined) await this.plan();
    } catch (thrown) {
      // Rereading the shards also resolves a write whose response was lost.
      this.shards = undefined;
      this.context.log.debug('planning round failed', {error: errorMessage(thrown)});
    }
    return Math.max(PLAN_INTERVAL_MS, PLANNING_TIME_FACTOR * this.lastPlanningMs);
  }

  private updateTerm(): void {
    const term = this.context.lease.heldTerm();
    if (term === this.term) return;
    this.stopPlanning();
    this.term = term;
    if (term > 0) {
      this.fleet = this.context.openFleet();
      this.termStartMs = this.context.clock.monotonicMs();
      this.demandUpdatedMs = this.termStartMs;
    }
    this.context.onTermChange();
  }

  private stopPlanning(): void {
    if (this.fleet !== undefined) this.context.closeFleet();
    this.fleet = undefined;
    this.shards = undefined;
    this.lastContactMs.clear();
  }

  private async plan(): Promise<void> {
    const {clock, activeConfig} = this.context;
    const nowMs = clock.monotonicMs();
    const config = activeConfig.current;
    if (config === undefined || nowMs - this.termStartMs < TAKEOVER_DELAY_MS) return;
    this.shards ??= await this.takeOverShards();
    this.refreshDemand(nowMs);
    const input = this.placementInput(config.document.declaration, nowMs);
    const startMs = clock.monotonicMs();
    const moves = planMoves(input);
    this.lastPlanningMs = clock.monotonicMs() - startMs;
    if (moves.length === 0) return;
    await this.applyMoves(moves, nowMs);
  }

  /** Rewrites every shard with the current term, so that writes of an earlier planner fail. */
  private async takeOverShards(): Promise<Map<string, PlanShard>> {
    const {kv, shardCount} = this.context;
    const entries = await kv.list(PLAN_PREFIX);
    const shards = new Map<string, PlanShard>();
    const copies: Record<string, string[]> = {};
    const versions = new Map(entries.map(entry => [entry.key, entry.version]));
    for (const entry of entries) {
      const plan = parsePlan(entry.value);
      if (plan.term > this.term) throw new Error('a newer planner has taken over');
      Object.assign(copies, plan.copies);
    }
    for (let shard = 0; shard < shardCount; shard++) {
      const plan: PlanDocument = {term: this.term, copies: {}};
      shards.set(planShardKey(shard), {version: versions.get(planShardKey(shard)) ?? 0, plan});
    }
    for (const [replica, models] of Object.entries(copies)) {
      shards.get(planKeyForReplica(replica, shardCount))!.plan.copies[replica] = models;
    }
    for (const [key, shard] of shards) await this.writeShard(key, shard);
    this.context.log.info('plan taken over', {
      term: this.term,
      replicas: Object.keys(copies).length,
    });
    return shards;
  }

  private async writeShard(key: string, shard: PlanShard): Promise<void> {
    const text = JSON.stringify(shard.plan);
    const outcome = await this.context.kv.write(key, text, shard.version);
    if (outcome.kind === 'conflict')
      throw new Error(`plan shard ${key} was written by another planner`);
    shard.version = outcome.version;
  }

  private refreshDemand(nowMs: number): void {
    const intervalMs = nowMs - this.demandUpdatedMs;
    if (intervalMs < PLAN_INTERVAL_MS / 2) return;
    this.demand.update(this.demandCounts, intervalMs);
    this.demandCounts.clear();
    this.demandUpdatedMs = nowMs;
  }

  private addDemand(model: string, count: number): void {
    this.demandCounts.set(model, (this.demandCounts.get(model) ?? 0) + count);
  }

  private placementInput(declaration: Declaration, nowMs: number): PlacementInput {
    const replicas = this.replicaStates(nowMs);
    let loading = 0;
    for (const replica of replicas) {
      for (const model of replica.planned) if (!replica.ready.has(model)) loading += 1;
    }
    return {
      replicas,
      models: declaration.models.map(model => this.demandOf(model)),
      nowMs,
      moveBudget: this.context.loadRateLimiter.available(loading, nowMs),
      ...thresholdsOf(declaration.objective),
    };
  }

  private demandOf(model: Declaration['models'][number]): ModelDemand {
    return {
      name: model.name,
      sizeMiB: model.weightsMiB + model.kvFloorMiB,
      floor: model.floorCopies,
      erlangs: (this.demand.perSecond(model.name) * model.serviceMs) / 1000,
      movedMs: this.lastMovedMs.get(model.name) ?? Number.NEGATIVE_INFINITY,
    };
  }

  private replicaStates(nowMs: number): ReplicaState[] {
    const states: ReplicaState[] = [];
    for (const replica of this.fleet!.replicas.values()) {
      const state = this.replicaState(replica, nowMs);
      if (state !== undefined) states.push(state);
    }
    return states;
  }

  private replicaState(replica: Replica, nowMs: number): ReplicaState | undefined {
    const {status} = replica;
    const planned = new Set(this.plannedModels(replica.id));
    if (status === undefined) {
      const lastKnown = this.lastState.get(replica.id);
      const lastContactMs = this.lastContactMs.get(replica.id) ?? this.termStartMs;
      if (lastKnown === undefined || nowMs - lastContactMs > ABSENCE_GRACE_MS) return undefined;
      return {...lastKnown, planned, ready: new Set()};
    }
    if (status.kind !== 'engine' || status.totalMiB === 0) return undefined;
    this.lastContactMs.set(replica.id, nowMs);
    const state: ReplicaState = {
      id: replica.id,
      zone: replica.zone,
      capacityMiB: status.totalMiB,
      slots: status.slots,
      planned,
      ready: new Set(status.models),
      available: !status.leaving && !replica.listedLeaving && status.healthy,
    };
    this.lastState.set(replica.id, state);
    return state;
  }

  private plannedModels(replica: string): readonly string[] {
    const key = planKeyForReplica(replica, this.context.shardCount);
    return this.shards?.get(key)?.plan.copies[replica] ?? [];
  }

  private async applyMoves(moves: readonly PlacementMove[], nowMs: number): Promise<void> {
    const changed = new Set<string>();
    for (const move of moves) {
      const key = planKeyForReplica(move.replica, this.context.shardCount);
      const {copies} = this.shards!.get(key)!.plan;
      const models = copies[move.replica] ?? [];
      copies[move.replica] =
        move.kind === 'add'
          ? [...models, move.model]
          : models.filter(model => model !== move.model);
      this.lastMovedMs.set(move.model, nowMs);
      changed.add(key);
    }
    for (const key of changed) await this.writeShard(key, this.shards!.get(key)!);
    this.context.loadRateLimiter.consume(moves.filter(move => move.kind === 'add').length);
    this.context.onMoves(moves);
  }
}
