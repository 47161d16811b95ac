/** Watches the keys of the platform's store that begin with a prefix. */
import {backoffMs, errorMessage, PolledTimeout, sleep, type Logger} from '@jasminepost/core';
import type {StoreChange, StoreChanges, StoreClient, StorePosition} from '@jasminepost/platform';

/**
 * Hedging delay of the first read: until a response begins, another read is started after each such
 * delay while the earlier ones continue. A silent store never responds to some of them, and without
 * a response no request can be served.
 */
const FIRST_READ_HEDGE_MS = 300;
/** While changes are relayed, interval at which to check whether to watch the store. */
const RELAYED_POLL_MS = 100;
const RETRY_BASE_MS = 150;
const RETRY_CAP_MS = 400;
/** Time beyond its timeout after which a watch counts as lost, and another one is begun beside it. */
const OVERDUE_MS = 800;
/** Time beyond its timeout after which the response to a watch has waited in this process. */
const LATE_RESPONSE_MS = 300;
/** Interval between log lines about a store that stays unavailable. */
const LOST_LOG_INTERVAL_MS = 2000;

/** @internal */
export interface StoreWatcherEvents {
  /** Called with all keys. `isRestored` is true when the store era has changed since. */
  onSnapshot(found: StoreChanges, isRestored: boolean): void;
  /** Called with the changes after `since`, for every response, even without changes. */
  onChanges(changes: readonly StoreChange[], since: number): void;
  /** Called when the store responds again after failures. */
  onReconnect(outageMs: number): void;
  /** Timeout of the next watch; undefined while changes are relayed by another gateway. */
  watchTimeoutMs(): number | undefined;
  /** Delay after changes, so that the next call returns a batch of them. */
  batchDelayMs(): number;
}

interface WatchResponse {
  /** Undefined when all keys must be read again. */
  readonly found: StoreChanges | undefined;
  /** When the watch was begun. */
  readonly sentMs: number;
}

/** @internal */
export class StoreWatcher {
  private readonly abort = new AbortController();
  /** Aborts the call in progress. */
  private call = new AbortController();
  /** Watches that have had no response in time, and may still get one. */
  private readonly overdue = new Map<AbortController, Promise<WatchResponse>>();
  /** Since when the response to that call has been received; undefined without one. */
  private receivingSinceMs: number | undefined;
  private knownRevision = -1;
  /** Store era of the revision. */
  private knownEra = 0;
  private failures = 0;
  private connected = false;
  private hasEverResponded = false;
  private lastContactMs = performance.now();
  /** Time as of which the revision is known: that of the request, as a response may have waited. */
  private asOfMs = performance.now();
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

  /** True when the last call got a response. */
  get isConnected(): boolean {
    return this.connected;
  }

  /** True until the first call has succeeded or failed. */
  get isFirstCall(): boolean {
    return !this.hasEverResponded && this.failures === 0;
  }

  /** True while a response is being received. */
  get isReceiving(): boolean {
    return this.receiving;
  }

  /** Time for which a response has been received; 0 without one. */
  get receivingMs(): number {
    return this.receivingSinceMs === undefined ? 0 : performance.now() - this.receivingSinceMs;
  }

  /** Age of what is known: time since the request that it was read with, here or elsewhere. */
  get contactAgeMs(): number {
    return performance.now() - this.asOfMs;
  }

  start(): void {
    void this.run();
  }

  dispose(): void {
    this.abort.abort();
    this.call.abort();
    this.abortOverdue();
  }

  /** Causes all keys to be read again. */
  resync(): void {
    this.knownRevision = -1;
    this.abortOverdue();
    this.restartWatch();
  }

  /** Aborts a pending watch, so that the next one starts with current parameters. */
  restartWatch(): void {
    if (!this.receiving) this.call.abort();
  }

  /**
   * Applies changes after `since` up to `revision` that another gateway has relayed.
   *
   * @param asOfMs - Time as of which the revision was the newest.
   * @returns The changes that are new here; undefined when earlier ones may be missing.
   */
  applyRelayed(
    era: number,
    since: number,
    revision: number,
    changes: readonly StoreChange[],
    asOfMs: number,
  ): readonly StoreChange[] | undefined {
    if (era > this.knownEra && this.knownRevision >= 0) this.resync();
    if (era !== this.knownEra || this.knownRevision < 0 || since > this.knownRevision) {
      return undefined;
    }
    this.lastContactMs = performance.now();
    this.asOfMs = Math.max(this.asOfMs, asOfMs);
    return this.advance(revision, changes);
  }

  private get receiving(): boolean {
    return this.receivingSinceMs !== undefined;
  }

  private set receiving(isReceiving: boolean) {
    this.receivingSinceMs = isReceiving ? performance.now() : undefined;
  }

