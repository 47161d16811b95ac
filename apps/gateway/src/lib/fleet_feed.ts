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
import {RETURN_GRACE_MS, type SnapshotKind} from './replica_table.ts';
import {StoreFollower} from './store_follower.ts';

/** Begins the replicas' keys and the system's own, and not that of the configuration. */
const FLEET_PREFIX = 's';
/** A watch that the store lost is found after this and the client's grace. */
const WATCH_MS = 1500;
/** The same for the gateway that reads for the others, which hear of each answer. */
const RELAY_WATCH_MS = 500;
/** The same for the configuration where the planner's gateway tells that there is a newer one. */
const CONFIG_WATCH_MS = 10_000;
/** Others ask the store themselves when they have heard nothing for this long. */
const RELAY_SILENCE_MS = 1200;
const CHECK_MS = 100;
/** A newer configuration that the planner's gateway has is asked for after this. */
const CONFIG_BEHIND_MS = 400;
/**
 * Changes that come close together are taken in with one call, the more of them the more gateways
 * follow the store. A drain and a configuration have 2 s to be noticed.
 */
const GATHER_MS_PER_GATEWAY = 50;
const MIN_GATHER_MS = 250;
const MAX_GATHER_MS = 900;
/** What others than the system wrote is written again this long after a return from a copy. */
const COPY_GRACE_MS = 4000;
/**
 * No entry lapses in an outage that is shorter, in intervals between two writes of a replica: it takes
 * three without a write, and the last one before the outage is a little over one old at most.
 */
const OUTAGE_INTERVALS = 1.5;

/** @internal */
export interface FleetFeedEvents {
  onConfig(text: string, point: StorePosition): void;
  onReplicaSnapshot(changes: readonly StoreChange[], kind: SnapshotKind): void;
  /** @returns True when the change matters to gateways that hear from the replica's steward. */
  onReplicaChange(change: StoreChange, afterOutage: boolean): boolean;
  /** Any other key, such as the planner's holder. */
  onOther(change: StoreChange): void;
  /** True while this gateway reads the store for the others. */
  isRelay(): boolean;
  relay(message: StoreChangesMessage): void;
  /** Gateways that follow the store. */
  gateways(): number;
  /** Gateways that this one tells what it reads, with itself. */
  linkedGateways(): number;
}

/** @internal */
export class FleetFeed {
  private readonly fleet: StoreFollower;
  private readonly config: StoreFollower;
  private readonly disposer = new Disposer();
  /** Keys other than replicas', to tell when one is gone. */
  private others = new Set<string>();
  private settledMs = Number.NEGATIVE_INFINITY;
  private relayedMs = Number.NEGATIVE_INFINITY;
  private relayedSettling = false;
  private wasRelayed = false;
  /** Revision at which the configuration that is known here was written. */
  private configRevision = 0;
  /** Since when the planner's gateway has had a newer configuration. */
  private behindMs: number | undefined;
  /** Gateways that the planner's has counted last; 0 before the first word of it. */
  countedGateways = 0;

  /** @param replicaIntervalMs - Time between two writes of a replica to its entry. */
  constructor(
    store: StoreClient,
    private readonly log: Logger,
    private readonly replicaIntervalMs: number,
    private readonly events: FleetFeedEvents,
  ) {
    this.fleet = new StoreFollower(store, FLEET_PREFIX, log, {
      onSnapshot: (found, isCopy) => this.takeSnapshot(found, isCopy),
      onChanges: (changes, since) => this.takeChanges(changes, since),
      onReturn: unheardMs => this.onReturn(unheardMs),
      waitMs: () => (this.isRelayed ? undefined : this.ownWatchMs()),
      gatherMs: () => this.gatherMs(),
    });
    this.config = new StoreFollower(store, CONFIG_KEY, log, {
      onSnapshot: found => this.takeConfig(found.changes),
      onChanges: changes => this.takeConfig(changes),
      onReturn: () => undefined,
      waitMs: () => (this.isRelayed ? CONFIG_WATCH_MS : this.ownWatchMs()),
      gatherMs: () => MIN_GATHER_MS,
    });
    this.disposer.interval(CHECK_MS, () => this.check());
  }

  /** True until the first read of the configuration has failed or been answered. */
  get isFirstCall(): boolean {
    return this.config.isFirstCall;
  }

  /** True while what has changed in the store is known here within a watch's time. */
  get isSound(): boolean {
    return (this.fleet.isConnected || this.isRelayed) && !this.isSettling();
  }

  /** True while the planner's gateway tells what it reads. */
  get isRelayed(): boolean {
    return !this.events.isRelay() && performance.now() - this.relayedMs < RELAY_SILENCE_MS;
  }

