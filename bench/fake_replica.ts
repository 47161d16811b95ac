/** A replica in virtual time: slots, the real admission queue, resident models. */
import {fnv1a32, type RequestClass} from '@jasminepost/core';
import {AdmissionQueue, type RouteCandidate, type Ticket} from '@jasminepost/policy';
import type {VirtualClock} from './virtual_clock.ts';

const PAID_MAX_WAIT_MS = 30_000;
const TRIAL_MAX_WAIT_MS = 250;
const PAID_REDIRECT_MS = 50;
const CACHED_PREFIXES = 64;
const COLD_PREFILL_MS = 60;
const WARM_PREFILL_MS = 15;

export class SimRequest implements Ticket {
  startedMs = 0;
  readonly isolate = false;
  readonly preemptible = true;
  firstTokenMs = Number.NaN;
  /** Entry's view of the replica that has the request. */
  view: ReplicaView | undefined;

  readonly class: RequestClass;

  constructor(
    requestClass: RequestClass,
    readonly model: number,
    readonly prefix: number,
    readonly arrivedMs: number,
    /** Decoding still to be done. */
    public remainingMs: number,
  ) {
    this.class = requestClass;
  }

  readonly deadlineMs = Number.POSITIVE_INFINITY;
}

export class FakeReplica {
  readonly id: string;
  readonly idHash: number;
  readonly queue: AdmissionQueue<SimRequest>;
  readonly planned = new Set<number>();
  readonly ready = new Set<number>();
  readonly lastUsedMs = new Map<number, number>();
  up = true;
  busyMs = 0;
  /** Busy time by class, to measure the slack. */
  readonly servedMs: Record<RequestClass, number> = {paid: 0, trial: 0};
  private epoch = 0;
  private readonly prefixes = new Set<number>();

  constructor(
    readonly index: number,
    readonly zone: string,
    readonly slots: number,
    private readonly clock: VirtualClock,
    private readonly onDone: (request: SimRequest) => void,
    private readonly onStopped: (request: SimRequest) => void,
  ) {
    this.id = `replica-${index}`;
    this.idHash = fnv1a32(this.id);
    this.queue = new AdmissionQueue<SimRequest>({
      slots,
      paidReserve: 0,
      paidMaxWaitMs: PAID_MAX_WAIT_MS,
      trialMaxWaitMs: TRIAL_MAX_WAIT_MS,
      paidRedirectMs: PAID_REDIRECT_MS,
    });
  }

  /** False when the request was refused. */
  offer(request: SimRequest, hasAlternative: boolean): boolean {
    const resumed = !Number.isNaN(request.firstTokenMs);
    const decision = resumed
      ? this.queue.readmit(request)
      : this.queue.offer(request, this.clock.nowMs, hasAlternative);
    if (decision.kind === 'refused') return false;
    this.lastUsedMs.set(request.model, this.clock.nowMs);
    this.pump();
    return true;
  }

  /** Loses all work and all memory. */
  crash(): SimRequest[] {
    const lost = [...this.queue.running, ...this.queue.drainQueue()];
    for (const request of this.queue.running) this.account(request);
    for (const request of lost) this.queue.release(request);
    this.up = false;
    this.epoch += 1;
    this.planned.clear();
    this.ready.clear();
    this.prefixes.clear();
    return lost;
  }

  pump(): void {
    for (;;) {
      const request = this.queue.next(this.clock.nowMs);
      if (request === undefined) break;
      this.start(request);
    }
    const victim = this.queue.preemptionVictim();
    if (victim === undefined) return;
    this.account(victim);
    this.queue.release(victim);
    this.pump();
    this.onStopped(victim);
  }

  private start(request: SimRequest): void {
    const {epoch} = this;
    const startedMs = this.clock.nowMs;
    const prefillMs = this.prefillOf(request);
    this.clock.after(prefillMs, () => {
      if (!this.isCurrent(request, epoch, startedMs)) return;
      if (Number.isNaN(request.firstTokenMs)) {
        request.firstTokenMs = this.clock.nowMs - request.arrivedMs;
      }
    });
    this.clock.after(prefillMs + request.remainingMs, () => {
      if (!this.isCurrent(request, epoch, startedMs)) return;
      this.account(request);
      this.queue.release(request, this.clock.nowMs - startedMs);
      this.onDone(request);
      this.pump();
    });
  }

  private isCurrent(request: SimRequest, epoch: number, startedMs: number): boolean {
    const running = this.queue.running.has(request) && request.startedMs === startedMs;
    return this.epoch === epoch && running;
  }

  private prefillOf(request: SimRequest): number {
    const key = request.model * 1000 + request.prefix;
    const hit = this.prefixes.delete(key);
    this.prefixes.add(key);
    if (this.prefixes.size > CACHED_PREFIXES) {
      this.prefixes.delete(this.prefixes.values().next().value!);
    }
    return hit ? WARM_PREFILL_MS : COLD_PREFILL_MS;
  }

  private account(request: SimRequest): void {
    const servedMs = this.clock.nowMs - request.startedMs;
    this.busyMs += servedMs;
    this.servedMs[request.class] += servedMs;
    request.remainingMs = Math.max(0, request.remainingMs - servedMs);
  }
}

/** What one entry believes about a replica. */
export class ReplicaView implements RouteCandidate {
  reportedPaid = 0;
  reportedTrial = 0;
  serviceMs = 1000;
  reportedMs = 0;
  ownInFlight = 0;
  ownAtReport = 0;

  constructor(readonly replica: FakeReplica) {}

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
