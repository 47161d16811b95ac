/**
 * Watches the platform's store for the configuration, the replicas and the holder of the planner
 * role. Every gateway watches the configuration itself. All other changes are relayed by the
 * planner's gateway; the others watch them at the store only while no relayed changes arrive.
 */
import {Disposer, errorMessage, type Logger} from '@jasminepost/core';
import type {StoreChangesMessage} from '@jasminepost/mesh';
import {
  CONFIG_KEY,
  REPLICA_PREFIX,
  type StoreChange,
  type StoreChanges,
  type StoreClient,
  type StorePosition,
} from '@jasminepost/platform';
import {OUTAGE_GRACE_MS, type SnapshotKind} from './replica_table.ts';
import {StoreWatcher} from './store_watcher.ts';

/** Common prefix of the keys of replicas and of the system, but not of the configuration. */
const FLEET_PREFIX = 's';
/**
 * Timeout of a gateway's own watch, without a relay. What is known is dated by the request, so that
 * without changes it grows as old as two watches.
 */
const WATCH_MS = 700;
/** Watch timeout of the relaying gateway, which passes each response on to the others. */
const RELAY_WATCH_MS = 500;
/** Timeouts of the configuration watch: alone, and while the planner's gateway reports revisions. */
const CONFIG_WATCH_MS = 1500;
const RELAYED_CONFIG_WATCH_MS = 10_000;
/**
 * A gateway watches the store itself once what is relayed is older. It is normally as old as a
 * watch, a batch delay and the next watch.
 */
const RELAY_TIMEOUT_MS = 1500;
const CHECK_INTERVAL_MS = 100;
/** A configuration older than that of the planner's gateway is read again after this. */
const MAX_CONFIG_LAG_MS = 400;
/** Time after which a response to the configuration watch brings a configuration, as others are short. */
const SHORT_RESPONSE_MS = 100;
/**
 * Delay before the next watch, so that one call returns a batch of changes. It grows with the
 * number of gateways that watch the store. A drain or a configuration must be noticed within 2 s.
 */
const BATCH_DELAY_MS_PER_GATEWAY = 50;
const MIN_BATCH_DELAY_MS = 250;
const MAX_BATCH_DELAY_MS = 900;
/** After a restore, time in which writers outside the system write their keys again. */
const RESTORE_GRACE_MS = 4000;
/**
 * Shortest outage in which a replica's entry can expire, in write intervals of the replica. An
 * entry expires after three intervals without a write, and the last write before the outage is at
 * most a little over one interval old.
 */
const MIN_OUTAGE_INTERVALS = 1.5;

/** @internal */
export interface FleetWatcherEvents {
  onConfig(text: string, position: StorePosition): void;
  onReplicaSnapshot(changes: readonly StoreChange[], kind: SnapshotKind): void;
  /** @returns True when the change matters to gateways that are linked to the replica's steward. */
  onReplicaChange(change: StoreChange, afterOutage: boolean): boolean;
  /**
   * Called for a change of any other key, such as that of the planner role's holder.
   *
   * @returns True when the change is to be relayed.
   */
  onOtherChange(change: StoreChange): boolean;
  /** True while this gateway reads the store on behalf of the others. */
  isRelay(): boolean;
  relay(message: StoreChangesMessage): void;
  /** Number of gateways that watch the store. */
  gateways(): number;
  /** Number of gateways that changes are relayed to, including this one. */
  linkedGatewayCount(): number;
}

/** @internal */
export class FleetWatcher {
  private readonly fleetKeys: StoreWatcher;
  private readonly config: StoreWatcher;
  private readonly disposer = new Disposer();
  /** Known keys other than replicas', needed to detect deletions in a snapshot. */
  private otherKeys = new Set<string>();
  private settledAtMs = Number.NEGATIVE_INFINITY;
  /** Time as of which the last relayed changes were current. */
  private relayedAsOfMs = Number.NEGATIVE_INFINITY;
  private relayedSettling = false;
  private wasRelayed = false;
  /** Revision at which the last configuration read here was written. */
  private configRevision = 0;
  /** Newest such revision that the planner's gateway has reported; 0 before the first. */
  private announcedConfigRevision = 0;
  /** Since when the planner's gateway has been known to have a newer configuration. */
  private configBehindSinceMs: number | undefined;
  /** Number of gateways last reported by the planner's gateway; 0 before its first message. */
  reportedGatewayCount = 0;

