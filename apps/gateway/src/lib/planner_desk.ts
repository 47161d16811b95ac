/** The planner's role: held by one gateway at a time, decides which replica holds which model. */
import {Disposer, type Clock, type Logger} from '@jasminepost/core';
import type {TermLease} from '@jasminepost/key_value';
import type {ModelDemandMessage, PlacementMessage} from '@jasminepost/mesh';
import {
  chargedMb,
  planEngines,
  type EngineMove,
  type PlanModel,
  type PlanReplica,
} from '@jasminepost/policy';
import type {EngineSpec} from '@jasminepost/serving';
import {DemandBook, type ModelReading} from './demand_book.ts';
import type {Replica} from './replica.ts';

const PLAN_INTERVAL_MS = 150;
/** A new holder first hears of demand and of orders that its predecessor gave. */
const SETTLE_MS = 1000;
/** Until then it also waits for the stewards: half of the copies would look like all of them. */
const KNOWN_BY_MS = 3000;
/** A placement that shows no effect by then is planned anew. */
const PENDING_MS = 1500;
/** A model that has just been loaded stays, whatever the demand. */
const FRESH_MS = 2500;
/** Traffic after which a model that was not asked for counts as sleeping. */
const SETTLED_MS = 7000;
/** Load that a copy which stands at the start is taken to have. */
const PRIOR_COPY_LOAD = 0.15;
/** A model that stays out of reach is told of this often. */
const TELL_INTERVAL_MS = 1500;
/** Loads above the weight store's rate that a window may hold. */
const WINDOW_EXTRA = 3;
/** Share of the limit that is used; loads begin a little after they are ordered. */
const USED_SHARE = 0.85;

/** @internal */
export interface PlannerContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly lease: TermLease;
  /** False while the store that holds the role can't be reached. */
  storeReached(): boolean;
  /** True when another gateway is known to hold the role. */
  heldByOther(): boolean;
  readonly loadWindowS: number;
  readonly loadOvershoot: number;
  engines(): ReadonlyArray<{readonly service: string; readonly spec: EngineSpec}>;
  replicasOf(service: string): readonly Replica[];
  isLinked(replica: Replica): boolean;
  place(replica: Replica, message: PlacementMessage): boolean;
  onMove(move: EngineMove): void;
}

interface Pending {
  readonly load: string;
  readonly untilMs: number;
}

/** @internal */
export class PlannerDesk {
  private readonly book = new DemandBook();
  private readonly disposer = new Disposer();
  private term = 0;
  private heldSinceMs = 0;
  private readonly pending = new Map<string, Pending>();
  /** When each copy that was placed has arrived, as `replica/model`. */
  private readonly arrivedMs = new Map<string, number>();
  /** When it was last told that a model is not reachable. */
  private readonly toldMs = new Map<string, number>();
  /** Times of loads from the weight store within the window. */
  private storeLoads: number[] = [];

  constructor(private readonly ctx: PlannerContext) {
    this.disposer.interval(PLAN_INTERVAL_MS, () => this.round());
  }

  takeDemand(gateway: string, message: ModelDemandMessage): void {
    this.book.take(gateway, message, this.ctx.clock.monotonicMs());
  }

  dispose(): void {
    this.disposer.dispose();
  }

  private round(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const term = this.actingTerm();
    if (term !== this.term) this.onTerm(term, nowMs);
    if (term === 0 || nowMs - this.heldSinceMs < SETTLE_MS) return;
    for (const {service, spec} of this.ctx.engines()) this.planService(service, spec, nowMs);
  }

  /**
   * A holder goes on while the store is away, since nobody can take the role over without it.
   * Where others still reach the store, their larger term makes the stewards ignore this one.
   */
  private actingTerm(): number {
    const held = this.ctx.lease.heldTerm();
    if (held > 0) return held;
    return this.ctx.storeReached() || this.ctx.heldByOther() ? 0 : this.term;
  }

  private onTerm(term: number, nowMs: number): void {
    this.ctx.log.info('planner role', {term, before: this.term});
    this.term = term;
    this.heldSinceMs = nowMs;
    this.pending.clear();
    // A predecessor's loads still count against the weight store's limit.
    if (term > 1) this.storeLoads = new Array<number>(4).fill(nowMs);
  }

