/** The planner's role: held by one gateway at a time, decides which replica holds which model. */
import {Disposer, type Clock, type Logger} from '@jasminepost/core';
import type {LeaderLease} from '@jasminepost/key_value';
import type {ModelDemandMessage, PlacementMessage} from '@jasminepost/mesh';
import {
  chargedMb,
  WeightLoadLedger,
  maxConcurrentLoads,
  planEngines,
  type EngineMove,
  type WeightLoadReport,
  type EnginePlanModel,
  type EnginePlanReplica,
  type WeightStoreLimit,
} from '@jasminepost/policy';
import type {EngineSpec} from '@jasminepost/serving';
import {ModelDemandTracker, type ModelDemandReading} from './model_demand_tracker.ts';
import type {Replica} from './replica.ts';

const PLAN_INTERVAL_MS = 150;
/** A new holder first hears of demand. */
const DEMAND_SETTLE_MS = 400;
/** Until then it also waits for the stewards: half of the copies would look like all of them. */
const STATE_WAIT_MS = 1500;
/** A steward that has not acknowledged the term is told of it again after this. */
const TERM_RESEND_MS = 400;
/** A placement that has not been carried out by then was planned for another state. */
const PLACEMENT_VALID_MS = 4000;
/** Longest time on the way to a steward, and of an order to its replica. */
const PLACEMENT_TRANSIT_MS = 7000;
/** A placement that shows no effect by then is planned anew. */
const PENDING_TIMEOUT_MS = 1500;
/** A model that has just been loaded stays, whatever the demand. */
const MIN_RESIDENCY_MS = 2500;
/** Traffic after which a model that was not asked for counts as sleeping. */
const TRAFFIC_WARMUP_MS = 7000;
/** Load that a copy which stands at the start is taken to have. */
const INITIAL_COPY_LOAD = 0.15;
/** A model that stays out of reach is told of this often. */
const UNREACHABLE_LOG_INTERVAL_MS = 1500;

/** @internal */
export interface PlannerContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly lease: LeaderLease;
  /** True when another gateway is known to hold the role. */
  heldByOther(): boolean;
  readonly loadWindowS: number;
  readonly loadOvershoot: number;
  engines(): ReadonlyArray<{readonly service: string; readonly spec: EngineSpec}>;
  replicasOf(service: string): readonly Replica[];
  isLinked(replica: Replica): boolean;
  sendPlacement(replica: Replica, message: PlacementMessage): boolean;
  onMove(move: EngineMove): void;
}

interface PendingPlacement {
  readonly load: string;
  readonly untilMs: number;
}

/** @internal */
export class Planner {
  private readonly demandTracker = new ModelDemandTracker();
  private readonly disposer = new Disposer();
  private term = 0;
  private termStartedMs = 0;
  private readonly pending = new Map<string, PendingPlacement>();
  /** When each copy that was placed has arrived, as `replica/model`. */
  private readonly loadedAtMs = new Map<string, number>();
  /** When it was last told that a model is not reachable. */
  private readonly unreachableLoggedMs = new Map<string, number>();
  private readonly ledger: WeightLoadLedger;
  private placements = 0;
  /** When each steward was last told of the term, by host. */
  private readonly termSentMs = new Map<string, number>();

  constructor(private readonly ctx: PlannerContext) {
    this.ledger = new WeightLoadLedger(ctx.loadWindowS * 1000);
    this.disposer.interval(PLAN_INTERVAL_MS, () => this.runRound());
  }

  recordDemand(gateway: string, message: ModelDemandMessage): void {
    this.demandTracker.record(gateway, message, this.ctx.clock.monotonicMs());
  }

  recordLoadReport(host: string, account: WeightLoadReport): void {
    this.ledger.applyReport(host, account);
  }

  dispose(): void {
    this.disposer.dispose();
  }

  private runRound(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const term = this.actingTerm();
    if (term !== this.term) this.onTerm(term, nowMs);
    if (term === 0) return;
    for (const {service, spec} of this.ctx.engines()) {
      const replicas = this.ctx.replicasOf(service);
      for (const replica of replicas) this.announceTerm(replica, nowMs);
      if (nowMs - this.termStartedMs >= DEMAND_SETTLE_MS)
        this.planService(service, spec, replicas, nowMs);
    }
  }

