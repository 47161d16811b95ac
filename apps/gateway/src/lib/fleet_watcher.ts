/**
 * Follows the platform's store: configuration, replicas and the planner's holder. Every gateway waits
 * for the configuration at the store. Of all else the planner's gateway tells the others; they ask the
 * store themselves when they hear nothing.
 */
import {Disposer, type Logger} from '@jasminepost/core';
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

/** Begins the replicas' keys and the system's own, and not that of the configuration. */
const FLEET_PREFIX = 's';
/** A watch that the store lost is found after this and the client's grace. */
const WATCH_MS = 1500;
/** The same for the gateway that reads for the others, which hear of each answer. */
const RELAY_WATCH_MS = 500;
/** The same for the configuration where the planner's gateway tells that there is a newer one. */
const CONFIG_WATCH_MS = 10_000;
/** Others ask the store themselves when they have heard nothing for this long. */
const RELAY_TIMEOUT_MS = 1200;
const CHECK_INTERVAL_MS = 100;
/** A newer configuration that the planner's gateway has is asked for after this. */
const CONFIG_LAG_TIMEOUT_MS = 400;
/**
 * Changes that come close together are taken in with one call, the more of them the more gateways
 * follow the store. A drain and a configuration have 2 s to be noticed.
 */
const BATCH_DELAY_MS_PER_GATEWAY = 50;
const MIN_BATCH_DELAY_MS = 250;
const MAX_BATCH_DELAY_MS = 900;
/** What others than the system wrote is written again this long after a return from a copy. */
const RESTORE_GRACE_MS = 4000;
/**
 * No entry lapses in an outage that is shorter, in intervals between two writes of a replica: it takes
 * three without a write, and the last one before the outage is a little over one old at most.
 */
const MIN_OUTAGE_INTERVALS = 1.5;

/** @internal */
export interface FleetWatcherEvents {
  onConfig(text: string, point: StorePosition): void;
  onReplicaSnapshot(changes: readonly StoreChange[], kind: SnapshotKind): void;
  /** @returns True when the change matters to gateways that hear from the replica's steward. */
  onReplicaChange(change: StoreChange, afterOutage: boolean): boolean;
  /** Any other key, such as the planner's holder. */
  onOtherChange(change: StoreChange): void;
  /** True while this gateway reads the store for the others. */
  isRelay(): boolean;
  relay(message: StoreChangesMessage): void;
  /** Gateways that follow the store. */
  gateways(): number;
  /** Gateways that this one tells what it reads, with itself. */
  linkedGatewayCount(): number;
}

/** @internal */
export class FleetWatcher {
  private readonly fleetKeys: StoreWatcher;
  private readonly config: StoreWatcher;
  private readonly disposer = new Disposer();
  /** Keys other than replicas', to tell when one is gone. */
  private otherKeys = new Set<string>();
  private settledAtMs = Number.NEGATIVE_INFINITY;
  private lastRelayedMs = Number.NEGATIVE_INFINITY;
  private relayedSettling = false;
  private wasRelayed = false;
  /** Revision at which the configuration that is known here was written. */
  private configRevision = 0;
  /** Since when the planner's gateway has had a newer configuration. */
  private configBehindSinceMs: number | undefined;
  /** Gateways that the planner's has counted last; 0 before the first word of it. */
  reportedGatewayCount = 0;

  /** @param heartbeatIntervalMs - Time between two writes of a replica to its entry. */
  constructor(
    store: StoreClient,
    private readonly log: Logger,
    private readonly heartbeatIntervalMs: number,
    private readonly events: FleetWatcherEvents,
  ) {
    this.fleetKeys = new StoreWatcher(store, FLEET_PREFIX, log, {
      onSnapshot: (found, isCopy) => this.applySnapshot(found, isCopy),
      onChanges: (changes, since) => this.applyChanges(changes, since),
      onReconnect: outageMs => this.onReconnect(outageMs),
      watchTimeoutMs: () => (this.isRelayed ? undefined : this.watchTimeoutMs()),
      batchDelayMs: () => this.batchDelayMs(),
    });
    this.config = new StoreWatcher(store, CONFIG_KEY, log, {
      onSnapshot: found => this.applyConfig(found.changes),
      onChanges: changes => this.applyConfig(changes),
      onReconnect: () => undefined,
      watchTimeoutMs: () => (this.isRelayed ? CONFIG_WATCH_MS : this.watchTimeoutMs()),
      batchDelayMs: () => MIN_BATCH_DELAY_MS,
    });
    this.disposer.interval(CHECK_INTERVAL_MS, () => this.checkConfigLag());
  }

