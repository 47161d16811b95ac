/**
 * Follows the platform's store: configuration, replicas and the planner's holder. The planner's
 * gateway asks the store and tells the others; they ask it themselves when they hear nothing.
 */
import {backoffMs, messageOf, sleep, type Logger} from '@jasminepost/core';
import type {StoreChangesMessage} from '@jasminepost/mesh';
import {
  CONFIG_KEY,
  REPLICA_PREFIX,
  type StoreChange,
  type StoreChanges,
  type StoreClient,
  type StorePoint,
} from '@jasminepost/platform';
import {RETURN_GRACE_MS, type SnapshotKind} from './replica_table.ts';

/** A watch that the store lost is found after this and the client's grace. */
const WATCH_MS = 1500;
/** The same for the gateway that reads for the others, which hear of each answer. */
const RELAY_WATCH_MS = 500;
/** Others ask the store themselves when they have heard nothing for this long. */
const RELAY_SILENCE_MS = 1200;
const RELAY_CHECK_MS = 100;
/**
 * Until an answer begins the first read is asked for again after this, while the earlier calls go on: a
 * silent store never answers some of them, and without an answer nobody can be served.
 */
const FIRST_READ_AGAIN_MS = 300;
/**
 * Changes that come close together are taken in with one call, the more of them the more gateways
 * follow the store. A drain and a configuration have 2 s to be noticed.
 */
const GATHER_MS_PER_GATEWAY = 50;
const MIN_GATHER_MS = 250;
const MAX_GATHER_MS = 900;
/** What others than the system wrote is written again this long after a return from a copy. */
const COPY_GRACE_MS = 4000;
const RETRY_BASE_MS = 150;
const RETRY_CAP_MS = 400;
/** A store that stays away is told of again after this. */
const TELL_LOST_MS = 2000;

/** @internal */
export interface FleetFeedEvents {
  onConfig(text: string, point: StorePoint): void;
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
  private readonly abort = new AbortController();
  private failures = 0;
  private revision = -1;
  /** Era of the revision. */
  private era = 0;
  /** Keys other than replicas' and the configuration's, to tell when one is gone. */
  private others = new Set<string>();
  private connected = false;
  private everConnected = false;
  private settledMs = Number.NEGATIVE_INFINITY;
  private relayedMs = Number.NEGATIVE_INFINITY;
  private relayedSettling = false;
  /** When the store or the planner's gateway told last what the store holds. */
  private heardMs = performance.now();
  private toldLostMs = Number.NEGATIVE_INFINITY;
  /** Gateways that the planner's has counted last; 0 before the first word of it. */
  countedGateways = 0;

  constructor(
    private readonly store: StoreClient,
    private readonly log: Logger,
    private readonly events: FleetFeedEvents,
  ) {}

  /** True until the first call to the store has failed or been answered. */
  get isFirstCall(): boolean {
    return !this.everConnected && this.failures === 0;
  }

  /** True while what has changed in the store is known here within a watch's time. */
  get isSound(): boolean {
    return (this.connected || this.isRelayed) && !this.isSettling();
  }

  /** True while the planner's gateway tells what it reads. */
  get isRelayed(): boolean {
    return !this.events.isRelay() && performance.now() - this.relayedMs < RELAY_SILENCE_MS;
  }

  /** Revision of the store up to which everything is known here; -1 before the first read. */
  get knownRevision(): number {
    return this.revision;
  }

  /** Time since the store, or the planner's gateway for it, was heard last. */
  get unheardMs(): number {
    return performance.now() - this.heardMs;
  }

  start(): void {
    void this.run();
  }

  dispose(): void {
    this.abort.abort();
  }

  /** Takes in what the planner's gateway has read, if nothing is missing in between. */
  takeRelayed(message: StoreChangesMessage): void {
    const {era, since, revision, settling, gateways, changes} = message;
    this.countedGateways = gateways;
    if (era > this.era) this.revision = -1;
    if (era !== this.era || this.revision < 0 || since > this.revision || this.events.isRelay())
      return;
    this.relayedMs = performance.now();
    this.heardMs = this.relayedMs;
    this.relayedSettling = settling;
    this.takeChanges(
      changes.map(({key, revision: at, value}) => ({key, revision: at, value})),
      revision,
    );
  }

