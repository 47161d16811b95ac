/** Follows the keys of the platform's store that begin with a prefix. */
import {backoffMs, errorMessage, sleep, type Logger} from '@jasminepost/core';
import type {StoreChange, StoreChanges, StoreClient} from '@jasminepost/platform';

/**
 * Until an answer begins the first read is asked for again after this, while the earlier calls go on: a
 * silent store never answers some of them, and without an answer nobody can be served.
 */
const FIRST_READ_HEDGE_MS = 300;
/** Looks again after this whether to ask the store. */
const RELAYED_POLL_MS = 100;
const RETRY_BASE_MS = 150;
const RETRY_CAP_MS = 400;
/** A store that stays away is told of again after this. */
const LOST_LOG_INTERVAL_MS = 2000;

/** @internal */
export interface StoreWatcherEvents {
  /** Takes in all keys. `isCopy` is true when the store has come back from a copy since. */
  onSnapshot(found: StoreChanges, isRestored: boolean): void;
  /** Takes in what is new after `since`; called for every answer, also without changes. */
  onChanges(changes: readonly StoreChange[], since: number): void;
  /** The store answers again after failures. */
  onReconnect(outageMs: number): void;
  /** Longest wait of the next watch; undefined while changes are heard of otherwise. */
  watchTimeoutMs(): number | undefined;
  /** Time in which changes that come close together are left to be taken in by one call. */
  batchDelayMs(): number;
}

