/** Which replicas can serve a model or service, kept ready for routing. */
import type {UpstreamKind} from '@jasminepost/core';
import type {Fleet, Replica} from '@jasminepost/mesh';
import type {RouteCandidate} from '@jasminepost/policy';

/** Live view of a replica as routing sees it. */
class ReplicaCandidate implements RouteCandidate {
  readonly id: string;
  readonly idHash: number;
  readonly zone: string;

  constructor(readonly replica: Replica) {
    this.id = replica.id;
    this.idHash = replica.idHash;
    this.zone = replica.zone;
  }

  get paidWaitMs(): number {
    return this.replica.load?.paidWaitMs ?? 0;
  }

  get trialWaitMs(): number {
    return this.replica.load?.trialWaitMs ?? 0;
  }

  get sentSinceReport(): number {
    return this.replica.sentSinceReport;
  }

  get slots(): number {
    return this.replica.status?.slots ?? 1;
  }
}

/** Rebuilt lazily, at most once between two changes of the fleet. @internal */
export class ReplicaIndex {
  private byTarget = new Map<string, ReplicaCandidate[]>();
  private stale = true;

  constructor(private readonly fleet: Fleet) {}

  invalidate(): void {
    this.stale = true;
  }

  candidates(kind: UpstreamKind, target: string): readonly ReplicaCandidate[] {
    if (this.stale) this.rebuild();
    return this.byTarget.get(`${kind}/${target}`) ?? [];
  }

  private rebuild(): void {
    this.stale = false;
    this.byTarget = new Map();
    for (const replica of this.fleet.replicas.values()) {
      const {status} = replica;
      if (status === undefined || replica.client.link === undefined) continue;
      if (status.leaving || !status.healthy || replica.listedLeaving) continue;
      const candidate = new ReplicaCandidate(replica);
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
