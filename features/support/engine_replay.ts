/** Simulates random loads on the queue, replica choice and placement policies in virtual time. */
import {
  chooseEngine,
  compareQueuedRequests,
  DrainRateEstimator,
  wouldBeLateBehind,
  shouldQueue,
  planEngines,
  requestTimes,
  queuedRequestState,
  type EngineCandidate,
  type EnginePlanModel,
  type QueuedRequest,
} from '@jasminepost/policy';
import {SeededRandom} from '../../bench/random.ts';

export interface ReplayLoad {
  readonly seed: number;
  readonly replicas: number;
  readonly models: number;
  readonly durationMs: number;
  /** Requests a second for a model at the given time. */
  rate(model: number, atMs: number): number;
  /** Models that a replica has loaded at the start. */
  initialModels(replica: number): readonly number[];
  /** Rate limit of a replica in requests a second at the given time; undefined for none. */
  rateLimit?(replica: number, atMs: number): number | undefined;
}

export interface ReplayPolicy {
  /** False serves requests first come, first served, until their deadline. */
  readonly ordersQueue: boolean;
  /** False makes no placements. */
  readonly plansPlacement: boolean;
  /** False plans as if no replica had a rate limit. */
  readonly knowsRateLimits?: boolean;
}

export interface ReplayOutcome {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Time that each refused request had waited. */
  readonly refusedAfterMs: number[];
  /** Requests, still on time, that were passed by a less urgent request for the same model. */
  inversions: number;
  memoryOvercommits: number;
  /** Most loads from the weight store that started within five seconds. */
  maxStoreLoads: number;
  readonly servedModels: Set<number>;
}

interface ReplayRequest extends QueuedRequest {
  readonly model: number;
  readonly targetMs: number;
}

interface SimulatedReplica {
  readonly id: string;
  readonly loaded: Set<string>;
  readonly disk: Set<string>;
  freeAtMs: number;
  queue: number[];
  /** Rate limit in requests a second; undefined for none. */
  perS: number | undefined;
  /** Earliest time of the next send, while the replica is rate-limited. */
  nextSendMs: number;
  moving: {readonly load: string; readonly doneMs: number} | undefined;
}

const STEP_MS = 20;
const PREFILL_MS = 120;
const TARGET_MS = 700;
const MAX_BACKLOG_MS = 220;
const MAX_LOADED = 3;
const MODEL_MB = 70;
const DISK_LOAD_S = 2.2;
const STORE_LOAD_S = 9;
const MAX_STORE_LOADS = 10;
const WINDOW_MS = 5000;
const DEMAND_DECAY_MS = 2000;
const PRIORITIES = 2;

const nameOf = (model: number) => `m${model}`;

/** Runs the simulation; it is deterministic for a given load and policy. */
export function replay(load: ReplayLoad, policy: ReplayPolicy): ReplayOutcome {
  return new Replay(load, policy).run();
}

class Replay {
  private readonly random: () => number;
  private readonly replicas: SimulatedReplica[];
  private queue: ReplayRequest[] = [];
  private readonly drainRates: DrainRateEstimator[];
  private readonly demand: Array<{load: number; askedMs: number}>;
  private storeLoads: number[] = [];
  private readonly outcome: ReplayOutcome = {
    asked: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    refusedAfterMs: [],
    inversions: 0,
    memoryOvercommits: 0,
    maxStoreLoads: 0,
    servedModels: new Set(),
  };

  constructor(
    private readonly load: ReplayLoad,
    private readonly policy: ReplayPolicy,
  ) {
    this.random = new SeededRandom(load.seed).uniform;
    this.replicas = Array.from({length: load.replicas}, (_, index) => {
      const loaded = load.initialModels(index).map(nameOf);
      return {
        id: `r${index}`,
        loaded: new Set(loaded),
        disk: new Set(loaded),
        freeAtMs: 0,
        queue: [],
        perS: undefined,
        nextSendMs: 0,
        moving: undefined,
      };
    });
    this.drainRates = Array.from(
      {length: load.models * PRIORITIES},
      () => new DrainRateEstimator(PREFILL_MS),
    );
    this.demand = Array.from({length: load.models}, () => ({
      load: 0,
      askedMs: Number.NEGATIVE_INFINITY,
    }));
  }