/** @internal */
export class StoreWatcher {
  private readonly abort = new AbortController();
  /** Call in progress. */
  private call = new AbortController();
  /** True while the answer to that call comes in. */
  private receiving = false;
  private knownRevision = -1;
  /** Era of the revision. */
  private knownEra = 0;
  private failures = 0;
  private connected = false;
  private everAnswered = false;
  private lastContactMs = performance.now();
  private lostLoggedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: StoreClient,
    private readonly prefix: string,
    private readonly log: Logger,
    private readonly events: StoreWatcherEvents,
  ) {}

  /** Revision up to which all changes are known; -1 when everything has to be read. */
  get revision(): number {
    return this.knownRevision;
  }

  get era(): number {
    return this.knownEra;
  }

  /** True when the last call was answered. */
  get isConnected(): boolean {
    return this.connected;
  }

  /** True until the first call has failed or been answered. */
  get isFirstCall(): boolean {
    return !this.everAnswered && this.failures === 0;
  }

  /** True while an answer comes in. */
  get isReceiving(): boolean {
    return this.receiving;
  }

  /** Time since changes, or that there are none, were heard of last. */
  get contactAgeMs(): number {
    return performance.now() - this.lastContactMs;
  }

  start(): void {
    void this.run();
  }

  dispose(): void {
    this.abort.abort();
    this.call.abort();
  }

  /** Has everything read again. */
  resync(): void {
    this.knownRevision = -1;
    this.restartWatch();
  }

  /** Ends a call that waits for changes, so that the next is made by what is known now. */
  restartWatch(): void {
    if (!this.receiving) this.call.abort();
  }

  /**
   * Takes in that changes after `since` up to `revision` have been heard of otherwise.
   *
   * @returns Those that are new here; undefined when there may be others in between.
   */
  applyRelayed(
    era: number,
    since: number,
    revision: number,
    changes: readonly StoreChange[],
  ): readonly StoreChange[] | undefined {
    if (era > this.knownEra && this.knownRevision >= 0) this.resync();
    if (era !== this.knownEra || this.knownRevision < 0 || since > this.knownRevision) {
      return undefined;
    }
    this.lastContactMs = performance.now();
    return this.advance(revision, changes);
  }

  private async run(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      this.call = new AbortController();
      try {
        const timeoutMs = this.events.watchTimeoutMs();
        if (this.knownRevision < 0) await this.readAll();
        else if (timeoutMs === undefined) await sleep(RELAYED_POLL_MS, signal);
        // After a failure a call that is answered at once tells that the store is back.
        else await this.watch(this.connected ? timeoutMs : 0);
      } catch (thrown) {
        if (signal.aborted) return;
        if (this.call.signal.aborted) continue;
        // Of several first reads the last to fail tells why.
        this.onFailure(thrown instanceof AggregateError ? thrown.errors.at(-1) : thrown);
        await sleep(backoffMs(this.failures, RETRY_BASE_MS, RETRY_CAP_MS), signal);
        this.failures += 1;
      } finally {
        this.receiving = false;
      }
    }
  }

  private async readAll(): Promise<void> {
    const found = this.everAnswered ? await this.range(this.call.signal) : await this.readFirst();
    const isRestored = this.everAnswered && found.era !== this.knownEra;
    this.onAnswer();
    this.knownRevision = found.revision;
    this.knownEra = found.era;
    this.events.onSnapshot(found, isRestored);
  }

  /** Calls that have not been answered are given up when the answer to another begins. */
  private async readFirst(): Promise<StoreChanges> {
    const {signal} = this.abort;
    const calls = new Map<AbortController, Promise<StoreChanges>>();
    while (!signal.aborted) {
      if (!this.receiving) {
        const controller = new AbortController();
        const call = this.range(controller.signal, () => {
          for (const other of calls.keys()) if (other !== controller) other.abort();
        });
        calls.set(controller, call);
        call.catch(() => calls.delete(controller));
      }
      const hedgeDelay = sleep(FIRST_READ_HEDGE_MS, signal).then(() => undefined);
      const read = await Promise.race([Promise.any(calls.values()), hedgeDelay]);
      if (read !== undefined) return read;
    }
    return Promise.any(calls.values());
  }

  private async range(signal: AbortSignal, onBegun?: () => void): Promise<StoreChanges> {
    let hasStarted = false;
    const limits = {
      signal,
      onBegun: () => {
        hasStarted = true;
        this.receiving = true;
        onBegun?.();
      },
    };
    try {
      return await this.store.range(this.prefix, limits);
    } finally {
      if (hasStarted) this.receiving = false;
    }
  }

  private async watch(timeoutMs: number): Promise<void> {
    const {signal} = this.call;
    const point = {era: this.knownEra, revision: this.knownRevision};
    let found: StoreChanges | undefined;
    try {
      const onBegun = () => (this.receiving = true);
      found = await this.store.watch(this.prefix, point, timeoutMs, signal, onBegun);
    } catch (thrown) {
      // The changes since then may not pass over this link in time; the newest state is less.
      if (this.receiving) this.knownRevision = -1;
      throw thrown;
    }
    this.receiving = false;
    if (this.abort.signal.aborted) return;
    this.onAnswer();
    // Another call has shown meanwhile that everything must be read anew.
    if (this.knownRevision < 0) return;
    if (found === undefined) {
      this.log.warn('store history gone, reading all', {prefix: this.prefix, ...point});
      this.knownRevision = -1;
      return;
    }
    const since = this.knownRevision;
    this.events.onChanges(this.advance(found.revision, found.changes), since);
    if (found.changes.length > 0) await sleep(this.events.batchDelayMs(), this.abort.signal);
  }

  private advance(revision: number, changes: readonly StoreChange[]): readonly StoreChange[] {
    const fresh = changes.filter(change => change.revision > this.knownRevision);
    this.knownRevision = Math.max(this.knownRevision, revision);
    return fresh;
  }

  private onAnswer(): void {
    const {failures, contactAgeMs: outageMs} = this;
    this.lastContactMs = performance.now();
    if (this.connected) return;
    this.connected = true;
    const wasLost = this.everAnswered;
    this.everAnswered = true;
    this.failures = 0;
    this.log.info('store reached', {prefix: this.prefix, failures, revision: this.knownRevision});
    if (wasLost) this.events.onReconnect(outageMs);
  }

  private onFailure(thrown: unknown): void {
    const nowMs = performance.now();
    if (this.connected || nowMs - this.lostLoggedMs > LOST_LOG_INTERVAL_MS) {
      this.lostLoggedMs = nowMs;
      this.log.warn('store lost', {
        prefix: this.prefix,
        error: errorMessage(thrown),
        failures: this.failures,
        revision: this.knownRevision,
        unheardMs: Math.round(this.contactAgeMs),
      });
    }
    this.connected = false;
  }
}
