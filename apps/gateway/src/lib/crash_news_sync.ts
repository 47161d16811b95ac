/**
 * Shares reports of requests that crash replicas between gateways: through the planner's gateway,
 * which also stores those that must survive a restart of all gateways. A gateway stores its reports
 * itself only while the planner is unreachable.
 */
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';
import {parseCrashNews, type CrashNewsMessage} from '@jasminepost/mesh';
import type {StoreChange} from '@jasminepost/platform';

const SUSPECTS_PREFIX = 'system/suspects/';
const CHECK_INTERVAL_MS = 250;
/** The store's longest lease, for which stored reports outlive the gateway that wrote them. */
const LEASE_MS = 600_000;
/** With this many replica failures of one request, its reports are stored although others get them. */
const MIN_PERSISTED_FAILURES = 2;
/** Time within which a report sent to a reachable planner has been relayed to all gateways. */
const PROPAGATION_MS = 2000;
const MAX_REQUESTS = 500;
/** Mean rate at which a gateway writes reports to the store. */
const MAX_WRITTEN_BYTES_PER_S = 60_000;

/** @internal */
export interface CrashNewsSyncContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Id of this gateway. */
  readonly self: string;
  /** Sends crash reports to the planner's gateway, which relays them to all others. */
  announce(message: CrashNewsMessage): void;
  /** True while this gateway relays reports between the others. */
  isRelay(): boolean;
  /** True while this gateway is in contact with the planner, or is the planner itself. */
  isPlannerReachable(): boolean;
  /** Returns all known replica failures. */
  list(): CrashNewsMessage;
  applyNews(message: CrashNewsMessage): void;
}

/** @internal */
export class CrashNewsSync {
  /** Time of the oldest report that may not have reached all gateways; undefined without any. */
  private unsharedSinceMs: number | undefined;
  private version = 0;
  /** Time before which nothing more may be written. */
  private nextWriteMs = Number.NEGATIVE_INFINITY;
  private readonly task = new RepeatingTask(() => this.step());

  constructor(private readonly ctx: CrashNewsSyncContext) {}

  start(): void {
    this.task.start(CHECK_INTERVAL_MS);
  }

  dispose(): void {
    this.task.dispose();
  }

  /** Sends crash reports to the other gateways. */
  announce(message: CrashNewsMessage): void {
    this.unsharedSinceMs ??= this.ctx.clock.monotonicMs();
    this.ctx.announce(message);
  }

  /** Applies reports that another gateway has sent. */
  onNews(message: CrashNewsMessage): void {
    if (this.ctx.isRelay()) this.unsharedSinceMs ??= this.ctx.clock.monotonicMs();
    this.ctx.applyNews(message);
  }

  /** Writes all known reports again after the store was restored from an older copy of itself. */
  onStoreRestored(): void {
    this.version = 0;
    if (this.ctx.list().requests.length > 0) this.unsharedSinceMs ??= this.ctx.clock.monotonicMs();
  }

  /** True for a store change that holds crash reports. */
  isReport({key}: StoreChange): boolean {
    return key.startsWith(SUSPECTS_PREFIX);
  }

  /** Applies reports that another gateway, or an earlier run of this one, has stored. */
  applyChange(change: StoreChange): void {
    const {key, value} = change;
    if (!this.isReport(change) || value === undefined) return;
    const stored = parseStoredNews(value);
    if (stored === undefined) {
      this.ctx.log.warn('malformed crash reports in the store ignored', {key, reason: 'malformed'});
      return;
    }
    const ageMs = Math.min(LEASE_MS, Math.max(0, this.ctx.clock.wallMs() - stored.writtenMs));
    const news = addAge(stored.news, ageMs);
    this.ctx.applyNews(news);
    // The store change itself isn't relayed: it repeats all reports of its writer.
    if (this.ctx.isRelay()) this.ctx.announce(news);
  }

  private async step(): Promise<number> {
    const {unsharedSinceMs} = this;
    if (unsharedSinceMs === undefined) return CHECK_INTERVAL_MS;
    const nowMs = this.ctx.clock.monotonicMs();
    const unstored = this.unstored();
    if (unstored.length > 0) {
      if (nowMs >= this.nextWriteMs) await this.write(unstored.slice(-MAX_REQUESTS));
    } else if (nowMs - unsharedSinceMs > PROPAGATION_MS) {
      this.unsharedSinceMs = undefined;
    }
    return CHECK_INTERVAL_MS;
  }

  /** Reports that this gateway has to store. */
  private unstored(): CrashNewsMessage['requests'] {
    const {requests} = this.ctx.list();
    if (!this.ctx.isPlannerReachable()) return requests;
    if (!this.ctx.isRelay()) return [];
    return requests.filter(({endings}) => endings.length >= MIN_PERSISTED_FAILURES);
  }

  private async write(requests: CrashNewsMessage['requests']): Promise<void> {
    const {unsharedSinceMs} = this;
    this.unsharedSinceMs = undefined;
    const news: CrashNewsMessage = {type: 'crash_news', requests};
    const value = JSON.stringify({writtenMs: this.ctx.clock.wallMs(), news});
    const key = SUSPECTS_PREFIX + this.ctx.self;
    const intervalMs = (1000 * value.length) / MAX_WRITTEN_BYTES_PER_S;
    this.nextWriteMs = this.ctx.clock.monotonicMs() + intervalMs;
    try {
      const lease = await this.ctx.store.createLease(LEASE_MS);
      const outcome = await this.ctx.store.write(key, value, this.version, lease);
      if (outcome.kind === 'written') {
        this.version = outcome.version;
        this.ctx.log.info('crash reports written to the store', {requests: requests.length});
        return;
      }
      this.version = outcome.entry?.version ?? 0;
    } catch (thrown) {
      this.ctx.log.warn('could not write crash reports to the store', {
        error: errorMessage(thrown),
      });
    }
    this.unsharedSinceMs ??= unsharedSinceMs;
  }
}

function parseStoredNews(
  value: string,
): {readonly writtenMs: number; readonly news: CrashNewsMessage} | undefined {
  try {
    const {writtenMs, news} = JSON.parse(value) as {writtenMs: unknown; news: unknown};
    const parsed = parseCrashNews(news);
    if (typeof writtenMs !== 'number' || parsed === undefined) return undefined;
    return {writtenMs, news: parsed};
  } catch {
    // Malformed JSON is handled like a malformed report; the caller logs it.
    return undefined;
  }
}

/** Adds the time that the reports have spent in the store to the ages they contain. */
function addAge({type, requests}: CrashNewsMessage, ageMs: number): CrashNewsMessage {
  const aged = requests.map(request => ({
    ...request,
    endings: request.endings.map(({replica, sentAgoMs, agoMs}) => ({
      replica,
      sentAgoMs: sentAgoMs + ageMs,
      agoMs: agoMs + ageMs,
    })),
  }));
  return {type, requests: aged};
}