  run(): ReplayOutcome {
    for (let nowMs = 0; nowMs < this.load.durationMs; nowMs += STEP_MS) {
      this.arrive(nowMs);
      this.finishMoves(nowMs);
      for (const [index, replica] of this.replicas.entries()) {
        replica.perS = this.load.rateLimit?.(index, nowMs);
      }
      if (this.policy.plansPlacement) this.plan(nowMs);
      this.serve(nowMs);
    }
    return this.outcome;
  }

  private arrive(nowMs: number): void {
    for (let model = 0; model < this.load.models; model++) {
      const demand = this.demand[model];
      demand.load *= Math.exp(-STEP_MS / DEMAND_DECAY_MS);
      if (this.random() >= (this.load.rate(model, nowMs) * STEP_MS) / 1000) continue;
      this.outcome.asked += 1;
      demand.load += PREFILL_MS / DEMAND_DECAY_MS;
      demand.askedMs = nowMs;
      const times = requestTimes({
        arrivedMs: nowMs,
        priorWaitMs: 0,
        limitMs: 5000,
        targetLatencyMs: TARGET_MS,
        targetGapMs: 250,
        firstEventMs: PREFILL_MS,
      });
      const priority = this.random() < 0.3 ? 0 : 1;
      this.queue.push({
        ...times,
        model,
        organisationPriority: undefined,
        priority,
        arrivedMs: nowMs,
        targetMs: nowMs + TARGET_MS,
      });
    }
  }

  private finishMoves(nowMs: number): void {
    for (const replica of this.replicas) {
      if (replica.moving === undefined || replica.moving.doneMs > nowMs) continue;
      replica.loaded.add(replica.moving.load);
      replica.disk.add(replica.moving.load);
      replica.moving = undefined;
      if (replica.loaded.size > MAX_LOADED) this.outcome.memoryOvercommits += 1;
    }
  }

  private plan(nowMs: number): void {
    this.storeLoads = this.storeLoads.filter(atMs => nowMs - atMs < WINDOW_MS);
    const moves = planEngines({
      replicas: this.replicas.map(replica => ({
        id: replica.id,
        zone: 'a',
        held: replica.loaded,
        idle: replica.moving === undefined,
        loadingModel: replica.moving?.load ?? '',
        freeMb: (MAX_LOADED - replica.loaded.size) * MODEL_MB,
        inMemory: new Set<string>(),
        onDisk: replica.disk,
        capacity: this.capacityOf(replica),
        pace: 1,
      })),
      models: this.demand.map((demand, model) => this.planModel(model, demand)),
      availableStoreLoads: MAX_STORE_LOADS - this.storeLoads.length,
      maxConcurrentStoreLoads: MAX_STORE_LOADS,
      nowMs,
      isDemandKnown: nowMs > 7000,
      isRecentlyLoaded: () => false,
    });
    for (const move of moves) {
      const replica = this.replicas.find(found => found.id === move.replica)!;
      replica.loaded.delete(move.unload);
      const seconds = move.source === 'store' ? STORE_LOAD_S : DISK_LOAD_S;
      replica.moving = {load: move.load, doneMs: nowMs + seconds * 1000};
      if (move.source === 'store') this.storeLoads.push(nowMs);
    }
    const {maxStoreLoads} = this.outcome;
    this.outcome.maxStoreLoads = Math.max(maxStoreLoads, this.storeLoads.length);
  }

  private capacityOf({perS}: SimulatedReplica): number {
    const isKnown = this.policy.knowsRateLimits !== false && perS !== undefined;
    return isKnown ? (perS * PREFILL_MS) / 1000 : Number.POSITIVE_INFINITY;
  }

  private planModel(model: number, demand: {load: number; askedMs: number}): EnginePlanModel {
    return {
      name: nameOf(model),
      weightsMb: MODEL_MB,
      adapters: 0,
      storeLoadS: STORE_LOAD_S,
      diskLoadS: DISK_LOAD_S,
      memoryLoadS: DISK_LOAD_S,
      load: demand.load,
      waiting: this.countQueued(model),
      lastRequestMs: demand.askedMs,
      lastUrgentRequestMs: demand.askedMs,
    };
  }

