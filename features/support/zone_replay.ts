/** Simulates gateways and model replicas in three availability zones in virtual time. */
import {
  chooseEngine,
  correctPace,
  crossingPriceMs,
  expectedPace,
  nextPace,
  ZoneOverflow,
  type EngineCandidate,
  type EngineChoice,
  type EngineRequest,
  type ReplicaPace,
} from '@jasminepost/policy';
import {engineOffer} from '../../apps/gateway/src/lib/engine_zone_choice.ts';
import {SeededRandom} from '../../bench/random.ts';

export interface ZoneLoad {
  readonly seed: number;
  readonly durationMs: number;
  /** Replicas in each zone. */
  readonly replicas: readonly number[];
  readonly gatewaysPerZone: number;
  /** Requests a second that reach the gateways of a zone at the given time. */
  rate(zone: number, atMs: number): number;
  /** Round trip to another zone at the given time; the gateways assume 3 ms. */
  roundTripMs(atMs: number): number;
  /** Interval at which a gateway learns the load of a replica. */
  readonly reportMs: number;
}

export type ZonePolicy = 'fixed cost' | 'overflow';

export interface ZoneOutcome {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Bytes of requests that ran in another zone than that of their gateway. */
  crossedBytes: number;
  /** Requests sent from the first zone in each second, and how many of them left it. */
  readonly seconds: Array<{sent: number; left: number; meanShare: number}>;
}

interface Work {
  readonly request: ReplayRequest;
  readonly gateway: Gateway;
  readonly sentMs: number;
  readonly awaitingBefore: number;
  readonly arrivesMs: number;
}

interface SimulatedReplica {
  readonly id: string;
  readonly idHash: number;
  readonly zone: number;
  pace: number;
  readonly queue: Work[];
  freeAtMs: number;
  running: Work | undefined;
}

/** What a gateway knows of a replica. */
interface View {
  reported: number;
  reportedMs: number;
  nextReportMs: number;
  own: number;
  ownAtReport: number;
  pace: ReplicaPace | undefined;
}

interface Gateway {
  readonly zone: number;
  readonly views: View[];
  readonly overflow: ZoneOverflow;
  waiting: ReplayRequest[];
}

interface ReplayRequest {
  readonly arrivedMs: number;
  readonly prefillMs: number;
  readonly prefixHash: number;
  readonly draw: number;
}

const STEP_MS = 5;
const RECHECK_MS = 40;
const TARGET_MS = 700;
const MAX_BACKLOG_MS = 220;
const MEAN_PREFILL_MS = 80;
const SHARED_PREFIX_MS = 25;
const ASSUMED_ROUND_TRIP_MS = 3;
const EXCHANGE_BYTES = 30_000;
const MS_PER_MB = 2000;
const PACE_PERIOD_MS = 100;
const PREFIXES = 40;

/** Runs the simulation; it is deterministic for a given load and policy. */
export function replayZones(load: ZoneLoad, policy: ZonePolicy): ZoneOutcome {
  return new ZoneReplay(load, policy).run();
}

class ZoneReplay {
  private readonly random: SeededRandom;
  private readonly replicas: SimulatedReplica[] = [];
  private readonly gateways: Gateway[] = [];
  private readonly outcome: ZoneOutcome = {
    asked: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    crossedBytes: 0,
    seconds: [],
  };

  constructor(
    private readonly load: ZoneLoad,
    private readonly policy: ZonePolicy,
  ) {
    this.random = new SeededRandom(load.seed);
    for (const [zone, count] of load.replicas.entries()) {
      for (let index = 0; index < count; index++) {
        const idHash = Math.imul(this.replicas.length + 1, 0x9e3779b1);
        const id = `r${zone}-${index}`;
        this.replicas.push({
          id,
          idHash,
          zone,
          pace: 1,
          queue: [],
          freeAtMs: 0,
          running: undefined,
        });
      }
    }
    for (let zone = 0; zone < load.replicas.length; zone++) {
      for (let index = 0; index < load.gatewaysPerZone; index++) {
        const views = this.replicas.map(() => ({
          reported: 0,
          reportedMs: 0,
          nextReportMs: this.random.uniform() * load.reportMs,
          own: 0,
          ownAtReport: 0,
          pace: undefined,
        }));
        this.gateways.push({zone, views, overflow: new ZoneOverflow(), waiting: []});
      }
    }
  }