  /**
   * A holder goes on while the store does not answer, since hardly anybody can take the role over
   * then. Where others still reach the store, their larger term shows at the stewards.
   */
  actingTerm(): number {
    const {lease} = this.ctx;
    const held = lease.heldTerm();
    if (held > 0) return held;
    const term = lease.actingTerm();
    return this.ctx.heldByOther() || this.isSuperseded(term) ? 0 : term;
  }

  private isSuperseded(term: number): boolean {
    return this.ctx
      .engines()
      .flatMap(({service}) => this.ctx.replicasOf(service))
      .some(({state}) => state !== undefined && state.term > term);
  }

  private onTerm(term: number, nowMs: number): void {
    this.ctx.log.info('planner role', {term, before: this.term});
    this.term = term;
    this.termStartedMs = nowMs;
    this.pending.clear();
    this.termSentMs.clear();
    if (term > 0 && this.ctx.lease.hasPredecessor) {
      this.ledger.startTerm(term, nowMs + PLACEMENT_VALID_MS + PLACEMENT_TRANSIT_MS);
    }
  }

  private planService(
    service: string,
    spec: EngineSpec,
    replicas: readonly Replica[],
    nowMs: number,
  ): void {
    const areStatesKnown = replicas.every(replica => replica.state !== undefined);
    if (!areStatesKnown && nowMs - this.termStartedMs < STATE_WAIT_MS) return;
    const planReplicas = replicas.map(replica => this.planReplicaOf(replica, spec, nowMs));
    const models = [...spec.models.values()].map(model => ({
      ...model,
      ...this.demandFor(service, model.name, planReplicas, nowMs),
    }));
    const limit = this.weightStoreLimitOf(spec);
    const hosts = replicas.map(replica => replica.entry.address.host);
    const storeLoads = this.ledger.availableLoads(limit, hosts, nowMs);
    const moves = planEngines({
      replicas: planReplicas,
      models,
      availableStoreLoads: storeLoads,
      maxConcurrentStoreLoads: maxConcurrentLoads(limit),
      nowMs,
      isDemandKnown: this.demandTracker.trafficMs(nowMs) > TRAFFIC_WARMUP_MS,
      isRecentlyLoaded: (replica, model) =>
        nowMs - (this.loadedAtMs.get(`${replica}/${model}`) ?? Number.NEGATIVE_INFINITY) <
        MIN_RESIDENCY_MS,
    });
    for (const move of moves) {
      const replica = replicas.find(found => found.id === move.replica);
      if (replica !== undefined) this.send(service, replica, move, nowMs);
    }
    this.logUnreachable(models, planReplicas, storeLoads, nowMs);
  }

  /** Tells of models that callers wait for and that no replica holds or is about to hold. */
  private logUnreachable(
    models: readonly EnginePlanModel[],
    planReplicas: readonly EnginePlanReplica[],
    storeLoads: number,
    nowMs: number,
  ): void {
    for (const {name, waiting} of models) {
      const held = planReplicas.some(view => view.held.has(name) || view.loadingModel === name);
      const pending = [...this.pending.values()].some(found => found.load === name);
      if (waiting === 0 || held || pending) continue;
      if (
        nowMs - (this.unreachableLoggedMs.get(name) ?? Number.NEGATIVE_INFINITY) <
        UNREACHABLE_LOG_INTERVAL_MS
      )
        continue;
      this.unreachableLoggedMs.set(name, nowMs);
      const near = planReplicas.filter(view => view.onDisk.has(name) || view.inMemory.has(name));
      this.ctx.log.warn('model not reachable', {
        model: name,
        waiting,
        near: near.map(view => ({replica: view.id, idle: view.idle})),
        storeLoads,
        idle: planReplicas.filter(view => view.idle).length,
      });
    }
  }

