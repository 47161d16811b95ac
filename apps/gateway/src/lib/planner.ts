/** The planner, active on one gateway at a time: decides which replica loads which model. */
import {Disposer, type Clock, type Logger} from '@jasminepost/core';
import type {LeaderLease} from '@jasminepost/key_value';
import type {ModelDemandMessage, PlacementMessage} from '@jasminepost/mesh';
import {
  chargedMb,
  maxConcurrentLoads,
  planEngines,
  WeightLoadLedger,
  type EngineMove,
  type EnginePlanModel,
  type EnginePlanReplica,
  type WeightLoadReport,
  type WeightStoreLimit,
} from '@jasminepost/policy';
import type {EngineSpec} from '@jasminepost/serving';
import {ModelDemandTracker, type ModelDemandReading} from './model_demand_tracker.ts';
import type {Replica} from './replica.ts';

const PLAN_INTERVAL_MS = 150;
/** A new planner collects demand for this long before it plans. */
const DEMAND_SETTLE_MS = 400;
/**
 * Longest wait for missing steward states. A plan made from some of the states would take the
 * copies that it knows of for all copies.
 */
const STATE_WAIT_MS = 1500;
/** Interval at which the term is resent to a steward that has not acknowledged it. */
const TERM_RESEND_MS = 400;
/** A placement that has not been executed by then was planned for an outdated state. */
const PLACEMENT_TTL_MS = 4000;
/** Longest transit time of a placement to a steward and of its order to the replica. */
const PLACEMENT_TRANSIT_MS = 7000;
/** A placement that has had no effect by then is planned again. */
const PENDING_TIMEOUT_MS = 1500;
/** Minimum time for which a newly loaded model stays loaded, whatever the demand. */
const MIN_RESIDENCY_MS = 2500;
/** Duration of traffic after which the copies of a model without requests count as standby. */
const TRAFFIC_WARMUP_MS = 7000;
/** Load assumed for each copy that is loaded before there is any traffic. */
const INITIAL_COPY_LOAD = 0.15;
/** Minimum interval between log lines about the same unreachable model. */
const UNREACHABLE_LOG_INTERVAL_MS = 1500;

/** @internal */
export interface PlannerContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly lease: LeaderLease;
  /** True when another gateway is known to hold the planner role. */
  isHeldByOther(): boolean;
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
  readonly expiresAtMs: number;
}

/** @internal */
export class Planner {
  private readonly demandTracker = new ModelDemandTracker();
  private readonly disposer = new Disposer();
  private term = 0;
  private termStartedMs = 0;
  private readonly pendingPlacements = new Map<string, PendingPlacement>();
  /** When each placed copy was seen to be loaded, by `replica/model`. */
  private readonly loadedAtMs = new Map<string, number>();
  /** When each unreachable model was last logged. */
  private readonly unreachableLoggedMs = new Map<string, number>();
  private readonly ledger: WeightLoadLedger;
  private placements = 0;
  /** When the term was last sent to each steward, by host. */
  private readonly termSentMs = new Map<string, number>();

  constructor(private readonly ctx: PlannerContext) {
    this.ledger = new WeightLoadLedger(ctx.loadWindowS * 1000);
    this.disposer.interval(PLAN_INTERVAL_MS, () => this.runRound());
  }

  recordDemand(gateway: string, message: ModelDemandMessage): void {
    this.demandTracker.record(gateway, message, this.ctx.clock.monotonicMs());
  }