  run(): ZoneOutcome {
    for (let nowMs = 0; nowMs < this.load.durationMs; nowMs += STEP_MS) {
      if (nowMs % PACE_PERIOD_MS === 0) this.changePaces();
      for (const [index, replica] of this.replicas.entries()) this.work(replica, index, nowMs);
      for (const gateway of this.gateways) this.report(gateway, nowMs);
      this.arrive(nowMs);
      if (nowMs % RECHECK_MS === 0) {
        for (const gateway of this.gateways) this.dispatch(gateway, nowMs);
      }
      if (nowMs % 1000 === 0) this.recordSecond();
    }
    return this.outcome;
  }

  private recordSecond(): void {
    const local = this.gateways.filter(({zone}) => zone === 0);
    const sum = local.reduce((total, {overflow}) => total + overflow.share, 0);
    this.outcome.seconds.push({sent: 0, left: 0, meanShare: sum / local.length});
  }

  private changePaces(): void {
    for (const replica of this.replicas) {
      const target = 0.7 + this.random.exponential(0.3);
      replica.pace += 0.5 * (target - replica.pace);
    }
  }

  private arrive(nowMs: number): void {
    for (const gateway of this.gateways) {
      const perStep = this.load.rate(gateway.zone, nowMs) / this.load.gatewaysPerZone;
      if (this.random.uniform() >= (perStep * STEP_MS) / 1000) continue;
      this.outcome.asked += 1;
      gateway.waiting.push({
        arrivedMs: nowMs,
        prefillMs: MEAN_PREFILL_MS / 2 + this.random.exponential(MEAN_PREFILL_MS / 2),
        prefixHash: 1 + Math.floor(this.random.uniform() * PREFIXES) * 7919,
        draw: this.random.uniform(),
      });
      if (gateway.waiting.length === 1) this.dispatch(gateway, nowMs);
    }
  }

  private dispatch(gateway: Gateway, nowMs: number): void {
    const {waiting} = gateway;
    const inTime = waiting.filter(({arrivedMs}) => nowMs - arrivedMs < TARGET_MS);
    this.outcome.refused += waiting.length - inTime.length;
    gateway.waiting = inTime;
    while (gateway.waiting.length > 0) {
      const [request] = gateway.waiting;
      const index = this.choose(gateway, request, nowMs);
      if (index < 0) return;
      gateway.waiting.shift();
      this.send(gateway, request, index, nowMs);
    }
  }

  private send(gateway: Gateway, request: ReplayRequest, index: number, nowMs: number): void {
    const replica = this.replicas[index];
    const view = gateway.views[index];
    const crosses = replica.zone !== gateway.zone;
    if (crosses) this.outcome.crossedBytes += EXCHANGE_BYTES;
    const second = this.outcome.seconds.at(-1);
    if (gateway.zone === 0 && second !== undefined) {
      second.sent += 1;
      if (crosses) second.left += 1;
    }
    const arrivesMs = nowMs + (crosses ? this.load.roundTripMs(nowMs) / 2 : 0);
    replica.queue.push({request, gateway, sentMs: nowMs, awaitingBefore: view.own, arrivesMs});
    view.own += 1;
  }

