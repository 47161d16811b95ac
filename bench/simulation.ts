/** One run of one policy on one case, in virtual time. */
import {Histogram, type RequestClass} from '@jasminepost/core';
import {chooseReplica} from '@jasminepost/policy';
import type {BenchCase, Deployment} from './deployments.ts';
import {SimulatedReplica, ReplicaView, SimulatedRequest} from './simulated_replica.ts';
import {Placer} from './placer.ts';
import type {BenchPolicy} from './policies.ts';
import {SeededRandom} from './random.ts';
import {VirtualClock} from './virtual_clock.ts';

const ENTRIES = 3;
const PREFIXES = 20;
const PREFIX_SAVING_MS = 45;
const MEAN_DECODE_MS = 900;
const FIRST_TOKEN_TARGET_MS = 320;
const MAX_ATTEMPTS = 4;
const MAX_REDIRECTS = 2;
const CRASH_DETECTION_MS = 500;
const RETRY_DELAY_MS = 100;
const INVARIANT_CHECK_INTERVAL_MS = 250;
/** Measurements exclude the first part of the run, in which demand estimates converge. */
const WARM_UP_SHARE = 0.1;
const SHIFT_FACTOR = 10;
const LOST_ZONE = 'zone-0';
const LOST_FROM_SHARE = 0.4;
const LOST_UNTIL_SHARE = 0.8;

export interface RunResult {
  readonly paidAttainment: number;
  readonly trialAttainment: number;
  readonly trialShareOfSlack: number;
  readonly moves: number;
  readonly refusedTrial: number;
  readonly lost: number;
  readonly unreachable: number;
  readonly overMemory: number;
  readonly paidFirstTokenMs: readonly [p50: number, p95: number, p99: number];
  readonly maxOverMeanLoad: number;
}

