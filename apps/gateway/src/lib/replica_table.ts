/** All replicas in the platform's list, indexed by the models that they have loaded. */
import {errorMessage, type Clock, type Logger} from '@jasminepost/core';
import {decodeReplicaRegistration, ReplicaClient, type StoreChange} from '@jasminepost/platform';
import {incarnationId, type ReplicaRegistration, type Service} from '@jasminepost/serving';
import {IncarnationRecords} from './incarnation_records.ts';
import {Replica} from './replica.ts';

/**
 * Grace period after an outage of the store, in which replicas renew registrations that lapsed.
 *
 * @internal
 */
export const OUTAGE_GRACE_MS = 2000;
/** Maximum time for which the connections to a removed replica stay open for its requests. */
const LINGER_MS = 30_000;

/**
 * How a snapshot of all entries may differ from reality. `after_outage`: it lacks entries that
 * lapsed during an outage of the store and will be renewed. `copy`: the store was restored from an
 * older copy of itself, so that replicas removed since are still listed and new ones are not.
 *
 * @internal
 */
export type SnapshotKind = 'current' | 'after_outage' | 'copy';

/** @internal */
export interface ReplicaTableEvents {
  onAdded(replica: Replica): void;
  onRemoved(replica: Replica): void;
  /** Called when the set of eligible replicas may have changed. */
  onChanged(): void;
}