  private choose(gateway: Gateway, request: ReplayRequest, nowMs: number): number {
    const candidates = this.replicas.map((_, index) => this.candidate(gateway, index, nowMs));
    const req = engineRequest(gateway, request);
    if (this.policy === 'fixed cost') {
      const choice = chooseEngine(candidates, req);
      return choice.kind === 'chosen' ? choice.index : -1;
    }
    const indexes = [...candidates.keys()];
    const homeIndexes = indexes.filter(index => candidates[index].zone === req.zone);
    const awayIndexes = indexes.filter(index => candidates[index].zone !== req.zone);
    const home = chooseEngine(
      homeIndexes.map(index => candidates[index]),
      {...req, crossZoneMs: 0},
    );
    const away = chooseEngine(
      awayIndexes.map(index => candidates[index]),
      {...req, crossZoneMs: 0},
    );
    const leftMs = TARGET_MS - (nowMs - request.arrivedMs) - request.prefillMs;
    const isHomeLate = home.kind === 'chosen' && isLate(home, leftMs) && !isLate(away, leftMs);
    const ages = indexes.map(index => nowMs - gateway.views[index].reportedMs);
    const decision = gateway.overflow.decide({
      nowMs,
      home: isHomeLate ? {kind: 'full'} : engineOffer(home),
      away: engineOffer(away),
      crossingMs: crossingPriceMs({
        roundTripMs: ASSUMED_ROUND_TRIP_MS,
        bytes: EXCHANGE_BYTES,
        msPerMb: MS_PER_MB,
        prefixSavingMs: req.prefixSavingMs,
      }),
      ageMs: Math.max(...ages),
      waitedMs: nowMs - request.arrivedMs,
      draw: request.draw,
    });
    const chosen = decision.kind === 'leave' ? away : home;
    if (chosen.kind !== 'chosen') return -1;
    return decision.kind === 'leave' ? awayIndexes[chosen.index] : homeIndexes[chosen.index];
  }

  private candidate(gateway: Gateway, index: number, nowMs: number): EngineCandidate {
    const {id, idHash, zone} = this.replicas[index];
    const view = gateway.views[index];
    const awaiting = Math.max(view.own, view.reported + view.own - view.ownAtReport);
    const pace = view.pace === undefined ? 1 : expectedPace(view.pace, nowMs);
    return {
      id,
      idHash,
      zone: String(zone),
      hasAdapter: false,
      awaitingFirstEvent: awaiting,
      active: awaiting,
      slots: 64,
      kvUsed: 0,
      kvTotal: 1_000_000,
      backlogMs: awaiting * MEAN_PREFILL_MS * pace,
      pace,
    };
  }

  /** The prefills of a replica run one after the other. */
  private work(replica: SimulatedReplica, index: number, nowMs: number): void {
    if (replica.running !== undefined && replica.freeAtMs <= nowMs) {
      this.finish(replica, replica.running, index);
      replica.running = undefined;
    }
    if (replica.running !== undefined) return;
    const next = replica.queue.findIndex(({arrivesMs}) => arrivesMs <= nowMs);
    if (next < 0) return;
    [replica.running] = replica.queue.splice(next, 1);
    replica.freeAtMs = nowMs + replica.running.request.prefillMs * replica.pace;
  }

  private finish(replica: SimulatedReplica, work: Work, index: number): void {
    const {gateway, request, sentMs, awaitingBefore} = work;
    const crosses = replica.zone !== gateway.zone;
    const backMs = crosses ? this.load.roundTripMs(replica.freeAtMs) / 2 : 0;
    const doneMs = replica.freeAtMs + backMs;
    if (doneMs - request.arrivedMs <= TARGET_MS) this.outcome.onTime += 1;
    else this.outcome.late += 1;
    const view = gateway.views[index];
    view.own -= 1;
    view.pace = nextPace(view.pace, replica.pace, doneMs);
    if (awaitingBefore === 0)
      view.pace = correctPace(view.pace, request.prefillMs, doneMs - sentMs, doneMs);
  }

  private report(gateway: Gateway, nowMs: number): void {
    for (const [index, view] of gateway.views.entries()) {
      if (view.nextReportMs > nowMs) continue;
      const {queue, running} = this.replicas[index];
      view.reported = queue.length + (running === undefined ? 0 : 1);
      view.reportedMs = nowMs;
      view.ownAtReport = view.own;
      view.nextReportMs = nowMs + this.load.reportMs;
    }
  }
}

function isLate(choice: EngineChoice, leftMs: number): boolean {
  return choice.kind !== 'chosen' || choice.backlogMs > leftMs;
}

function engineRequest(gateway: Gateway, request: ReplayRequest): EngineRequest {
  return {
    zone: String(gateway.zone),
    prefixHash: request.prefixHash,
    adapterHash: 0,
    prefixSavingMs: SHARED_PREFIX_MS,
    prefillMs: request.prefillMs,
    tokens: 1000,
    maxBacklogMs: MAX_BACKLOG_MS,
  };
}