  recordLoadReport(host: string, report: WeightLoadReport): void {
    this.ledger.applyReport(host, report);
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
   * Term under which this gateway plans; 0 while it does not plan. The planner continues while the
   * store does not respond, since hardly any other gateway can take over the role then. If others
   * still reach the store, their larger term shows in the steward states.
   */
  actingTerm(): number {
    const {lease} = this.ctx;
    const heldTerm = lease.heldTerm();
    if (heldTerm > 0) return heldTerm;
    const term = lease.actingTerm();
    return this.ctx.isHeldByOther() || this.isSuperseded(term) ? 0 : term;
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
    this.pendingPlacements.clear();
    this.termSentMs.clear();
    if (term > 0 && this.ctx.lease.hasPredecessor) {
      this.ledger.startTerm(term, nowMs + PLACEMENT_TTL_MS + PLACEMENT_TRANSIT_MS);
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
      if (replica !== undefined) this.sendMove(service, replica, move, nowMs);
    }
    this.logUnreachable(models, planReplicas, storeLoads, nowMs);
  }

  /** Logs models that callers wait for and that no replica has loaded or is about to load. */
  private logUnreachable(
    models: readonly EnginePlanModel[],
    planReplicas: readonly EnginePlanReplica[],
    storeLoads: number,
    nowMs: number,
  ): void {
    for (const {name, waiting} of models) {
      const isLoaded = planReplicas.some(
        replica => replica.held.has(name) || replica.loadingModel === name,
      );
      const pending = [...this.pendingPlacements.values()].some(found => found.load === name);
      if (waiting === 0 || isLoaded || pending) continue;
      if (
        nowMs - (this.unreachableLoggedMs.get(name) ?? Number.NEGATIVE_INFINITY) <
        UNREACHABLE_LOG_INTERVAL_MS
      )
        continue;
      this.unreachableLoggedMs.set(name, nowMs);
      const cachedReplicas = planReplicas.filter(
        replica => replica.onDisk.has(name) || replica.inMemory.has(name),
      );
      this.ctx.log.warn('model not reachable', {
        model: name,
        waiting,
        near: cachedReplicas.map(replica => ({replica: replica.id, idle: replica.idle})),
        storeLoads,
        idle: planReplicas.filter(replica => replica.idle).length,
      });
    }
  }

  /** Before there is any traffic, the loaded copies stand for the expected demand. */
  private demandFor(
    service: string,
    model: string,
    planReplicas: readonly EnginePlanReplica[],
    nowMs: number,
  ): ModelDemandReading {
    if (this.demandTracker.trafficMs(nowMs) > 0)
      return this.demandTracker.demandFor(`${service}/${model}`, nowMs);
    const copies = planReplicas.filter(replica => replica.held.has(model)).length;
    const lastRequestMs = copies > 1 ? nowMs : Number.NEGATIVE_INFINITY;
    return {
      load: copies * INITIAL_COPY_LOAD,
      lastRequestMs,
      lastUrgentRequestMs: lastRequestMs,
      waiting: 0,
    };
  }

  private sendMove(service: string, replica: Replica, move: EngineMove, nowMs: number): void {
    const fromStore = move.source === 'store';
    const sent = this.ctx.sendPlacement(replica, {
      type: 'placement',
      term: this.term,
      number: ++this.placements,
      validMs: PLACEMENT_TTL_MS,
      unload: move.unload,
      load: move.load,
      fromStore,
    });
    if (!sent) return;
    this.pendingPlacements.set(replica.id, {
      load: move.load,
      expiresAtMs: nowMs + PENDING_TIMEOUT_MS,
    });
    if (fromStore) {
      const latestMs = nowMs + PLACEMENT_TTL_MS + PLACEMENT_TRANSIT_MS;
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
    const loadedModels = new Set(replica.models.map(model => model.name));
    const moving = state?.moving ?? '';
    let pending = this.pendingPlacements.get(replica.id);
    const isResolved =
      pending !== undefined && (loadedModels.has(pending.load) || nowMs > pending.expiresAtMs);
    if (isResolved && moving === '') {
      if (pending !== undefined && loadedModels.has(pending.load)) {
        this.loadedAtMs.set(`${replica.id}/${pending.load}`, nowMs);
      }
      this.pendingPlacements.delete(replica.id);
      pending = undefined;
    }
    const isControllable =
      state?.up === true && state.term === this.term && this.ctx.isLinked(replica);
    const idle = isControllable && moving === '' && pending === undefined;
    const charged = chargedMb({models: replica.models, incoming: []}, spec, '');
    return {
      id: replica.id,
      zone: replica.entry.zone,
      held: loadedModels,
      idle,
      loadingModel: pending?.load ?? '',
      freeMb: spec.weightsMb - charged,
      inMemory: new Set(replica.copies.inMemory),
      onDisk: new Set(replica.copies.onDisk),
      capacity: replica.capacity,
      pace: replica.usualPace,
    };
  }

  /** Sends an empty placement of this term, which ends the placement of an earlier planner. */
  private announceTerm(replica: Replica, nowMs: number): void {
    const {host} = replica.entry.address;
    const {state} = replica;
    if (state === undefined || state.term >= this.term) return;
    if (nowMs - (this.termSentMs.get(host) ?? Number.NEGATIVE_INFINITY) < TERM_RESEND_MS) return;
    this.termSentMs.set(host, nowMs);
    const number = ++this.placements;
    const {term} = this;
    const emptyPlacement = {unload: '', load: '', fromStore: false, validMs: PLACEMENT_TTL_MS};
    this.ctx.sendPlacement(replica, {type: 'placement', term, number, ...emptyPlacement});
  }

  private weightStoreLimitOf(spec: EngineSpec): WeightStoreLimit {
    let loadS = 0;
    for (const {storeLoadS} of spec.models.values()) loadS = Math.max(loadS, storeLoadS);
    const {loadWindowS: windowS, loadOvershoot: overshoot} = this.ctx;
    return {loadsPerS: spec.loadsPerS, windowS, overshoot, loadS};
  }
}