  /** Takes in that the store came back from an older copy: everything is read anew. */
  onNewEra(): void {
    this.revision = -1;
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      try {
        if (this.revision < 0) await this.readAll();
        else if (this.isRelayed) await sleep(RELAY_CHECK_MS, this.abort.signal);
        else await this.followOnce();
      } catch (thrown) {
        if (this.abort.signal.aborted) return;
        this.onFailure(thrown);
        await sleep(backoffMs(this.failures, RETRY_BASE_MS, RETRY_CAP_MS), this.abort.signal);
        this.failures += 1;
      }
    }
  }

  private async readAll(): Promise<void> {
    const {changes, revision, era} = this.everConnected
      ? await this.store.range('')
      : await this.readFirst();
    const isCopy = this.everConnected && era !== this.era;
    this.onAnswer();
    this.revision = revision;
    this.era = era;
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

  private async readFirst(): Promise<StoreChanges> {
    const {signal} = this.abort;
    const calls = new Set<Promise<StoreChanges>>();
    let begun = false;
    while (!signal.aborted) {
      if (!begun) {
        const call = this.store.range('', () => (begun = true));
        calls.add(call);
        call.catch(() => {
          calls.delete(call);
          begun = false;
        });
      }
      const again = sleep(FIRST_READ_AGAIN_MS, signal).then(() => undefined);
      const read = await Promise.race([Promise.any(calls), again]);
      if (read !== undefined) return read;
    }
    return Promise.any(calls);
  }

  private async followOnce(): Promise<void> {
    const {signal} = this.abort;
    // After a failure a call that is answered at once tells that the store is back.
    const longestMs = this.events.isRelay() ? RELAY_WATCH_MS : WATCH_MS;
    const waitMs = this.connected ? longestMs : 0;
    const {era, revision} = this;
    const found = await this.store.watch('', {era, revision}, waitMs, signal);
    if (signal.aborted) return;
    this.onAnswer();
    // Another call has shown meanwhile that everything must be read anew.
    if (this.revision < 0) return;
    if (found === undefined) {
      this.log.warn('store history gone, reading all', {revision: this.revision});
      this.revision = -1;
      return;
    }
    const since = this.revision;
    const changes = this.takeChanges(found.changes, found.revision);
    this.events.relay({
      type: 'store_changes',
      era,
      since,
      revision: this.revision,
      settling: this.isSettling(),
      gateways: this.events.linkedGateways(),
      changes,
    });
    if (found.changes.length > 0) await sleep(this.gatherMs(), signal);
  }

  /** Takes changes in that are new here; returns those that matter to other gateways. */
  private takeChanges(changes: readonly StoreChange[], revision: number): StoreChange[] {
    const fresh = changes.filter(change => change.revision > this.revision);
    this.revision = Math.max(this.revision, revision);
    return fresh.filter(change => this.deliver(change));
  }

  private deliver(change: StoreChange): boolean {
    if (change.key.startsWith(REPLICA_PREFIX)) {
      return this.events.onReplicaChange(change, this.isSettling());
    }
    if (change.key === CONFIG_KEY) {
      const {revision} = change;
      if (change.value !== undefined) this.events.onConfig(change.value, {era: this.era, revision});
      return true;
    }
    if (change.value === undefined) this.others.delete(change.key);
    else this.others.add(change.key);
    this.events.onOther(change);
    return true;
  }

  private gatherMs(): number {
    if (this.events.isRelay()) return MIN_GATHER_MS;
    const gatherMs = GATHER_MS_PER_GATEWAY * this.events.gateways();
    return Math.min(MAX_GATHER_MS, Math.max(MIN_GATHER_MS, gatherMs));
  }

  private isSettling(): boolean {
    return performance.now() < this.settledMs || (this.isRelayed && this.relayedSettling);
  }

  private onAnswer(): void {
    this.heardMs = performance.now();
    if (this.connected) return;
    this.connected = true;
    // The first contact has nothing before it that could have lapsed.
    if (this.everConnected) this.settledMs = performance.now() + RETURN_GRACE_MS;
    this.everConnected = true;
    this.log.info('store reached', {failures: this.failures, revision: this.revision});
    this.failures = 0;
  }

  private onFailure(thrown: unknown): void {
    const {failures, revision} = this;
    const nowMs = performance.now();
    if (this.connected || nowMs - this.toldLostMs > TELL_LOST_MS) {
      const unheardMs = Math.round(this.unheardMs);
      this.log.warn('store lost', {error: messageOf(thrown), failures, revision, unheardMs});
      this.toldLostMs = nowMs;
    }
    this.connected = false;
  }
}
