/** Index of the replicas that can serve each model or service, for routing. */
import type {UpstreamKind} from '@jasminepost/core';
import type {Fleet, Replica} from '@jasminepost/mesh';
import {CircuitBreaker, type RouteCandidate} from '@jasminepost/policy';

/** Service time assumed until a replica's first load report. */
const ASSUMED_SERVICE_MS = 1000;

/** Adapts a replica to what routing reads; always reflects its current state. */
class ReplicaCandidate implements RouteCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;

  constructor(
    readonly replica: Replica,
    readonly circuitBreaker: CircuitBreaker,
  ) {
    this.id = replica.id;
    this.idHash = replica.idHash;
    this.zone = replica.zone;
  }

  get reportedPaid(): number {
    return this.replica.load?.paid ?? 0;
  }

  get reportedTrial(): number {
    return this.replica.load?.trial ?? 0;
  }

  get serviceMs(): number {
    return Math.max(1, this.replica.load?.serviceMs ?? ASSUMED_SERVICE_MS);
  }

  get reportedMs(): number {
    return this.replica.loadReceivedMs;
  }

  get ownInFlight(): number {
    return this.replica.inFlight;
  }

  get ownAtReport(): number {
    return this.replica.inFlightAtReport;
  }

  isBlocked(nowMs: number): boolean {
    return this.circuitBreaker.isOpen(nowMs);
  }

  get slots(): number {
    return this.replica.status?.slots ?? 1;
  }
}

/** Rebuilt lazily: at most once per change of the fleet. @internal */
export class ReplicaIndex {
  private candidatesByTarget = new Map<string, ReplicaCandidate[]>();
  private readonly circuitBreakers = new Map<string, CircuitBreaker>();
  private isStale = true;

  constructor(private readonly fleet: Fleet) {}

  invalidate(): void {
    this.isStale = true;
  }

  /** Circuit breaker of a replica; kept while the replica is in the fleet, even without a link. */
  circuitBreakerOf(replica: string): CircuitBreaker {
    let circuitBreaker = this.circuitBreakers.get(replica);
    if (circuitBreaker === undefined) {
      circuitBreaker = new CircuitBreaker();
      this.circuitBreakers.set(replica, circuitBreaker);
    }
    return circuitBreaker;
  }

  candidates(kind: UpstreamKind, target: string): readonly ReplicaCandidate[] {
    if (this.isStale) this.rebuild();
    return this.candidatesByTarget.get(`${kind}/${target}`) ?? [];
  }

  private rebuild(): void {
    this.isStale = false;
    this.candidatesByTarget = new Map();
    for (const id of this.circuitBreakers.keys()) {
      if (!this.fleet.replicas.has(id)) this.circuitBreakers.delete(id);
    }
    for (const replica of this.fleet.replicas.values()) {
      const {status} = replica;
      if (status === undefined || replica.client.link === undefined) continue;
      if (status.leaving || !status.healthy || replica.listedLeaving) continue;
      const candidate = new ReplicaCandidate(replica, this.circuitBreakerOf(replica.id));
      const targets = status.kind === 'engine' ? status.models : [status.service];
      for (const target of targets) this.addCandidate(`${status.kind}/${target}`, candidate);
    }
  }

  private addCandidate(key: string, candidate: ReplicaCandidate): void {
    const candidates = this.candidatesByTarget.get(key);
    if (candidates === undefined) this.candidatesByTarget.set(key, [candidate]);
    else candidates.push(candidate);
  }
}
