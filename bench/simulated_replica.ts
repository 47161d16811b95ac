/** A replica in virtual time: slots, loaded models, and the admission queue of packages/policy. */
import {fnv1a32, type RequestClass} from '@jasminepost/core';
import {AdmissionQueue, type RouteCandidate, type Ticket} from '@jasminepost/policy';
import type {VirtualClock} from './virtual_clock.ts';

const PAID_MAX_WAIT_MS = 30_000;
const TRIAL_MAX_WAIT_MS = 250;
const PAID_REDIRECT_MS = 50;
const CACHED_PREFIXES = 64;
const UNCACHED_PREFILL_MS = 60;
const CACHED_PREFILL_MS = 15;

export class SimulatedRequest implements Ticket {
  startedMs = 0;
  readonly isolate = false;
  readonly preemptible = true;
  firstTokenMs = Number.NaN;
  /** The entry's view of the replica that has the request. */
  view: ReplicaView | undefined;

  readonly class: RequestClass;

  constructor(
    requestClass: RequestClass,
    readonly model: number,
    readonly prefix: number,
    readonly arrivedMs: number,
    /** Remaining decode time. */
    public remainingMs: number,
  ) {
    this.class = requestClass;
  }

  readonly deadlineMs = Number.POSITIVE_INFINITY;
}

export class SimulatedReplica {
  readonly id: string;
  readonly idHash: number;
  readonly queue: AdmissionQueue<SimulatedRequest>;
  readonly planned = new Set<number>();
  readonly ready = new Set<number>();
  readonly lastUsedMs = new Map<number, number>();
  up = true;
  busyMs = 0;
  /** Busy time by class, to compute the share of the slack that trial requests got. */
  readonly servedMs: Record<RequestClass, number> = {paid: 0, trial: 0};
  private crashCount = 0;
  private readonly prefixes = new Set<number>();

  constructor(
    readonly index: number,
    readonly zone: string,
    readonly slots: number,
    private readonly clock: VirtualClock,
    private readonly onDone: (request: SimulatedRequest) => void,
    private readonly onPreempted: (request: SimulatedRequest) => void,
  ) {
    this.id = `replica-${index}`;
    this.idHash = fnv1a32(this.id);
    this.queue = new AdmissionQueue<SimulatedRequest>({
      slots,
      paidReserve: 0,
      paidMaxWaitMs: PAID_MAX_WAIT_MS,
      trialMaxWaitMs: TRIAL_MAX_WAIT_MS,
      paidRedirectMs: PAID_REDIRECT_MS,
    });
  }

  /** Returns false if the request was refused. */
  offer(request: SimulatedRequest, hasAlternative: boolean): boolean {
    const resumed = !Number.isNaN(request.firstTokenMs);
    const decision = resumed
      ? this.queue.readmit(request)
      : this.queue.offer(request, this.clock.nowMs, hasAlternative);
    if (decision.kind === 'refused') return false;
    this.lastUsedMs.set(request.model, this.clock.nowMs);
    this.dispatchQueued();
    return true;
  }

  /** Drops all requests and all models; returns the requests. */
  crash(): SimulatedRequest[] {
    const lost = [...this.queue.running, ...this.queue.drainQueue()];
    for (const request of this.queue.running) this.recordServed(request);
    for (const request of lost) this.queue.release(request);
    this.up = false;
    this.crashCount += 1;
    this.planned.clear();
    this.ready.clear();
    this.prefixes.clear();
    return lost;
  }

  dispatchQueued(): void {
    for (;;) {
      const request = this.queue.next(this.clock.nowMs);
      if (request === undefined) break;
      this.start(request);
    }
    const preempted = this.queue.preemptionVictim();
    if (preempted === undefined) return;
    this.recordServed(preempted);
    this.queue.release(preempted);
    this.dispatchQueued();
    this.onPreempted(preempted);
  }

  private start(request: SimulatedRequest): void {
    const {crashCount} = this;
    const startedMs = this.clock.nowMs;
    const prefillMs = this.prefillDurationMs(request);
    this.clock.after(prefillMs, () => {
      if (!this.isCurrent(request, crashCount, startedMs)) return;
      if (Number.isNaN(request.firstTokenMs)) {
        request.firstTokenMs = this.clock.nowMs - request.arrivedMs;
      }
    });
    this.clock.after(prefillMs + request.remainingMs, () => {
      if (!this.isCurrent(request, crashCount, startedMs)) return;
      this.recordServed(request);
      this.queue.release(request, this.clock.nowMs - startedMs);
      this.onDone(request);
      this.dispatchQueued();
    });
  }

  private isCurrent(request: SimulatedRequest, crashCount: number, startedMs: number): boolean {
    const running = this.queue.running.has(request) && request.startedMs === startedMs;
    return this.crashCount === crashCount && running;
  }

  private prefillDurationMs(request: SimulatedRequest): number {
    const key = request.model * 1000 + request.prefix;
    const hit = this.prefixes.delete(key);
    this.prefixes.add(key);
    if (this.prefixes.size > CACHED_PREFIXES) {
      this.prefixes.delete(this.prefixes.values().next().value!);
    }
    return hit ? CACHED_PREFILL_MS : UNCACHED_PREFILL_MS;
  }

  private recordServed(request: SimulatedRequest): void {
    const servedMs = this.clock.nowMs - request.startedMs;
    this.busyMs += servedMs;
    this.servedMs[request.class] += servedMs;
    request.remainingMs = Math.max(0, request.remainingMs - servedMs);
  }
}

/** What one entry knows about a replica. */
export class ReplicaView implements RouteCandidate {
  reportedPaid = 0;
  reportedTrial = 0;
  serviceMs = 1000;
  reportedMs = 0;
  ownInFlight = 0;
  ownAtReport = 0;

  constructor(readonly replica: SimulatedReplica) {}

  get id(): string {
    return this.replica.id;
  }

  get idHash(): number {
    return this.replica.idHash;
  }

  get zone(): string {
    return this.replica.zone;
  }

  get slots(): number {
    return this.replica.slots;
  }

  isBlocked(): boolean {
    return false;
  }

  refresh(nowMs: number): void {
    const {queue} = this.replica;
    this.reportedPaid = queue.occupancy('paid');
    this.reportedTrial = queue.occupancy('trial');
    this.serviceMs = queue.meanServiceMs;
    this.reportedMs = nowMs;
    this.ownAtReport = this.ownInFlight;
  }
}