  /** Revision of the store up to which the replicas are known here; -1 before the first read. */
  get knownRevision(): number {
    return this.fleet.revision;
  }

  /** Time since the store, or the planner's gateway for it, was heard last. */
  get unheardMs(): number {
    return this.fleet.unheardMs;
  }

  start(): void {
    this.fleet.start();
    this.config.start();
  }

  dispose(): void {
    this.disposer.dispose();
    this.fleet.dispose();
    this.config.dispose();
  }

  /** Takes in what the planner's gateway has read, if nothing is missing in between. */
  takeRelayed(message: StoreChangesMessage): void {
    const {era, since, revision, settling, gateways, configRevision, changes} = message;
    this.countedGateways = gateways;
    if (this.events.isRelay()) return;
    const told = changes.map(({key, revision: at, value}) => ({key, revision: at, value}));
    const fresh = this.fleet.takeHeard(era, since, revision, told);
    if (fresh === undefined) return;
    this.relayedMs = performance.now();
    this.relayedSettling = settling;
    for (const change of fresh) this.deliver(change);
    if (era === this.config.era) this.noteConfig(configRevision);
  }

  /** Takes in that the store came back from an older copy: everything is read anew. */
  onNewEra(): void {
    this.configRevision = 0;
    this.fleet.readAnew();
    this.config.readAnew();
  }

  private takeSnapshot({changes, revision}: StoreChanges, isCopy: boolean): void {
    if (isCopy) this.settledMs = performance.now() + COPY_GRACE_MS;
    this.events.onReplicaSnapshot(
      changes.filter(change => change.key.startsWith(REPLICA_PREFIX)),
      isCopy ? 'copy' : this.isSettling() ? 'after_outage' : 'current',
    );
    const gone = this.others;
    this.others = new Set();
    for (const change of changes) {
      if (change.key.startsWith(REPLICA_PREFIX)) continue;
      gone.delete(change.key);
      this.deliver(change);
    }
    for (const key of gone) this.events.onOther({key, revision, value: undefined});
  }

  private takeChanges(changes: readonly StoreChange[], since: number): void {
    const told = changes.filter(change => this.deliver(change));
    this.events.relay({
      type: 'store_changes',
      era: this.fleet.era,
      since,
      revision: this.fleet.revision,
      settling: this.isSettling(),
      gateways: this.events.linkedGateways(),
      configRevision: this.configRevision,
      changes: told,
    });
  }

  /** @returns True when the change matters to other gateways. */
  private deliver(change: StoreChange): boolean {
    if (change.key.startsWith(REPLICA_PREFIX)) {
      return this.events.onReplicaChange(change, this.isSettling());
    }
    if (change.value === undefined) this.others.delete(change.key);
    else this.others.add(change.key);
    this.events.onOther(change);
    return true;
  }

  private takeConfig(changes: readonly StoreChange[]): void {
    for (const {key, value, revision} of changes) {
      if (key !== CONFIG_KEY || value === undefined) continue;
      this.configRevision = revision;
      this.behindMs = undefined;
      this.events.onConfig(value, {era: this.config.era, revision});
    }
  }

  /** A connection that has fallen silent shows only by what others have heard since. */
  private noteConfig(newestRevision: number): void {
    const {config, configRevision} = this;
    if (newestRevision <= configRevision || config.isAnswering) this.behindMs = undefined;
    else this.behindMs ??= performance.now();
  }

  private check(): void {
    const {isRelayed, behindMs, config, configRevision: revision} = this;
    if (this.wasRelayed && !isRelayed) config.askAnew();
    this.wasRelayed = isRelayed;
    if (behindMs === undefined || performance.now() - behindMs < CONFIG_BEHIND_MS) return;
    this.behindMs = undefined;
    if (config.isAnswering) return;
    this.log.warn('configuration behind, reading it', {revision});
    config.readAnew();
  }

  private onReturn(unheardMs: number): void {
    if (unheardMs < OUTAGE_INTERVALS * this.replicaIntervalMs) return;
    this.settledMs = performance.now() + RETURN_GRACE_MS;
  }

  private ownWatchMs(): number {
    return this.events.isRelay() ? RELAY_WATCH_MS : WATCH_MS;
  }

  private gatherMs(): number {
    if (this.events.isRelay()) return MIN_GATHER_MS;
    const gatherMs = GATHER_MS_PER_GATEWAY * this.events.gateways();
    return Math.min(MAX_GATHER_MS, Math.max(MIN_GATHER_MS, gatherMs));
  }

  private isSettling(): boolean {
    return performance.now() < this.settledMs || (this.isRelayed && this.relayedSettling);
  }
}
