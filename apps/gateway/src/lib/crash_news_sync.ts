/**
 * Spreads what gateways know of requests that crash replicas: by way of the planner's gateway, and
 * through the store when that is not heard of or when all gateways may start again.
 */
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';
import {parseCrashNews, type CrashNewsMessage} from '@jasminepost/mesh';
import type {StoreChange} from '@jasminepost/platform';

const SUSPECTS_PREFIX = 'system/suspects/';
const CHECK_INTERVAL_MS = 250;
/** What is written outlives its gateway for this long, the store's longest lease. */
const LEASE_MS = 600_000;
/** Endings of one request at which it is written even if the planner's gateway is heard of. */
const MIN_PERSISTED_FAILURES = 2;
/** News that the planner's gateway has had for this long has reached the others. */
const PROPAGATION_MS = 2000;
const MAX_REQUESTS = 500;

/** @internal */
export interface CrashNewsSyncContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Id of this gateway. */
  readonly self: string;
  /** Sends to the planner's gateway, which tells all. */
  announce(message: CrashNewsMessage): void;
  /** True while the planner's gateway, or this one in its place, is heard of. */
  isPlannerReachable(): boolean;
  /** All that is known here. */
  list(): CrashNewsMessage;
  applyNews(message: CrashNewsMessage): void;
}

/** @internal */
export class CrashNewsSync {
  /** When the oldest news came that may not have spread; undefined when there is none. */
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

  /** Tells the other gateways. */
  announce(message: CrashNewsMessage): void {
    this.unsharedSinceMs ??= this.ctx.clock.monotonicMs();
    this.ctx.announce(message);
  }

  /** Takes in that the store came back from an older copy: what is known is written once more. */
  onStoreRestored(): void {
    this.version = 0;
    if (this.ctx.list().requests.length > 0) this.unsharedSinceMs ??= this.ctx.clock.monotonicMs();
  }

  /** Takes in a change in the store that may tell what another gateway knows, or an earlier start. */
  applyChange({key, value}: StoreChange): void {
    if (!key.startsWith(SUSPECTS_PREFIX) || value === undefined) return;
    const stored = parseStoredNews(value);
    if (stored === undefined) {
      this.ctx.log.warn('crash news in the store skipped', {key, reason: 'malformed'});
      return;
    }
    const ageMs = Math.min(LEASE_MS, Math.max(0, this.ctx.clock.wallMs() - stored.writtenMs));
    this.ctx.applyNews(addAge(stored.news, ageMs));
  }

  private async step(): Promise<number> {
    const {unsharedSinceMs: newsMs} = this;
    if (newsMs === undefined) return CHECK_INTERVAL_MS;
    const {requests} = this.ctx.list();
    const shouldPersist = requests.some(({endings}) => endings.length >= MIN_PERSISTED_FAILURES);
    const isPlannerReachable = this.ctx.isPlannerReachable();
    if (shouldPersist || !isPlannerReachable) await this.write(requests.slice(-MAX_REQUESTS));
    else if (this.ctx.clock.monotonicMs() - newsMs > PROPAGATION_MS)
      this.unsharedSinceMs = undefined;
    return CHECK_INTERVAL_MS;
  }

  private async write(requests: CrashNewsMessage['requests']): Promise<void> {
    const {unsharedSinceMs: newsMs} = this;
    this.unsharedSinceMs = undefined;
    const news: CrashNewsMessage = {type: 'crash_news', requests};
    const value = JSON.stringify({writtenMs: this.ctx.clock.wallMs(), news});
    const key = SUSPECTS_PREFIX + this.ctx.self;
    try {
      const lease = await this.ctx.store.createLease(LEASE_MS);
      const outcome = await this.ctx.store.write(key, value, this.version, lease);
      if (outcome.kind === 'written') {
        this.version = outcome.version;
        this.ctx.log.info('crash news written', {requests: requests.length});
        return;
      }
      this.version = outcome.entry?.version ?? 0;
    } catch (thrown) {
      this.ctx.log.warn('crash news not written', {error: errorMessage(thrown)});
    }
    this.unsharedSinceMs ??= newsMs;
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
    // Another writer's value says nothing; the caller logs it.
    return undefined;
  }
}

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