  private async run(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      this.call = new AbortController();
      try {
        const timeoutMs = this.events.watchTimeoutMs();
        if (this.knownRevision < 0) await this.readAll();
        else if (timeoutMs === undefined) await sleep(RELAYED_POLL_MS, signal);
        // After a failure, a watch that returns at once shows that the store is available again.
        else await this.watch(this.connected ? timeoutMs : 0);
      } catch (thrown) {
        if (signal.aborted) return;
        if (this.call.signal.aborted) continue;
        // Of several first reads, the last failure is reported.
        this.onFailure(thrown instanceof AggregateError ? thrown.errors.at(-1) : thrown);
        await sleep(backoffMs(this.failures, RETRY_BASE_MS, RETRY_CAP_MS), signal);
        this.failures += 1;
      } finally {
        this.receiving = false;
      }
    }
  }

  private async readAll(): Promise<void> {
    const sentMs = performance.now();
    const found = this.hasEverResponded
      ? await this.range(this.call.signal)
      : await this.readFirst();
    const isRestored = this.hasEverResponded && found.era !== this.knownEra;
    this.onResponse(sentMs);
    this.knownRevision = found.revision;
    this.knownEra = found.era;
    this.events.onSnapshot(found, isRestored);
  }

  /** Hedged read: the other calls are aborted once the response to one of them begins. */
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

  /**
   * A store that is slow would never be heard if each watch were given up for the next one: those
   * that are overdue go on beside it.
   */
  private async watch(timeoutMs: number): Promise<void> {
    const position = {era: this.knownEra, revision: this.knownRevision};
    let response: WatchResponse;
    try {
      response = await this.firstResponse(timeoutMs, position);
    } catch (thrown) {
      // The changes since then may be too many to transfer in time; the current state is smaller.
      if (this.receiving) this.knownRevision = -1;
      throw thrown;
    }
    const {found, sentMs} = response;
    this.abortOverdue();
    this.receiving = false;
    if (this.abort.signal.aborted) return;
    this.onResponse(sentMs);
    // Meanwhile another call has shown that all keys must be read again.
    if (this.knownRevision < 0) return;
    if (found === undefined) {
      this.log.warn('store history gone, reading all keys', {prefix: this.prefix, ...position});
      this.knownRevision = -1;
      return;
    }
    const since = this.knownRevision;
    this.events.onChanges(this.advance(found.revision, found.changes), since);
    // A response that has waited here may be followed by many changes already.
    if (found.changes.length === 0 || this.contactAgeMs > timeoutMs + LATE_RESPONSE_MS) return;
    await sleep(this.events.batchDelayMs(), this.abort.signal);
  }

  /** Begins a watch. @returns The response to it, or to one that is overdue. */
  private async firstResponse(timeoutMs: number, position: StorePosition): Promise<WatchResponse> {
    const {call} = this;
    const sentMs = performance.now();
    const onBegun = () => (this.receiving = true);
    const latest = this.store
      .watch(this.prefix, position, timeoutMs, call.signal, onBegun)
      .then(found => ({found, sentMs}));
    const responses = [latest, ...this.overdue.values()];
    let timeout: PolledTimeout | undefined;
    const isOverdue = new Promise<undefined>(resolve => {
      timeout = new PolledTimeout(timeoutMs + OVERDUE_MS, () => resolve(undefined));
    });
    const response = await Promise.race([...responses, isOverdue]).finally(() => timeout?.clear());
    if (response !== undefined) {
      // The latest one is of no use any more, if it is not the one that was answered.
      if (response.sentMs !== sentMs) call.abort();
      return response;
    }
    if (this.receiving) return Promise.race(responses);
    // What fails later doesn't end the watches beside it.
    const ignoringFailure = latest.catch(() => {
      this.overdue.delete(call);
      return new Promise<never>(() => undefined);
    });
    this.overdue.set(call, ignoringFailure);
    throw new Error(`watch ${this.prefix}: no response within ${timeoutMs + OVERDUE_MS} ms`);
  }

  private abortOverdue(): void {
    for (const call of this.overdue.keys()) call.abort();
    this.overdue.clear();
  }

  private advance(revision: number, changes: readonly StoreChange[]): readonly StoreChange[] {
    const newChanges = changes.filter(change => change.revision > this.knownRevision);
    this.knownRevision = Math.max(this.knownRevision, revision);
    return newChanges;
  }

  private onResponse(sentMs: number): void {
    const {failures} = this;
    const nowMs = performance.now();
    const outageMs = nowMs - this.lastContactMs;
    this.lastContactMs = nowMs;
    this.asOfMs = Math.max(this.asOfMs, sentMs);
    if (this.connected) return;
    this.connected = true;
    const wasLost = this.hasEverResponded;
    this.hasEverResponded = true;
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
        unheardMs: Math.round(nowMs - this.lastContactMs),
      });
    }
    this.connected = false;
  }
}