/** @internal */
export class ReplicaTable {
  readonly replicas = new Map<string, Replica>();
  /** True once all entries have been read at least once. */
  hasSnapshot = false;
  /** Keys of entries that can't be parsed. */
  private readonly malformed = new Set<string>();
  /** Keys that were missing after an outage, until the grace period ends. */
  private readonly missingKeys = new Set<string>();
  /** Incarnations whose entries were removed, until they are listed again. */
  private readonly gone = new IncarnationRecords();
  private graceTimer: NodeJS.Timeout | undefined;
  private services: ReadonlyMap<string, Service> = new Map();
  /** Usable replicas that have loaded each `service/model`; rebuilt after a change. */
  private usableByModel: Map<string, Replica[]> | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly events: ReplicaTableEvents,
  ) {}

  /** Sets the services of the active configuration. */
  applyServices(services: ReadonlyMap<string, Service>): void {
    this.services = services;
  }

  /** Applies a snapshot of all entries. */
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
   * Applies a change of one entry.
   *
   * @returns True when the change matters even to gateways linked to the replica's steward.
   */
  applyChange(change: StoreChange, afterOutage: boolean): boolean {
    if (change.value === undefined) {
      this.remove(change.key, afterOutage);
      return true;
    }
    this.missingKeys.delete(change.key);
    const decoded = decodeReplicaRegistration(change.key, change.value);
    if (!decoded.ok) {
      this.skipMalformed(change.key, decoded.error);
      return true;
    }
    try {
      const matters = this.upsert(decoded.value);
      this.malformed.delete(change.key);
      return matters;
    } catch (thrown) {
      // The changes after this one must still be applied.
      this.skipMalformed(change.key, errorMessage(thrown));
      return true;
    }
  }

  /** Number of gateways: the largest number of links that a steward reports. */
  gateways(): number {
    let maximum = 0;
    for (const {gateways} of this.replicas.values()) maximum = Math.max(maximum, gateways);
    return maximum;
  }

  /** Number of usable replicas of a service by software version. */
  versionsOf(service: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {entry} of this.usableOf(service))
      counts.set(entry.softwareVersion, (counts.get(entry.softwareVersion) ?? 0) + 1);
    return counts;
  }

  /** Usable replicas of a service. */
  usableOf(service: string): Replica[] {
    const found: Replica[] = [];
    for (const replica of this.replicas.values()) {
      if (replica.entry.service === service && replica.usable) found.push(replica);
    }
    return found;
  }

  /** Usable replicas of a service that have loaded a model. */
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
        const replicas = index.get(key);
        if (replicas === undefined) index.set(key, [replica]);
        else replicas.push(replica);
      }
    }
    return index;
  }

  dispose(): void {
    clearTimeout(this.graceTimer);
    for (const replica of this.replicas.values()) replica.client.destroy();
  }

  /**
   * Adds or updates a replica.
   *
   * @returns True when the change goes beyond what the replica's steward reports.
   */
  private upsert(entry: ReplicaRegistration): boolean {
    const known = this.replicas.get(entry.id);
    if (known !== undefined && isSameIncarnation(known.entry, entry)) {
      const isCoveredBySteward = known.state !== undefined && known.entry.leaving === entry.leaving;
      this.logLeavingChange(known.entry, entry);
      known.entry = entry;
      known.isMissing = false;
      this.events.onChanged();
      return !isCoveredBySteward;
    }
    if (known !== undefined) this.removeReplica(known, 'restarted');
    const maxConnections = this.services.get(entry.service)?.maxConnections ?? 64;
    const client = new ReplicaClient(entry.address, maxConnections, {
      bornMs: () => this.reportedStartOf(entry),
      onOther: bornMs => this.onOtherIncarnation(replica, bornMs),
      onLeaving: () => this.onSaidLeaving(replica),
    });
    const learned = this.gone.take(incarnationId(entry));
    const replica = new Replica(entry, client, learned, () => (this.usableByModel = undefined));
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

  /** Start that the replica states in its report; undefined when it has no report, or no start. */
  private reportedStartOf({service, bornMs}: ReplicaRegistration): number | undefined {
    const hasReport = this.services.get(service)?.engine !== undefined;
    return hasReport && bornMs > 0 ? bornMs : undefined;
  }

  /** A connection may show the end of an incarnation before the list does. */
  private onOtherIncarnation(replica: Replica, bornMs: number): void {
    const {id, entry} = replica;
    this.log.info('connection to another incarnation of a replica', {
      replica: id,
      bornMs,
      listedMs: entry.bornMs,
    });
    if (bornMs < entry.bornMs || replica.addressReassigned) return;
    replica.addressReassigned = true;
    this.events.onChanged();
  }

  /** A new connection may show that a replica leaves before the list does. */
  private onSaidLeaving(replica: Replica): void {
    if (!replica.recordEvent({kind: 'said_leaving'}, this.clock.monotonicMs())) return;
    this.log.info('replica is leaving', {replica: replica.id, inFlight: replica.inFlight});
    this.events.onChanged();
  }

  /** Of two entries with the same address, the replica started last is the one at that address. */
  private resolveAddressConflict(replica: Replica): void {
    for (const other of this.replicas.values()) {
      if (other === replica || !isSameAddress(other.entry, replica.entry)) continue;
      const earlier = other.entry.bornMs < replica.entry.bornMs ? other : replica;
      if (earlier.addressReassigned) continue;
      earlier.addressReassigned = true;
      this.log.info('replica address taken over by another replica', {
        replica: earlier.id,
        by: earlier === other ? replica.id : other.id,
      });
    }
  }

  private logLeavingChange(before: ReplicaRegistration, after: ReplicaRegistration): void {
    if (before.leaving === after.leaving) return;
    this.log.info('replica leaving state changed', {replica: after.id, leaving: after.leaving});
  }

  /** Removes a replica whose entry can't be parsed, so that an earlier version is not used on. */
  private skipMalformed(key: string, error: string): void {
    if (this.malformed.has(key)) return;
    this.log.warn('malformed replica entry ignored', {key, error});
    this.remove(key, false);
    this.malformed.add(key);
  }

  /** Removes the replica of an entry; after an outage only once the grace period has ended. */
  private remove(key: string, afterOutage: boolean): void {
    this.malformed.delete(key);
    const replica = [...this.replicas.values()].find(found => found.entry.key === key);
    if (replica === undefined) return;
    if (!afterOutage) {
      this.removeReplica(replica, 'entry removed');
      return;
    }
    this.missingKeys.add(key);
    replica.isMissing = true;
    this.log.info('replica missing after a store outage', {replica: replica.id});
    this.graceTimer ??= setTimeout(() => this.onGraceEnd(), OUTAGE_GRACE_MS);
  }

  private onGraceEnd(): void {
    this.graceTimer = undefined;
    const missing = [...this.missingKeys];
    this.missingKeys.clear();
    for (const key of missing) this.remove(key, false);
  }

  /** True when an entry of a restored store is older than what is known of its replica. */
  private isStale({key, value}: StoreChange): boolean {
    const decoded = value === undefined ? undefined : decodeReplicaRegistration(key, value);
    if (decoded?.ok !== true) return false;
    const entry = decoded.value;
    const known = this.replicas.get(entry.id);
    const isStale =
      known === undefined
        ? this.gone.has(incarnationId(entry))
        : known.entry.bornMs > entry.bornMs || (known.entry.leaving && !entry.leaving);
    if (isStale)
      this.log.info('stale replica entry of a restored store ignored', {replica: entry.id});
    return isStale;
  }

  private removeReplica(replica: Replica, reason: string): void {
    this.replicas.delete(replica.id);
    this.usableByModel = undefined;
    if (replica.isLeaving) replica.recordEvent({kind: 'said_leaving'}, this.clock.monotonicMs());
    this.gone.add(incarnationId(replica.entry), replica.learned);
    this.log.info('replica removed', {replica: replica.id, reason, inFlight: replica.inFlight});
    const lingerUntilMs = this.clock.monotonicMs() + LINGER_MS;
    const close = () => {
      const shouldLinger = replica.inFlight > 0 && this.clock.monotonicMs() < lingerUntilMs;
      if (shouldLinger) setTimeout(close, 1000).unref();
      else replica.client.destroy();
    };
    close();
    this.events.onRemoved(replica);
    this.events.onChanged();
  }
}

function isSameIncarnation(a: ReplicaRegistration, b: ReplicaRegistration): boolean {
  return (
    a.bornMs === b.bornMs &&
    a.service === b.service &&
    a.softwareVersion === b.softwareVersion &&
    isSameAddress(a, b)
  );
}

function isSameAddress(a: ReplicaRegistration, b: ReplicaRegistration): boolean {
  return a.address.host === b.address.host && a.address.port === b.address.port;
}
