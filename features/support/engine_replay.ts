/** Replays drawn loads against the decisions on waiting, choice and placement, in virtual time. */
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
  /** Requests a second for each model at a time. */
  rate(model: number, atMs: number): number;
  /** Model copies at the start, by replica. */
  held(replica: number): readonly number[];
  /** Requests a second that a replica in need takes at a time; undefined for any number. */
  limit?(replica: number, atMs: number): number | undefined;
}

export interface ReplayPolicy {
  /** False serves first come, first served, up to the deadline. */
  readonly ordersLine: boolean;
  /** False leaves the copies as they are. */
  readonly plans: boolean;
  /** False plans as if no replica had named a limit. */
  readonly knowsLimits?: boolean;
}

export interface ReplayOutcome {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** How long each refused one had waited. */
  readonly refusedAfterMs: number[];
  /** On-time requests that were sent after a less urgent on-time one of the same model. */
  inversions: number;
  overMemory: number;
  /** Most loads from the weight store that began within five seconds. */
  mostStoreLoads: number;
  readonly servedModels: Set<number>;
}

interface Request extends QueuedRequest {
  readonly model: number;
  readonly targetMs: number;
}

interface Replica {
  readonly id: string;
  readonly held: Set<string>;
  readonly disk: Set<string>;
  freeAtMs: number;
  queue: number[];
  /** Requests a second that it takes. */
  perS: number | undefined;
  /** When it takes the next one, while it has named a limit. */
  nextPermitMs: number;
  moving: {readonly load: string; readonly doneMs: number} | undefined;
}

const STEP_MS = 20;
const PREFILL_MS = 120;
const TARGET_MS = 700;
const MAX_BACKLOG_MS = 220;
const COPIES = 3;
const MODEL_MB = 70;
const DISK_S = 2.2;
const STORE_S = 9;
const LOADS_PER_WINDOW = 10;
const WINDOW_MS = 5000;
const DEMAND_MEMORY_MS = 2000;
const RANKS = 2;

const nameOf = (model: number) => `m${model}`;

/** Plays a load; the same load and policy give the same outcome. */
export function replay(load: ReplayLoad, policy: ReplayPolicy): ReplayOutcome {
  return new Replay(load, policy).run();
}

class Replay {
  private readonly random: () => number;
  private readonly replicas: Replica[];
  private line: Request[] = [];
  private readonly paces: DrainRateEstimator[];
  private readonly demand: Array<{load: number; askedMs: number}>;
  private storeLoads: number[] = [];
  private readonly outcome: ReplayOutcome = {
    asked: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    refusedAfterMs: [],
    inversions: 0,
    overMemory: 0,
    mostStoreLoads: 0,
    servedModels: new Set(),
  };

