/**
 * Shares reports of requests that crash replicas between gateways: through the planner's gateway,
 * and through the store when the planner is unreachable or when the reports must survive a restart
 * of all gateways.
 */
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';
import {parseCrashNews, type CrashNewsMessage} from '@jasminepost/mesh';
import type {StoreChange} from '@jasminepost/platform';

const SUSPECTS_PREFIX = 'system/suspects/';
const CHECK_INTERVAL_MS = 250;
/** The store's longest lease, for which stored reports outlive the gateway that wrote them. */
const LEASE_MS = 600_000;
/** With this many replica failures of one request, reports are stored although others get them. */
const MIN_PERSISTED_FAILURES = 2;
/** Time within which a report sent to a reachable planner has been relayed to all gateways. */
const PROPAGATION_MS = 2000;
const MAX_REQUESTS = 500;

/** @internal */
export interface CrashNewsSyncContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Id of this gateway. */
  readonly self: string;
  /** Sends crash reports to the planner's gateway, which relays them to all others. */
  announce(message: CrashNewsMessage): void;
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

  /** Writes all known reports again after the store was restored from an older copy of itself. */
  onStoreRestored(): void {
    this.version = 0;
    if (this.ctx.list().requests.length > 0) this.unsharedSinceMs ??= this.ctx.clock.monotonicMs();
  }

  /** Applies reports that another gateway, or an earlier run of this one, has stored. */
  applyChange({key, value}: StoreChange): void {
    if (!key.startsWith(SUSPECTS_PREFIX) || value === undefined) return;
    const stored = parseStoredNews(value);
    if (stored === undefined) {
      this.ctx.log.warn('malformed crash reports in the store ignored', {key, reason: 'malformed'});
      return;
    }
    const ageMs = Math.min(LEASE_MS, Math.max(0, this.ctx.clock.wallMs() - stored.writtenMs));
    this.ctx.applyNews(addAge(stored.news, ageMs));
  }

  private async step(): Promise<number> {
    const {unsharedSinceMs} = this;
    if (unsharedSinceMs === undefined) return CHECK_INTERVAL_MS;
    const {requests} = this.ctx.list();
    const shouldPersist = requests.some(({endings}) => endings.length >= MIN_PERSISTED_FAILURES);
    const isPlannerReachable = this.ctx.isPlannerReachable();
    if (shouldPersist || !isPlannerReachable) await this.write(requests.slice(-MAX_REQUESTS));
    else if (this.ctx.clock.monotonicMs() - unsharedSinceMs > PROPAGATION_MS)
      this.unsharedSinceMs = undefined;
    return CHECK_INTERVAL_MS;
  }

  private async write(requests: CrashNewsMessage['requests']): Promise<void> {
    const {unsharedSinceMs} = this;
    this.unsharedSinceMs = undefined;
    const news: CrashNewsMessage = {type: 'crash_news', requests};
    const value = JSON.stringify({writtenMs: this.ctx.clock.wallMs(), news});
    const key = SUSPECTS_PREFIX + this.ctx.self;
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