  private planService(service: string, spec: EngineSpec, nowMs: number): void {
    const replicas = this.ctx.replicasOf(service);
    const isKnown = replicas.every(replica => replica.state !== undefined);
    if (!isKnown && nowMs - this.heldSinceMs < KNOWN_BY_MS) return;
    const views = replicas.map(replica => this.viewOf(replica, spec, nowMs));
    const models = [...spec.models.values()].map(model => ({
      ...model,
      ...this.demandFor(service, model.name, views, nowMs),
    }));
    const moves = planEngines({
      replicas: views,
      models,
      storeLoads: this.storeLoadsLeft(spec, nowMs),
      nowMs,
      settled: this.book.trafficMs(nowMs) > SETTLED_MS,
      isFresh: (replica, model) =>
        nowMs - (this.arrivedMs.get(`${replica}/${model}`) ?? Number.NEGATIVE_INFINITY) < FRESH_MS,
    });
    for (const move of moves) {
      const replica = replicas.find(found => found.id === move.replica);
      if (replica !== undefined) this.send(service, replica, move, nowMs);
    }
    this.logUnreachable(models, views, nowMs);
  }

  /** Tells of models that callers wait for and that no replica holds or is about to hold. */
  private logUnreachable(
    models: readonly PlanModel[],
    views: readonly PlanReplica[],
    nowMs: number,
  ): void {
    for (const {name, waiting} of models) {
      const held = views.some(view => view.held.has(name) || view.arriving === name);
      const pending = [...this.pending.values()].some(found => found.load === name);
      if (waiting === 0 || held || pending) continue;
      if (nowMs - (this.toldMs.get(name) ?? Number.NEGATIVE_INFINITY) < TELL_INTERVAL_MS) continue;
      this.toldMs.set(name, nowMs);
      const near = views.filter(view => view.onDisk.has(name) || view.inMemory.has(name));
      this.ctx.log.warn('model not reachable', {
        model: name,
        waiting,
        near: near.map(view => ({replica: view.id, idle: view.idle})),
        storeLoads: this.storeLoads.length,
        idle: views.filter(view => view.idle).length,
      });
    }
  }

  /** Until there is traffic, the copies that stand tell of the demand that was expected. */
  private demandFor(
    service: string,
    model: string,
    views: readonly PlanReplica[],
    nowMs: number,
  ): ModelReading {
    if (this.book.trafficMs(nowMs) > 0) return this.book.read(`${service}/${model}`, nowMs);
    const copies = views.filter(view => view.held.has(model)).length;
    const urgentMs = copies > 1 ? nowMs : Number.NEGATIVE_INFINITY;
    return {load: copies * PRIOR_COPY_LOAD, askedMs: urgentMs, urgentMs, waiting: 0};
  }

  private send(service: string, replica: Replica, move: EngineMove, nowMs: number): void {
    const fromStore = move.source === 'store';
    const sent = this.ctx.place(replica, {
      type: 'placement',
      term: this.term,
      unload: move.unload,
      load: move.load,
      fromStore,
    });
    if (!sent) return;
    this.pending.set(replica.id, {load: move.load, untilMs: nowMs + PENDING_MS});
    if (fromStore) this.storeLoads.push(nowMs);
    this.ctx.onMove(move);
    const demand = this.book.read(`${service}/${move.load}`, nowMs);
    this.ctx.log.info('placement', {
      ...move,
      service,
      term: this.term,
      demand: Number(demand.load.toFixed(3)),
      waiting: demand.waiting,
    });
  }

  private viewOf(replica: Replica, spec: EngineSpec, nowMs: number): PlanReplica {
    const {state} = replica;
    const held = new Set(replica.models.map(model => model.name));
    const moving = state?.moving ?? '';
    let pending = this.pending.get(replica.id);
    const settled = pending !== undefined && (held.has(pending.load) || nowMs > pending.untilMs);
    if (settled && moving === '') {
      if (pending !== undefined && held.has(pending.load)) {
        this.arrivedMs.set(`${replica.id}/${pending.load}`, nowMs);
      }
      this.pending.delete(replica.id);
      pending = undefined;
    }
    const idle =
      moving === '' && pending === undefined && state?.up === true && this.ctx.isLinked(replica);
    const charged = chargedMb({models: replica.models, incoming: []}, spec, '');
    return {
      id: replica.id,
      zone: replica.entry.zone,
      held,
      idle,
      arriving: pending?.load ?? '',
      freeMb: spec.weightsMb - charged,
      inMemory: new Set(replica.copies.inMemory),
      onDisk: new Set(replica.copies.onDisk),
    };
  }

  private storeLoadsLeft(spec: EngineSpec, nowMs: number): number {
    const {loadWindowS, loadOvershoot} = this.ctx;
    this.storeLoads = this.storeLoads.filter(atMs => nowMs - atMs < (loadWindowS + 1) * 1000);
    const most = spec.loadsPerS * loadWindowS * loadOvershoot + WINDOW_EXTRA;
    return Math.floor(most * USED_SHARE) - this.storeLoads.length;
  }
}
