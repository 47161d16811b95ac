/** Which replicas can serve a model or service, kept ready for routing. */
import type {UpstreamKind} from '@jasminepost/core';
import type {Fleet, Replica} from '@jasminepost/mesh';
import {CircuitBreaker, type RouteCandidate} from '@jasminepost/policy';

/** Assumed until a replica's first report. */
const DEFAULT_SERVICE_MS = 1000;

/** Live view of a replica as routing sees it. */
class ReplicaCandidate implements RouteCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;

  constructor(
    readonly replica: Replica,
    readonly circuit: CircuitBreaker,
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
    return Math.max(1, this.replica.load?.serviceMs ?? DEFAULT_SERVICE_MS);
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
    return this.circuit.isOpen(nowMs);
  }

  get slots(): number {
    return this.replica.status?.slots ?? 1;
  }
}

/** Rebuilt lazily, at most once between two changes of the fleet. @internal */
export class ReplicaIndex {
  private byTarget = new Map<string, ReplicaCandidate[]>();
  private readonly circuits = new Map<string, CircuitBreaker>();
  private stale = true;

  constructor(private readonly fleet: Fleet) {}

  invalidate(): void {
    this.stale = true;
  }

  /** Circuit of a replica; outlives its link. */
  circuitOf(replica: string): CircuitBreaker {
    let circuit = this.circuits.get(replica);
    if (circuit === undefined) {
      circuit = new CircuitBreaker();
      this.circuits.set(replica, circuit);
    }
    return circuit;
  }

  candidates(kind: UpstreamKind, target: string): readonly ReplicaCandidate[] {
    if (this.stale) this.rebuild();
    return this.byTarget.get(`${kind}/${target}`) ?? [];
  }

  private rebuild(): void {
    this.stale = false;
    this.byTarget = new Map();
    for (const id of this.circuits.keys()) {
      if (!this.fleet.replicas.has(id)) this.circuits.delete(id);
    }
    for (const replica of this.fleet.replicas.values()) {
      const {status} = replica;
      if (status === undefined || replica.client.link === undefined) continue;
      if (status.leaving || !status.healthy || replica.listedLeaving) continue;
      const candidate = new ReplicaCandidate(replica, this.circuitOf(replica.id));
      const targets = status.kind === 'engine' ? status.models : [status.service];
      for (const target of targets) this.add(`${status.kind}/${target}`, candidate);
    }
  }

  private add(key: string, candidate: ReplicaCandidate): void {
    const known = this.byTarget.get(key);
    if (known === undefined) this.byTarget.set(key, [candidate]);
    else known.push(candidate);
  }
}