  /** True until the first read of the configuration has failed or been answered. */
  get isFirstCall(): boolean {
    return this.config.isFirstCall;
  }

  /** True while what has changed in the store is known here within a watch's time. */
  get isUpToDate(): boolean {
    return (this.fleetKeys.isConnected || this.isRelayed) && !this.isSettling();
  }

  /** True while the planner's gateway tells what it reads. */
  get isRelayed(): boolean {
    return !this.events.isRelay() && performance.now() - this.lastRelayedMs < RELAY_TIMEOUT_MS;
  }

  /** Revision of the store up to which the replicas are known here; -1 before the first read. */
  get knownRevision(): number {
    return this.fleetKeys.revision;
  }

  /** Time since the store, or the planner's gateway for it, was heard last. */
  get contactAgeMs(): number {
    return this.fleetKeys.contactAgeMs;
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

  /** Takes in what the planner's gateway has read, if nothing is missing in between. */
  applyRelayed(message: StoreChangesMessage): void {
    const {era, since, revision, settling, gateways, configRevision, changes} = message;
    this.reportedGatewayCount = gateways;
    if (this.events.isRelay()) return;
    const received = changes.map(({key, revision: at, value}) => ({key, revision: at, value}));
    const fresh = this.fleetKeys.applyRelayed(era, since, revision, received);
    if (fresh === undefined) return;
    this.lastRelayedMs = performance.now();
    this.relayedSettling = settling;
    for (const change of fresh) this.dispatch(change);
    if (era === this.config.era) this.checkConfigRevision(configRevision);
  }

  /** Takes in that the store came back from an older copy: everything is read anew. */
  onStoreRestored(): void {
    this.configRevision = 0;
    this.fleetKeys.resync();
    this.config.resync();
  }

  private applySnapshot({changes, revision}: StoreChanges, isRestored: boolean): void {
    if (isRestored) this.settledAtMs = performance.now() + RESTORE_GRACE_MS;
    this.events.onReplicaSnapshot(
      changes.filter(change => change.key.startsWith(REPLICA_PREFIX)),
      isRestored ? 'copy' : this.isSettling() ? 'after_outage' : 'current',
    );
    const gone = this.otherKeys;
    this.otherKeys = new Set();
    for (const change of changes) {
      if (change.key.startsWith(REPLICA_PREFIX)) continue;
      gone.delete(change.key);
      this.dispatch(change);
    }
    for (const key of gone) this.events.onOtherChange({key, revision, value: undefined});
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
    this.events.onOtherChange(change);
    return true;
  }

  private applyConfig(changes: readonly StoreChange[]): void {
    for (const {key, value, revision} of changes) {
      if (key !== CONFIG_KEY || value === undefined) continue;
      this.configRevision = revision;
      this.configBehindSinceMs = undefined;
      this.events.onConfig(value, {era: this.config.era, revision});
    }
  }

  /** A connection that has fallen silent shows only by what others have heard since. */
  private checkConfigRevision(newestRevision: number): void {
    const {config, configRevision} = this;
    if (newestRevision <= configRevision || config.isReceiving)
      this.configBehindSinceMs = undefined;
    else this.configBehindSinceMs ??= performance.now();
  }

  private checkConfigLag(): void {
    const {isRelayed, configBehindSinceMs: behindMs, config, configRevision: revision} = this;
    if (this.wasRelayed && !isRelayed) config.restartWatch();
    this.wasRelayed = isRelayed;
    if (behindMs === undefined || performance.now() - behindMs < CONFIG_LAG_TIMEOUT_MS) return;
    this.configBehindSinceMs = undefined;
    if (config.isReceiving) return;
    this.log.warn('configuration behind, reading it', {revision});
    config.resync();
  }

  private onReconnect(outageMs: number): void {
    if (outageMs < MIN_OUTAGE_INTERVALS * this.heartbeatIntervalMs) return;
    this.settledAtMs = performance.now() + OUTAGE_GRACE_MS;
  }

  private watchTimeoutMs(): number {
    return this.events.isRelay() ? RELAY_WATCH_MS : WATCH_MS;
  }

  private batchDelayMs(): number {
    if (this.events.isRelay()) return MIN_BATCH_DELAY_MS;
    const delayMs = BATCH_DELAY_MS_PER_GATEWAY * this.events.gateways();
    return Math.min(MAX_BATCH_DELAY_MS, Math.max(MIN_BATCH_DELAY_MS, delayMs));
  }

  private isSettling(): boolean {
    return performance.now() < this.settledAtMs || (this.isRelayed && this.relayedSettling);
  }
}
