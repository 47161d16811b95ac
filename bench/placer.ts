/** Placement in virtual time: the real planner, a static one and a reactive one. */
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
import type {FakeReplica, SimRequest} from './fake_replica.ts';
import type {Placement} from './policies.ts';
import type {VirtualClock} from './virtual_clock.ts';

const PLAN_INTERVAL_MS = 500;
const LOAD_MS = 1000;
const FLOOR = 2;
const DEMAND_FAST_MS = 30_000;
const DEMAND_SLOW_MS = 600_000;
/** Wait at which the reactive baseline adds a copy. */
const REACTIVE_WAIT_MS = 300;

export class Placer {
  moves = 0;
  private loading = 0;
  private readonly counts = new Map<string, number>();
  private readonly movedMs = new Map<string, number>();
  private readonly demand = new DemandTracker(DEMAND_FAST_MS, DEMAND_SLOW_MS);
  private readonly budget: LoadRateLimiter;

  constructor(
    private readonly deployment: Deployment,
    private readonly placement: Placement,
    private readonly replicas: readonly FakeReplica[],
    private readonly clock: VirtualClock,
    private readonly meanServiceMs: number,
    private readonly storeSlowdown: number,
  ) {
    this.budget = new LoadRateLimiter(
      deployment.loadsPerS / storeSlowdown,
      deployment.loadsInFlight,
      0,
    );
  }

  /** Places the floors at once, before the run, and starts planning. */
  start(): void {
    for (const move of this.plan(Number.POSITIVE_INFINITY)) {
      const replica = this.replicas[Number(move.replica.split('-')[1])];
      replica.planned.add(Number(move.model));
      replica.ready.add(Number(move.model));
    }
    if (this.placement === 'static') this.fillSpareMemory();
    if (this.placement === 'planned') this.clock.every(PLAN_INTERVAL_MS, () => this.step());
  }

  onRequest(request: SimRequest): void {
    const weight = request.class === 'paid' ? 1 : TRIAL_DEMAND_WEIGHT;
    const name = String(request.model);
    this.counts.set(name, (this.counts.get(name) ?? 0) + weight);
  }

  /** Reactive baseline: adds a copy when the model's replicas are gone or slow. */
  react(model: number): void {
    if (this.placement !== 'reactive_lru') return;
    const holders = this.replicas.filter(r => r.up && r.planned.has(model));
    const fast = holders.some(r => r.queue.expectedWaitMs('paid') < REACTIVE_WAIT_MS);
    const pending = holders.some(r => !r.ready.has(model));
    if (fast || pending) return;
    const others = this.replicas.filter(r => r.up && !r.planned.has(model));
    others.sort((a, b) => a.queue.expectedWaitMs('paid') - b.queue.expectedWaitMs('paid'));
    const target = others[0];
    if (target === undefined) return;
    if (target.planned.size >= this.deployment.copiesPerReplica) this.evictLru(target);
    this.load(target, model);
  }

  private evictLru(replica: FakeReplica): void {
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

  private step(): void {
    this.demand.update(this.counts, PLAN_INTERVAL_MS);
    this.counts.clear();
    const budget = this.budget.available(this.loading, this.clock.nowMs);
    let adds = 0;
    for (const move of this.plan(budget)) {
      const replica = this.replicas[Number(move.replica.split('-')[1])];
      const model = Number(move.model);
      this.movedMs.set(move.model, this.clock.nowMs);
      if (move.kind === 'add') {
        this.load(replica, model);
        adds += 1;
      } else {
        replica.planned.delete(model);
        replica.ready.delete(model);
        this.moves += 1;
      }
    }
    this.budget.consume(adds);
  }

  private plan(budget: number): ReturnType<typeof planMoves> {
    return planMoves({
      replicas: this.replicas.map(replica => this.stateOf(replica)),
      models: Array.from({length: this.deployment.models}, (_, i) => this.demandOf(String(i))),
      nowMs: this.clock.nowMs,
      moveBudget: budget,
      ...thresholdsOf(this.deployment.objective),
    });
  }

  private load(replica: FakeReplica, model: number): void {
    this.moves += 1;
    this.loading += 1;
    replica.planned.add(model);
    const crowding = Math.max(1, this.loading / this.deployment.loadsInFlight);
    this.clock.after(LOAD_MS * this.storeSlowdown * crowding, () => {
      this.loading -= 1;
      if (replica.up && replica.planned.has(model)) replica.ready.add(model);
    });
  }

  private stateOf(replica: FakeReplica): ReplicaState {
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

  private demandOf(name: string): ModelDemand {
    return {
      name,
      sizeMiB: 1,
      floor: FLOOR,
      erlangs: (this.demand.perSecond(name) * this.meanServiceMs) / 1000,
      movedMs: this.movedMs.get(name) ?? Number.NEGATIVE_INFINITY,
    };
  }
}