  /** Until there is traffic, the copies that stand tell of the demand that was expected. */
  private demandFor(
    service: string,
    model: string,
    planReplicas: readonly EnginePlanReplica[],
    nowMs: number,
  ): ModelDemandReading {
    if (this.demandTracker.trafficMs(nowMs) > 0)
      return this.demandTracker.demandFor(`${service}/${model}`, nowMs);
    const copies = planReplicas.filter(view => view.held.has(model)).length;
    const urgentMs = copies > 1 ? nowMs : Number.NEGATIVE_INFINITY;
    return {
      load: copies * INITIAL_COPY_LOAD,
      lastRequestMs: urgentMs,
      lastUrgentRequestMs: urgentMs,
      waiting: 0,
    };
  }

  private send(service: string, replica: Replica, move: EngineMove, nowMs: number): void {
    const fromStore = move.source === 'store';
    const sent = this.ctx.sendPlacement(replica, {
      type: 'placement',
      term: this.term,
      number: ++this.placements,
      validMs: PLACEMENT_VALID_MS,
      unload: move.unload,
      load: move.load,
      fromStore,
    });
    if (!sent) return;
    this.pending.set(replica.id, {load: move.load, untilMs: nowMs + PENDING_TIMEOUT_MS});
    if (fromStore) {
      const latestMs = nowMs + PLACEMENT_VALID_MS + PLACEMENT_TRANSIT_MS;
      const {host} = replica.entry.address;
      this.ledger.recordPlacement(host, this.term, this.placements, latestMs);
    }
    this.ctx.onMove(move);
    const demand = this.demandTracker.demandFor(`${service}/${move.load}`, nowMs);
    this.ctx.log.info('placement', {
      ...move,
      service,
      term: this.term,
      demand: Number(demand.load.toFixed(3)),
      waiting: demand.waiting,
    });
  }

  private planReplicaOf(replica: Replica, spec: EngineSpec, nowMs: number): EnginePlanReplica {
    const {state} = replica;
    const held = new Set(replica.models.map(model => model.name));
    const moving = state?.moving ?? '';
    let pending = this.pending.get(replica.id);
    const isResolved = pending !== undefined && (held.has(pending.load) || nowMs > pending.untilMs);
    if (isResolved && moving === '') {
      if (pending !== undefined && held.has(pending.load)) {
        this.loadedAtMs.set(`${replica.id}/${pending.load}`, nowMs);
      }
      this.pending.delete(replica.id);
      pending = undefined;
    }
    const isUnderThisTerm =
      state?.up === true && state.term === this.term && this.ctx.isLinked(replica);
    const idle = isUnderThisTerm && moving === '' && pending === undefined;
    const charged = chargedMb({models: replica.models, incoming: []}, spec, '');
    return {
      id: replica.id,
      zone: replica.entry.zone,
      held,
      idle,
      loadingModel: pending?.load ?? '',
      freeMb: spec.weightsMb - charged,
      inMemory: new Set(replica.copies.inMemory),
      onDisk: new Set(replica.copies.onDisk),
      capacity: replica.capacity,
    };
  }

  /** Makes a steward drop what an earlier planner has placed. */
  private announceTerm(replica: Replica, nowMs: number): void {
    const {host} = replica.entry.address;
    const {state} = replica;
    if (state === undefined || state.term >= this.term) return;
    if (nowMs - (this.termSentMs.get(host) ?? Number.NEGATIVE_INFINITY) < TERM_RESEND_MS) return;
    this.termSentMs.set(host, nowMs);
    const number = ++this.placements;
    const {term} = this;
    const emptyPlacement = {unload: '', load: '', fromStore: false, validMs: PLACEMENT_VALID_MS};
    this.ctx.sendPlacement(replica, {type: 'placement', term, number, ...emptyPlacement});
  }

  private weightStoreLimitOf(spec: EngineSpec): WeightStoreLimit {
    let loadS = 0;
    for (const {storeLoadS} of spec.models.values()) loadS = Math.max(loadS, storeLoadS);
    const {loadWindowS: windowS, loadOvershoot: overshoot} = this.ctx;
    return {loadsPerS: spec.loadsPerS, windowS, overshoot, loadS};
  }
}
