/** All replicas that the platform lists, and which of them hold which model. */
import type {Clock, Logger} from '@jasminepost/core';
import {decodeReplicaRegistration, ReplicaClient, type StoreChange} from '@jasminepost/platform';
import {incarnationId, type ReplicaRegistration, type Service} from '@jasminepost/serving';
import {Replica} from './replica.ts';

/** Entries that lapsed in an outage of the store are back this long after its return. @internal */
export const OUTAGE_GRACE_MS = 2000;
/** Starts of replicas that are remembered as leaving or gone. */
const MAX_REMEMBERED = 10_000;
/** Longest time that a replica which has left keeps its connections for requests in progress. */
const LINGER_MS = 30_000;

/**
 * What a whole read of the entries may lack or hold too much of. `after_outage`: entries that lapsed
 * come back. `copy`: those that are gone since the copy are listed, those that are new are not.
 *
 * @internal
 */
export type SnapshotKind = 'current' | 'after_outage' | 'copy';

/** @internal */
export interface ReplicaTableEvents {
  onAdded(replica: Replica): void;
  onRemoved(replica: Replica): void;
  /** What may be chosen has changed. */
  onChanged(): void;
}

/** @internal */
export class ReplicaTable {
  readonly replicas = new Map<string, Replica>();
  /** True once all entries have been read. */
  hasSnapshot = false;
  private readonly malformed = new Set<string>();
  /** Keys that were missing after an outage, until the grace ends. */
  private readonly missingKeys = new Set<string>();
  /** Starts of replicas that have said that they leave, the newest last. */
  private readonly leftIncarnations = new Set<string>();
  /** Starts of replicas whose entries were removed, until they are listed again. */
  private readonly gone = new Set<string>();
  private graceTimer: NodeJS.Timeout | undefined;
  private services: ReadonlyMap<string, Service> = new Map();
  /** Usable holders by `service/model`; built anew after a change. */
  private usableByModel: Map<string, Replica[]> | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly events: ReplicaTableEvents,
  ) {}

  /** Sets the services of the configuration in force. */
  applyServices(services: ReadonlyMap<string, Service>): void {
    this.services = services;
  }

  /** Takes in a whole read of the entries. */
  applySnapshot(changes: readonly StoreChange[], kind: SnapshotKind): void {
    const afterOutage = kind !== 'current';
    const present = new Set(changes.map(change => change.key));
    for (const replica of [...this.replicas.values()]) {
      const {key} = replica.entry;
      if (!present.has(key)) this.remove(key, afterOutage);
    }
    for (const change of changes) {
      if (kind !== 'copy' || !this.isStale(change)) this.applyChange(change, afterOutage);
    }
    this.hasSnapshot = true;
  }

  /**
   * Takes in a change of one entry.
   *
   * @returns True when it matters to gateways that hear from the replica's steward.
   */
  applyChange(change: StoreChange, afterOutage: boolean): boolean {
    if (change.value === undefined) {
      this.remove(change.key, afterOutage);
      return true;
    }
    this.missingKeys.delete(change.key);
    const decoded = decodeReplicaRegistration(change.key, change.value);
    if (decoded.ok) {
      this.malformed.delete(change.key);
      return this.upsert(decoded.value);
    }
    this.skipMalformed(change.key, decoded.error);
    return true;
  }

  /** Gateways linked to the same stewards, as these count them. */
  gateways(): number {
    let most = 0;
    for (const {gateways} of this.replicas.values()) most = Math.max(most, gateways);
    return most;
  }

  /** Usable replicas of a service. */
  usableOf(service: string): Replica[] {
    const found: Replica[] = [];
    for (const replica of this.replicas.values()) {
      if (replica.entry.service === service && replica.usable) found.push(replica);
    }
    return found;
  }

  /** Usable replicas of a service that hold a model. */
  withModel(service: string, model: string): readonly Replica[] {
    this.usableByModel ??= this.indexByModel();
    return this.usableByModel.get(`${service}/${model}`) ?? [];
  }

  private indexByModel(): Map<string, Replica[]> {
    const index = new Map<string, Replica[]>();
    for (const replica of this.replicas.values()) {
      if (!replica.usable) continue;
      for (const {name} of replica.models) {
        const key = `${replica.entry.service}/${name}`;
        const loaded = index.get(key);
        if (loaded === undefined) index.set(key, [replica]);
        else loaded.push(replica);
      }
    }
    return index;
  }

  dispose(): void {
    clearTimeout(this.graceTimer);
    for (const replica of this.replicas.values()) replica.channel.destroy();
  }

  /** @returns True when more has changed than what its steward tells. */
  private upsert(entry: ReplicaRegistration): boolean {
    const known = this.replicas.get(entry.id);
    if (known !== undefined && isSameIncarnation(known.entry, entry)) {
      const isCoveredBySteward = known.state !== undefined && known.entry.leaving === entry.leaving;
      this.logLeavingChange(known.entry, entry);
      known.entry = entry;
      this.events.onChanged();
      return !isCoveredBySteward;
    }
    if (known !== undefined) this.removeReplica(known, 'reborn');
    const maxConnections = this.services.get(entry.service)?.maxConnections ?? 64;
    const channel = new ReplicaClient(entry.address, maxConnections);
    const replica = new Replica(entry, channel, () => (this.usableByModel = undefined));
    this.gone.delete(incarnationId(entry));
    if (this.leftIncarnations.has(incarnationId(entry))) {
      replica.recordEvent({kind: 'said_leaving'}, this.clock.monotonicMs());
    }
    this.replicas.set(entry.id, replica);
    this.usableByModel = undefined;
    this.resolveAddressConflict(replica);
    this.log.info('replica listed', {
      replica: entry.id,
      service: entry.service,
      zone: entry.zone,
      leaving: entry.leaving,
      bornMs: entry.bornMs,
    });
    this.events.onAdded(replica);
    this.events.onChanged();
    return true;
  }

  /** Of two entries with one address the later start is the replica that is there. */
  private resolveAddressConflict(replica: Replica): void {
    for (const other of this.replicas.values()) {
      if (other === replica || !isSameAddress(other.entry, replica.entry)) continue;
      const earlier = other.entry.bornMs < replica.entry.bornMs ? other : replica;
      if (earlier.addressReassigned) continue;
      earlier.addressReassigned = true;
      this.log.info('replica displaced', {
        replica: earlier.id,
        by: earlier === other ? replica.id : other.id,
      });
    }
  }

  private logLeavingChange(before: ReplicaRegistration, after: ReplicaRegistration): void {
    if (before.leaving === after.leaving) return;
    this.log.info('replica state', {replica: after.id, leaving: after.leaving});
  }

  /** An entry that can't be read names no replica to use, even if it did before. */
  private skipMalformed(key: string, error: string): void {
    if (this.malformed.has(key)) return;
    this.log.warn('replica entry skipped', {key, error});
    this.remove(key, false);
    this.malformed.add(key);
  }

  private remove(key: string, afterOutage: boolean): void {
    this.malformed.delete(key);
    const replica = [...this.replicas.values()].find(found => found.entry.key === key);
    if (replica === undefined) return;
    if (!afterOutage) {
      this.removeReplica(replica, 'entry removed');
      return;
    }
    this.missingKeys.add(key);
    this.log.info('replica missing after outage', {replica: replica.id});
    this.graceTimer ??= setTimeout(() => this.onGraceEnd(), OUTAGE_GRACE_MS);
  }

  private onGraceEnd(): void {
    this.graceTimer = undefined;
    const missing = [...this.missingKeys];
    this.missingKeys.clear();
    for (const key of missing) this.remove(key, false);
  }

  /** True when an entry of an older copy says less than what is known of its replica since. */
  private isStale({key, value}: StoreChange): boolean {
    const decoded = value === undefined ? undefined : decodeReplicaRegistration(key, value);
    if (decoded?.ok !== true) return false;
    const entry = decoded.value;
    const known = this.replicas.get(entry.id);
    const isOutdated =
      known === undefined
        ? this.gone.has(incarnationId(entry))
        : known.entry.bornMs > entry.bornMs || (known.entry.leaving && !entry.leaving);
    if (isOutdated) this.log.info('replica entry of a copy passed over', {replica: entry.id});
    return isOutdated;
  }

  private removeReplica(replica: Replica, reason: string): void {
    this.replicas.delete(replica.id);
    this.usableByModel = undefined;
    if (replica.isLeaving) addBounded(this.leftIncarnations, incarnationId(replica.entry));
    addBounded(this.gone, incarnationId(replica.entry));
    this.log.info('replica gone', {replica: replica.id, reason, inFlight: replica.inFlight});
    const lingerUntilMs = this.clock.monotonicMs() + LINGER_MS;
    const close = () => {
      const shouldLinger = replica.inFlight > 0 && this.clock.monotonicMs() < lingerUntilMs;
      if (shouldLinger) setTimeout(close, 1000).unref();
      else replica.channel.destroy();
    };
    close();
    this.events.onRemoved(replica);
    this.events.onChanged();
  }
}

/** Adds to a set of bounded size, the oldest of which is dropped. */
function addBounded(set: Set<string>, incarnation: string): void {
  set.add(incarnation);
  if (set.size > MAX_REMEMBERED) set.delete(set.values().next().value!);
}

function isSameIncarnation(a: ReplicaRegistration, b: ReplicaRegistration): boolean {
  return a.bornMs === b.bornMs && a.service === b.service && isSameAddress(a, b);
}

function isSameAddress(a: ReplicaRegistration, b: ReplicaRegistration): boolean {
  return a.address.host === b.address.host && a.address.port === b.address.port;
}