  private serve(nowMs: number): void {
    if (this.policy.ordersQueue) this.queue.sort((a, b) => compareQueuedRequests(a, b, nowMs));
    const sent: ReplayRequest[] = [];
    this.queue = this.queue.filter(req => {
      if (this.isExpired(req, nowMs)) {
        this.refuse(req, nowMs);
        return false;
      }
      const outcome = this.send(req, nowMs);
      if (outcome === 'waits') return this.canQueue(req, nowMs);
      if (outcome === 'late') {
        this.refuse(req, nowMs);
        return false;
      }
      sent.push(req);
      this.drainRateOf(req).onSent(nowMs, this.countQueued(req.model, req.priority) - sent.length);
      return false;
    });
    this.countInversions(sent, nowMs);
  }

  /** Refuses a new request if its expected wait is too long; true when it stays queued. */
  private canQueue(req: ReplayRequest, nowMs: number): boolean {
    if (!this.policy.ordersQueue || req.arrivedMs < nowMs) return true;
    const hasCopy = this.replicas.some(replica => replica.loaded.has(nameOf(req.model)));
    const drainRate = this.drainRateOf(req);
    const ahead = this.countQueued(req.model, req.priority) - 1;
    if (hasCopy && !shouldQueue(req, drainRate.waitMs(ahead, nowMs), nowMs)) {
      this.refuse(req, nowMs);
      return false;
    }
    drainRate.onWaiting(nowMs);
    return true;
  }

  private refuse(req: ReplayRequest, nowMs: number): void {
    this.outcome.refused += 1;
    this.outcome.refusedAfterMs.push(nowMs - req.arrivedMs);
  }

  private drainRateOf({model, priority}: ReplayRequest): DrainRateEstimator {
    return this.drainRates[model * PRIORITIES + priority];
  }

  private countQueued(model: number, priority?: number): number {
    return this.queue.filter(
      req => req.model === model && (priority === undefined || req.priority === priority),
    ).length;
  }

  private isExpired(req: ReplayRequest, nowMs: number): boolean {
    return this.policy.ordersQueue
      ? queuedRequestState(req, nowMs) === 'hopeless'
      : nowMs > req.abandonedMs;
  }

  private send(req: ReplayRequest, nowMs: number): 'sent' | 'late' | 'waits' {
    const loaded = this.replicas.filter(replica => replica.loaded.has(nameOf(req.model)));
    const unlimited = loaded.filter(({perS}) => perS === undefined);
    const available = loaded.filter(({nextSendMs}) => nextSendMs <= nowMs);
    const usable = unlimited.length > 0 ? unlimited : available;
    const candidates = usable.map(replica => candidateOf(replica, nowMs));
    const choice = chooseEngine(candidates, {
      zone: 'a',
      prefixHash: 0,
      adapterHash: 0,
      prefixSavingMs: 0,
      prefillMs: PREFILL_MS,
      tokens: 2000,
      maxBacklogMs: MAX_BACKLOG_MS,
    });
    if (choice.kind !== 'chosen') return 'waits';
    const othersWait = this.countQueued(req.model) > 1;
    if (this.policy.ordersQueue && othersWait && wouldBeLateBehind(req, choice.backlogMs, nowMs)) {
      return 'late';
    }
    const replica = usable[choice.index];
    replica.freeAtMs = Math.max(replica.freeAtMs, nowMs) + PREFILL_MS;
    if (replica.perS !== undefined) replica.nextSendMs = nowMs + 1000 / replica.perS;
    replica.queue.push(replica.freeAtMs);
    this.outcome.servedModels.add(req.model);
    if (replica.freeAtMs <= req.targetMs) this.outcome.onTime += 1;
    else this.outcome.late += 1;
    return 'sent';
  }

  private countInversions(sent: readonly ReplayRequest[], nowMs: number): void {
    for (const req of this.queue) {
      const wasOvertaken = sent.some(
        other =>
          other.model === req.model &&
          other.priority > req.priority &&
          queuedRequestState(req, nowMs) === 'on_time',
      );
      if (wasOvertaken) this.outcome.inversions += 1;
    }
  }
}

function candidateOf(replica: SimulatedReplica, nowMs: number): EngineCandidate {
  replica.queue = replica.queue.filter(doneMs => doneMs > nowMs);
  return {
    id: replica.id,
    idHash: 0,
    zone: 'a',
    hasAdapter: true,
    awaitingFirstEvent: replica.queue.length,
    active: replica.queue.length,
    slots: 64,
    kvUsed: 0,
    kvTotal: 1_000_000,
    backlogMs: replica.queue.length * PREFILL_MS,
    pace: undefined,
  };
}