  constructor(
    private readonly load: ReplayLoad,
    private readonly policy: ReplayPolicy,
  ) {
    this.random = new SeededRandom(load.seed).uniform;
    this.replicas = Array.from({length: load.replicas}, (_, index) => {
      const held = load.held(index).map(nameOf);
      return {
        id: `r${index}`,
        held: new Set(held),
        disk: new Set(held),
        freeAtMs: 0,
        queue: [],
        perS: undefined,
        nextPermitMs: 0,
        moving: undefined,
      };
    });
    this.paces = Array.from(
      {length: load.models * RANKS},
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
        replica.perS = this.load.limit?.(index, nowMs);
      }
      if (this.policy.plans) this.plan(nowMs);
      this.serve(nowMs);
    }
    return this.outcome;
  }

  private arrive(nowMs: number): void {
    for (let model = 0; model < this.load.models; model++) {
      const demand = this.demand[model];
      demand.load *= Math.exp(-STEP_MS / DEMAND_MEMORY_MS);
      if (this.random() >= (this.load.rate(model, nowMs) * STEP_MS) / 1000) continue;
      this.outcome.asked += 1;
      demand.load += PREFILL_MS / DEMAND_MEMORY_MS;
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
      this.line.push({...times, model, priority, arrivedMs: nowMs, targetMs: nowMs + TARGET_MS});
    }
  }

  private finishMoves(nowMs: number): void {
    for (const replica of this.replicas) {
      if (replica.moving === undefined || replica.moving.doneMs > nowMs) continue;
      replica.held.add(replica.moving.load);
      replica.disk.add(replica.moving.load);
      replica.moving = undefined;
      if (replica.held.size > COPIES) this.outcome.overMemory += 1;
    }
  }

  private plan(nowMs: number): void {
    this.storeLoads = this.storeLoads.filter(atMs => nowMs - atMs < WINDOW_MS);
    const moves = planEngines({
      replicas: this.replicas.map(replica => ({
        id: replica.id,
        zone: 'a',
        held: replica.held,
        idle: replica.moving === undefined,
        loadingModel: replica.moving?.load ?? '',
        freeMb: (COPIES - replica.held.size) * MODEL_MB,
        inMemory: new Set<string>(),
        onDisk: replica.disk,
        capacity: this.capacityOf(replica),
      })),
      models: this.demand.map((demand, model) => this.planModel(model, demand)),
      availableStoreLoads: LOADS_PER_WINDOW - this.storeLoads.length,
      maxConcurrentStoreLoads: LOADS_PER_WINDOW,
      nowMs,
      isDemandKnown: nowMs > 7000,
      isRecentlyLoaded: () => false,
    });
    for (const move of moves) {
      const replica = this.replicas.find(found => found.id === move.replica)!;
      replica.held.delete(move.unload);
      const seconds = move.source === 'store' ? STORE_S : DISK_S;
      replica.moving = {load: move.load, doneMs: nowMs + seconds * 1000};
      if (move.source === 'store') this.storeLoads.push(nowMs);
    }
    const {mostStoreLoads} = this.outcome;
    this.outcome.mostStoreLoads = Math.max(mostStoreLoads, this.storeLoads.length);
  }

  private capacityOf({perS}: Replica): number {
    const isKnown = this.policy.knowsLimits !== false && perS !== undefined;
    return isKnown ? (perS * PREFILL_MS) / 1000 : Number.POSITIVE_INFINITY;
  }

  private planModel(model: number, demand: {load: number; askedMs: number}): EnginePlanModel {
    return {
      name: nameOf(model),
      weightsMb: MODEL_MB,
      adapters: 0,
      storeLoadS: STORE_S,
      diskLoadS: DISK_S,
      memoryLoadS: DISK_S,
      load: demand.load,
      waiting: this.waitingFor(model),
      lastRequestMs: demand.askedMs,
      lastUrgentRequestMs: demand.askedMs,
    };
  }

  private serve(nowMs: number): void {
    if (this.policy.ordersLine) this.line.sort((a, b) => compareQueuedRequests(a, b, nowMs));
    const sent: Request[] = [];
    this.line = this.line.filter(req => {
      if (this.isOver(req, nowMs)) {
        this.refuse(req, nowMs);
        return false;
      }
      const outcome = this.send(req, nowMs);
      if (outcome === 'waits') return this.mayStay(req, nowMs);
      if (outcome === 'late') {
        this.refuse(req, nowMs);
        return false;
      }
      sent.push(req);
      this.paceOf(req).onSent(nowMs, this.waitingFor(req.model, req.priority) - sent.length);
      return false;
    });
    this.countInversions(sent, nowMs);
  }

  /** Turns a new request away whose wait would be too long. */
  private mayStay(req: Request, nowMs: number): boolean {
    if (!this.policy.ordersLine || req.arrivedMs < nowMs) return true;
    const hasCopy = this.replicas.some(replica => replica.held.has(nameOf(req.model)));
    const pace = this.paceOf(req);
    const ahead = this.waitingFor(req.model, req.priority) - 1;
    if (hasCopy && !shouldQueue(req, pace.waitMs(ahead, nowMs), nowMs)) {
      this.refuse(req, nowMs);
      return false;
    }
    pace.onWaiting(nowMs);
    return true;
  }

  private refuse(req: Request, nowMs: number): void {
    this.outcome.refused += 1;
    this.outcome.refusedAfterMs.push(nowMs - req.arrivedMs);
  }

  private paceOf({model, priority}: Request): DrainRateEstimator {
    return this.paces[model * RANKS + priority];
  }

  private waitingFor(model: number, priority?: number): number {
    return this.line.filter(
      req => req.model === model && (priority === undefined || req.priority === priority),
    ).length;
  }

  private isOver(req: Request, nowMs: number): boolean {
    return this.policy.ordersLine
      ? queuedRequestState(req, nowMs) === 'hopeless'
      : nowMs > req.abandonedMs;
  }

  private send(req: Request, nowMs: number): 'sent' | 'late' | 'waits' {
    const all = this.replicas.filter(replica => replica.held.has(nameOf(req.model)));
    const free = all.filter(({perS}) => perS === undefined);
    const permitted = all.filter(({nextPermitMs}) => nextPermitMs <= nowMs);
    const holders = free.length > 0 ? free : permitted;
    const candidates = holders.map(replica => candidateOf(replica, nowMs));
    const choice = chooseEngine(candidates, {
      zone: 'a',
      prefixHash: 0,
      adapterHash: 0,
      prefixSavingMs: 0,
      tokens: 2000,
      maxBacklogMs: MAX_BACKLOG_MS,
    });
    if (choice.kind !== 'chosen') return 'waits';
    const othersWait = this.waitingFor(req.model) > 1;
    if (this.policy.ordersLine && othersWait && wouldBeLateBehind(req, choice.backlogMs, nowMs)) {
      return 'late';
    }
    const replica = holders[choice.index];
    replica.freeAtMs = Math.max(replica.freeAtMs, nowMs) + PREFILL_MS;
    if (replica.perS !== undefined) replica.nextPermitMs = nowMs + 1000 / replica.perS;
    replica.queue.push(replica.freeAtMs);
    this.outcome.servedModels.add(req.model);
    if (replica.freeAtMs <= req.targetMs) this.outcome.onTime += 1;
    else this.outcome.late += 1;
    return 'sent';
  }

  private countInversions(sent: readonly Request[], nowMs: number): void {
    for (const req of this.line) {
      const passed = sent.some(
        other =>
          other.model === req.model &&
          other.priority > req.priority &&
          queuedRequestState(req, nowMs) === 'on_time',
      );
      if (passed) this.outcome.inversions += 1;
    }
  }
}

function candidateOf(replica: Replica, nowMs: number): EngineCandidate {
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
    prefillMs: PREFILL_MS,
  };
}