  /** @param heartbeatIntervalMs - Interval at which a replica writes its entry. */
  constructor(
    store: StoreClient,
    private readonly log: Logger,
    private readonly heartbeatIntervalMs: number,
    private readonly events: FleetWatcherEvents,
  ) {
    this.fleetKeys = new StoreWatcher(store, FLEET_PREFIX, log, {
      onSnapshot: (found, isRestored) => this.applySnapshot(found, isRestored),
      onChanges: (changes, since) => this.applyChanges(changes, since),
      onReconnect: outageMs => this.onReconnect(outageMs),
      watchTimeoutMs: () => (this.isRelayed ? undefined : this.watchTimeoutMs(WATCH_MS)),
      batchDelayMs: () => this.batchDelayMs(),
    });
    this.config = new StoreWatcher(store, CONFIG_KEY, log, {
      onSnapshot: found => this.applyConfig(found.changes),
      onChanges: changes => this.applyConfig(changes),
      onReconnect: () => undefined,
      watchTimeoutMs: () =>
        this.isRelayed ? RELAYED_CONFIG_WATCH_MS : this.watchTimeoutMs(CONFIG_WATCH_MS),
      batchDelayMs: () => MIN_BATCH_DELAY_MS,
    });
    this.disposer.interval(CHECK_INTERVAL_MS, () => this.checkConfigLag());
  }

  /** True until the first read of the configuration has succeeded or failed. */
  get isFirstCall(): boolean {
    return this.config.isFirstCall;
  }

  /** True while changes in the store are known here within one watch timeout. */
  get isUpToDate(): boolean {
    return (this.fleetKeys.isConnected || this.isRelayed) && !this.isSettling();
  }

  /** True while changes are relayed by the planner's gateway. */
  get isRelayed(): boolean {
    return !this.events.isRelay() && performance.now() - this.relayedAsOfMs < RELAY_TIMEOUT_MS;
  }

  /** Store revision up to which the replicas are known here; -1 before the first read. */
  get knownRevision(): number {
    return this.fleetKeys.revision;
  }

  /** Age of what is known of the store, from the request that it was read with. */
  get contactAgeMs(): number {
    return this.fleetKeys.contactAgeMs;
  }

  /**
   * Time since the last configuration read here was known to be the newest. While changes are
   * relayed, this is the age of the newest revision that the planner's gateway has reported.
   */
  get configAgeMs(): number {
    const {config, contactAgeMs} = this;
    if (this.isRelayed || config.isConnected) return contactAgeMs;
    return Math.max(contactAgeMs, config.contactAgeMs);
  }

  /** True when a newer configuration is known to exist, or may exist, that has not been read. */
  get isNewerConfigAnnounced(): boolean {
    const {config, configRevision, announcedConfigRevision} = this;
    if (config.revision < 0 || config.receivingMs > SHORT_RESPONSE_MS) return true;
    return announcedConfigRevision > configRevision;
  }

  start(): void {
    this.fleetKeys.start();
    this.config.start();
  }

  dispose(): void {
    this.disposer.dispose();
    this.fleetKeys.dispose();
    this.config.dispose();
  }

  /**
   * Applies changes relayed by the planner's gateway, unless earlier ones are missing.
   *
   * @param asOfMs - Time as of which they were current; a message may have waited for long.
   */
  applyRelayed(message: StoreChangesMessage, asOfMs: number): void {
    const {era, since, revision, settling, gateways, configRevision, changes} = message;
    this.reportedGatewayCount = gateways;
    if (this.events.isRelay()) return;
    const received = changes.map(({key, revision: at, value}) => ({key, revision: at, value}));
    const newChanges = this.fleetKeys.applyRelayed(era, since, revision, received, asOfMs);
    if (newChanges === undefined) return;
    this.relayedAsOfMs = Math.max(this.relayedAsOfMs, asOfMs);
    this.relayedSettling = settling;
    for (const change of newChanges) this.dispatch(change);
    if (era === this.config.era) this.checkConfigRevision(configRevision);
  }

  /** Handles that the store was restored from an older copy: reads all keys again. */
  onStoreRestored(): void {
    this.configRevision = 0;
    this.announcedConfigRevision = 0;
    this.fleetKeys.resync();
    this.config.resync();
  }

