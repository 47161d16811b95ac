/** Placement in virtual time: the planner of packages/policy, a static and a reactive baseline. */
import {
  DemandTracker,
  TRIAL_DEMAND_WEIGHT,
  planMoves,
  thresholdsOf,
  type ModelDemand,
  type ReplicaState,
} from '@jasminepost/policy';
import {LoadRateLimiter} from '@jasminepost/weight_store';
import type {Deployment} from './deployments.ts';
import type {SimulatedReplica, SimulatedRequest} from './simulated_replica.ts';
import type {Placement} from './policies.ts';
import type {VirtualClock} from './virtual_clock.ts';

const PLAN_INTERVAL_MS = 500;
const LOAD_MS = 1000;
const MIN_COPIES = 2;
const DEMAND_FAST_MS = 30_000;
const DEMAND_SLOW_MS = 600_000;
/** Expected wait from which the reactive baseline adds a copy. */
const REACTIVE_WAIT_MS = 300;

export class Placer {
  moves = 0;
  private loading = 0;
  private readonly requestCounts = new Map<string, number>();
  private readonly movedMs = new Map<string, number>();
  private readonly demandTracker = new DemandTracker(DEMAND_FAST_MS, DEMAND_SLOW_MS);
  private readonly loadRateLimiter: LoadRateLimiter;

  constructor(
    private readonly deployment: Deployment,
    private readonly placement: Placement,
    private readonly replicas: readonly SimulatedReplica[],
    private readonly clock: VirtualClock,
    private readonly meanServiceMs: number,
    private readonly storeSlowdown: number,
  ) {
    this.loadRateLimiter = new LoadRateLimiter(
      deployment.loadsPerS / storeSlowdown,
      deployment.loadsInFlight,
      0,
    );
  }

  /** Places the minimum copies without load time before the run, and starts planning. */
  start(): void {
    for (const move of this.plan(Number.POSITIVE_INFINITY)) {
      const replica = this.replicas[Number(move.replica.split('-')[1])];
      replica.planned.add(Number(move.model));
      replica.ready.add(Number(move.model));
    }
    if (this.placement === 'static') this.fillSpareMemory();
    if (this.placement === 'planned') this.clock.every(PLAN_INTERVAL_MS, () => this.planOnce());
  }

  onRequest(request: SimulatedRequest): void {
    const weight = request.class === 'paid' ? 1 : TRIAL_DEMAND_WEIGHT;
    const name = String(request.model);
    this.requestCounts.set(name, (this.requestCounts.get(name) ?? 0) + weight);
  }

  /** Reactive baseline: adds a copy if the model's replicas are down or slow. */
  addReactiveCopy(model: number): void {
    if (this.placement !== 'reactive_lru') return;
    const replicasWithModel = this.replicas.filter(r => r.up && r.planned.has(model));
    const hasFastReplica = replicasWithModel.some(
      r => r.queue.expectedWaitMs('paid') < REACTIVE_WAIT_MS,
    );
    const isLoading = replicasWithModel.some(r => !r.ready.has(model));
    if (hasFastReplica || isLoading) return;
    const others = this.replicas.filter(r => r.up && !r.planned.has(model));
    others.sort((a, b) => a.queue.expectedWaitMs('paid') - b.queue.expectedWaitMs('paid'));
    const target = others[0];
    if (target === undefined) return;
    if (target.planned.size >= this.deployment.copiesPerReplica) this.evictLru(target);
    this.loadModel(target, model);
  }

  private evictLru(replica: SimulatedReplica): void {
    const [oldest] = [...replica.planned].sort(
      (a, b) => (replica.lastUsedMs.get(a) ?? 0) - (replica.lastUsedMs.get(b) ?? 0),
    );
    replica.planned.delete(oldest);
    replica.ready.delete(oldest);
    this.moves += 1;
  }

  private fillSpareMemory(): void {
    let model = 0;
    for (const replica of this.replicas) {
      while (replica.planned.size < this.deployment.copiesPerReplica) {
        model = (model + 1) % this.deployment.models;
        replica.planned.add(model);
        replica.ready.add(model);
      }
    }
  }

  private planOnce(): void {
    this.demandTracker.update(this.requestCounts, PLAN_INTERVAL_MS);
    this.requestCounts.clear();
    const availableLoads = this.loadRateLimiter.available(this.loading, this.clock.nowMs);
    let startedLoads = 0;
    for (const move of this.plan(availableLoads)) {
      const replica = this.replicas[Number(move.replica.split('-')[1])];
      const model = Number(move.model);
      this.movedMs.set(move.model, this.clock.nowMs);
      if (move.kind === 'add') {
        this.loadModel(replica, model);
        startedLoads += 1;
      } else {
        replica.planned.delete(model);
        replica.ready.delete(model);
        this.moves += 1;
      }
    }
    this.loadRateLimiter.consume(startedLoads);
  }

  private plan(moveBudget: number): ReturnType<typeof planMoves> {
    return planMoves({
      replicas: this.replicas.map(replica => this.replicaState(replica)),
      models: Array.from({length: this.deployment.models}, (_, i) => this.modelDemand(String(i))),
      nowMs: this.clock.nowMs,
      moveBudget,
      ...thresholdsOf(this.deployment.objective),
    });
  }

  private loadModel(replica: SimulatedReplica, model: number): void {
    this.moves += 1;
    this.loading += 1;
    replica.planned.add(model);
    const slowdown = Math.max(1, this.loading / this.deployment.loadsInFlight);
    this.clock.after(LOAD_MS * this.storeSlowdown * slowdown, () => {
      this.loading -= 1;
      if (replica.up && replica.planned.has(model)) replica.ready.add(model);
    });
  }

  private replicaState(replica: SimulatedReplica): ReplicaState {
    return {
      id: replica.id,
      zone: replica.zone,
      capacityMiB: this.deployment.copiesPerReplica,
      slots: replica.slots,
      planned: new Set([...replica.planned].map(String)),
      ready: new Set([...replica.ready].map(String)),
      available: replica.up,
    };
  }

  private modelDemand(name: string): ModelDemand {
    return {
      name,
      sizeMiB: 1,
      floor: MIN_COPIES,
      erlangs: (this.demandTracker.perSecond(name) * this.meanServiceMs) / 1000,
      movedMs: this.movedMs.get(name) ?? Number.NEGATIVE_INFINITY,
    };
  }
}