export class Simulation {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly replicas: SimulatedReplica[];
  private readonly views: ReplicaView[][];
  private readonly placer: Placer;
  private readonly cumulativeWeights: number[] = [];
  private readonly onTargetCounts: Record<RequestClass, number> = {paid: 0, trial: 0};
  private readonly measuredCounts: Record<RequestClass, number> = {paid: 0, trial: 0};
  private readonly firstToken = new Histogram('first_token', '');
  private refusedTrial = 0;
  private lost = 0;
  private unreachable = 0;
  private overMemory = 0;
  private offeredTrialMs = 0;
  private roundRobinIndex = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly benchCase: BenchCase,
    private readonly policy: BenchPolicy,
    private readonly durationMs: number,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.replicas = Array.from(
      {length: deployment.replicas},
      (_, index) =>
        new SimulatedReplica(
          index,
          `zone-${index % deployment.zones}`,
          deployment.slots,
          this.clock,
          request => this.onDone(request),
          request => this.dispatch(request),
        ),
    );
    this.views = Array.from({length: ENTRIES}, () => this.replicas.map(r => new ReplicaView(r)));
    this.placer = new Placer(
      deployment,
      policy.placement,
      this.replicas,
      this.clock,
      MEAN_DECODE_MS,
      benchCase.storeSlowdown,
    );
    this.setModelWeights(1);
  }

  run(): RunResult {
    this.placer.start();
    this.scheduleArrivals('paid', this.benchCase.paidLoad);
    this.scheduleArrivals('trial', this.benchCase.trialLoad);
    this.scheduleReports();
    this.scheduleShift();
    if (this.benchCase.zoneLost) this.scheduleZoneLoss();
    this.clock.every(INVARIANT_CHECK_INTERVAL_MS, () => this.checkInvariants());
    this.clock.runUntil(this.durationMs);
    return this.result();
  }

  /** Zipf weights; those of the shifted models are multiplied by `factor`. */
  private setModelWeights(factor: number): void {
    let sum = 0;
    this.cumulativeWeights.length = 0;
    for (let model = 0; model < this.deployment.models; model++) {
      // Shifted models are in the middle of the ranking, where no policy keeps spare copies.
      const first = this.deployment.models >> 1;
      const shifted = model >= first && model < first + this.benchCase.shiftedModels;
      sum += (shifted ? factor : 1) / (model + 3);
      this.cumulativeWeights.push(sum);
    }
  }

  private scheduleArrivals(requestClass: RequestClass, load: number): void {
    const slots = this.deployment.replicas * this.deployment.slots;
    const baseWeight = this.cumulativeWeights[this.cumulativeWeights.length - 1];
    const next = () => {
      const growth = this.cumulativeWeights[this.cumulativeWeights.length - 1] / baseWeight;
      const meanGapMs = MEAN_DECODE_MS / (slots * load * growth);
      this.clock.after(this.random.exponential(meanGapMs), () => {
        this.onArrival(requestClass);
        next();
      });
    };
    next();
  }

  private onArrival(requestClass: RequestClass): void {
    const model = this.random.weighted(this.cumulativeWeights);
    const prefix = Math.floor(this.random.uniform() ** 2 * PREFIXES);
    const decodeMs = 300 + this.random.exponential(MEAN_DECODE_MS - 300);
    const request = new SimulatedRequest(requestClass, model, prefix, this.clock.nowMs, decodeMs);
    if (this.isMeasured(request)) this.measuredCounts[requestClass] += 1;
    if (requestClass === 'trial') this.offeredTrialMs += decodeMs;
    this.placer.onRequest(request);
    this.dispatch(request);
  }

  private detachFromReplica(request: SimulatedRequest): void {
    if (request.view !== undefined) request.view.ownInFlight -= 1;
    request.view = undefined;
  }

  private dispatch(request: SimulatedRequest): void {
    this.detachFromReplica(request);
    this.placer.addReactiveCopy(request.model);
    const entry = this.views[Math.floor(this.random.uniform() * ENTRIES)];
    const candidates = entry.filter(v => v.replica.up && v.replica.ready.has(request.model));
    const excluded = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const view = this.choose(request, candidates, excluded);
      if (view === undefined) break;
      request.view = view;
      view.ownInFlight += 1;
      const hasAlternative = attempt < MAX_REDIRECTS && excluded.size + 1 < candidates.length;
      if (view.replica.offer(request, hasAlternative)) return;
      this.detachFromReplica(request);
      excluded.add(view.id);
    }
    this.afterRefusal(request, candidates.length > 0);
  }

  /** Trial requests are refused; paid requests and streams that have started are retried. */
  private afterRefusal(request: SimulatedRequest, reachable: boolean): void {
    const mayWait = request.class === 'paid' || !Number.isNaN(request.firstTokenMs);
    if (!mayWait && reachable) {
      this.refusedTrial += 1;
      return;
    }
    this.clock.after(RETRY_DELAY_MS, () => this.dispatch(request));
  }

  private choose(
    request: SimulatedRequest,
    candidates: readonly ReplicaView[],
    excluded: ReadonlySet<string>,
  ): ReplicaView | undefined {
    const usable = candidates.filter(view => !excluded.has(view.id));
    if (usable.length === 0) return undefined;
    switch (this.policy.routing) {
      case 'random':
        return usable[Math.floor(this.random.uniform() * usable.length)];
      case 'round_robin':
        this.roundRobinIndex += 1;
        return usable[this.roundRobinIndex % usable.length];
      case 'least_reported':
        return usable.reduce((best, view) => (totalLoad(view) < totalLoad(best) ? view : best));
      case 'jasminepost':
        return this.chooseByPolicy(request, candidates, excluded);
    }
  }

  private chooseByPolicy(
    request: SimulatedRequest,
    candidates: readonly ReplicaView[],
    excluded: ReadonlySet<string>,
  ): ReplicaView | undefined {
    const choice = chooseReplica(
      candidates,
      {
        class: request.class,
        zone: `zone-${Math.floor(this.random.uniform() * this.deployment.zones)}`,
        prefixHash: request.model * 1000 + request.prefix + 1,
        prefixSavingMs: PREFIX_SAVING_MS,
        crossZoneMs: this.deployment.crossZoneMs,
        entries: ENTRIES,
        nowMs: this.clock.nowMs,
        excluded,
      },
      this.random.uniform,
    );
    return choice.kind === 'none' ? undefined : candidates[choice.index];
  }

  private onDone(request: SimulatedRequest): void {
    this.detachFromReplica(request);
    if (!this.isMeasured(request)) return;
    if (request.class === 'paid') this.firstToken.recordMs(request.firstTokenMs);
    if (request.firstTokenMs <= FIRST_TOKEN_TARGET_MS) this.onTargetCounts[request.class] += 1;
  }

  private isMeasured(request: SimulatedRequest): boolean {
    const {arrivedMs} = request;
    // Requests of the last seconds may not complete before the run ends.
    return arrivedMs > WARM_UP_SHARE * this.durationMs && arrivedMs < this.durationMs - 15_000;
  }

  private scheduleReports(): void {
    for (const entry of this.views) {
      for (const view of entry) {
        this.clock.every(
          this.benchCase.reportIntervalMs * (0.9 + 0.2 * this.random.uniform()),
          () => {
            if (this.random.uniform() >= this.benchCase.reportLoss) view.refresh(this.clock.nowMs);
          },
        );
      }
    }
  }

  private scheduleShift(): void {
    if (this.benchCase.shiftedModels === 0) return;
    const steps = 20;
    for (let step = 1; step <= steps; step++) {
      const atMs = this.durationMs * (0.25 + (0.25 * step) / steps);
      this.clock.after(atMs, () => this.setModelWeights(1 + ((SHIFT_FACTOR - 1) * step) / steps));
    }
  }

  private scheduleZoneLoss(): void {
    const lostZone = this.replicas.filter(replica => replica.zone === LOST_ZONE);
    this.clock.after(LOST_FROM_SHARE * this.durationMs, () => {
      for (const replica of lostZone) {
        for (const request of replica.crash()) {
          this.clock.after(CRASH_DETECTION_MS, () => this.dispatch(request));
        }
      }
    });
    this.clock.after(LOST_UNTIL_SHARE * this.durationMs, () => {
      for (const replica of lostZone) replica.up = true;
    });
  }

  private checkInvariants(): void {
    for (const replica of this.replicas) {
      if (replica.planned.size > this.deployment.copiesPerReplica) this.overMemory += 1;
    }
    for (let model = 0; model < this.deployment.models; model++) {
      if (!this.replicas.some(replica => replica.up && replica.ready.has(model))) {
        this.unreachable += 1;
      }
    }
  }

  private availableMs(replica: SimulatedReplica): number {
    const lost = this.benchCase.zoneLost && replica.zone === LOST_ZONE;
    return lost ? (1 - LOST_UNTIL_SHARE + LOST_FROM_SHARE) * this.durationMs : this.durationMs;
  }

  private result(): RunResult {
    const slotMs = this.replicas.reduce((sum, r) => sum + r.slots * this.availableMs(r), 0);
    const served = (requestClass: RequestClass) =>
      this.replicas.reduce((sum, replica) => sum + replica.servedMs[requestClass], 0);
    const slackMs = Math.min(this.offeredTrialMs, slotMs - served('paid'));
    const busy = this.replicas.map(replica => replica.busyMs);
    const meanBusy = busy.reduce((sum, ms) => sum + ms, 0) / busy.length;
    const {firstToken} = this;
    return {
      paidAttainment: this.onTargetCounts.paid / this.measuredCounts.paid,
      trialAttainment: this.onTargetCounts.trial / this.measuredCounts.trial,
      trialShareOfSlack: served('trial') / slackMs,
      moves: this.placer.moves,
      refusedTrial: this.refusedTrial,
      lost: this.lost,
      unreachable: this.unreachable,
      overMemory: this.overMemory,
      paidFirstTokenMs: [50, 95, 99].map(q => firstToken.quantileMs(q)) as [number, number, number],
      maxOverMeanLoad: Math.max(...busy) / meanBusy,
    };
  }
}

function totalLoad(view: ReplicaView): number {
  return view.reportedPaid + view.reportedTrial;
}