  private applySnapshot({changes, revision}: StoreChanges, isRestored: boolean): void {
    if (isRestored) this.settledAtMs = performance.now() + RESTORE_GRACE_MS;
    this.events.onReplicaSnapshot(
      changes.filter(change => change.key.startsWith(REPLICA_PREFIX)),
      isRestored ? 'copy' : this.isSettling() ? 'after_outage' : 'current',
    );
    const deletedKeys = this.otherKeys;
    this.otherKeys = new Set();
    for (const change of changes) {
      if (change.key.startsWith(REPLICA_PREFIX)) continue;
      deletedKeys.delete(change.key);
      this.dispatch(change);
    }
    for (const key of deletedKeys) this.notifyOther({key, revision, value: undefined});
  }

  private applyChanges(changes: readonly StoreChange[], since: number): void {
    const relevant = changes.filter(change => this.dispatch(change));
    this.events.relay({
      type: 'store_changes',
      era: this.fleetKeys.era,
      since,
      revision: this.fleetKeys.revision,
      settling: this.isSettling(),
      gateways: this.events.linkedGatewayCount(),
      configRevision: this.configRevision,
      ageMs: Math.max(0, this.fleetKeys.contactAgeMs),
      changes: relevant,
    });
  }

  /** @returns True when the change matters to other gateways. */
  private dispatch(change: StoreChange): boolean {
    if (change.key.startsWith(REPLICA_PREFIX)) {
      return this.events.onReplicaChange(change, this.isSettling());
    }
    if (change.value === undefined) this.otherKeys.delete(change.key);
    else this.otherKeys.add(change.key);
    return this.notifyOther(change);
  }

  /** Passes on a change of another key; one that can't be handled must not hide the next ones. */
  private notifyOther(change: StoreChange): boolean {
    try {
      return this.events.onOtherChange(change);
    } catch (thrown) {
      this.log.error('store change not applied', {key: change.key, error: errorMessage(thrown)});
      return true;
    }
  }

  private applyConfig(changes: readonly StoreChange[]): void {
    for (const {key, value, revision} of changes) {
      if (key !== CONFIG_KEY || value === undefined) continue;
      this.configRevision = revision;
      this.configBehindSinceMs = undefined;
      this.events.onConfig(value, {era: this.config.era, revision});
    }
  }

  /** A silent connection is detected only by what other gateways have received since. */
  private checkConfigRevision(newestRevision: number): void {
    const {config, configRevision} = this;
    this.announcedConfigRevision = Math.max(this.announcedConfigRevision, newestRevision);
    if (newestRevision <= configRevision || config.isReceiving)
      this.configBehindSinceMs = undefined;
    else this.configBehindSinceMs ??= performance.now();
  }

  private checkConfigLag(): void {
    const {isRelayed, configBehindSinceMs: sinceMs, config, configRevision: revision} = this;
    if (this.wasRelayed && !isRelayed) config.restartWatch();
    this.wasRelayed = isRelayed;
    if (sinceMs === undefined || performance.now() - sinceMs < MAX_CONFIG_LAG_MS) return;
    this.configBehindSinceMs = undefined;
    if (config.isReceiving) return;
    this.log.warn('configuration out of date, reading it again', {revision});
    config.resync();
  }

  private onReconnect(outageMs: number): void {
    if (outageMs < MIN_OUTAGE_INTERVALS * this.heartbeatIntervalMs) return;
    this.settledAtMs = performance.now() + OUTAGE_GRACE_MS;
  }

  /** @param ownMs - Timeout of a gateway that watches for itself alone. */
  private watchTimeoutMs(ownMs: number): number {
    return this.events.isRelay() ? RELAY_WATCH_MS : ownMs;
  }

  private batchDelayMs(): number {
    if (this.events.isRelay()) return MIN_BATCH_DELAY_MS;
    const delayMs = BATCH_DELAY_MS_PER_GATEWAY * this.events.gateways();
    return Math.min(MAX_BATCH_DELAY_MS, Math.max(MIN_BATCH_DELAY_MS, delayMs));
  }

  /** A gateway that only lost its own connection is told so by one that did not. */
  private isSettling(): boolean {
    return this.isRelayed ? this.relayedSettling : performance.now() < this.settledAtMs;
  }
}
