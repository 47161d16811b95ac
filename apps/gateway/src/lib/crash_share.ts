/**
 * Spreads what gateways know of requests that crash replicas: by way of the planner's gateway, and
 * through the store when that is not heard of or when all gateways may start again.
 */
import {errorMessage, RepeatingTask, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';
import {parseCrashNews, type CrashNewsMessage} from '@jasminepost/mesh';
import type {StoreChange} from '@jasminepost/platform';

const SHARE_PREFIX = 'system/suspects/';
const LOOK_INTERVAL_MS = 250;
/** What is written outlives its gateway for this long, the store's longest lease. */
const KEPT_MS = 600_000;
/** Endings of one request at which it is written even if the planner's gateway is heard of. */
const LASTING_ENDINGS = 2;
/** News that the planner's gateway has had for this long has reached the others. */
const SPREAD_MS = 2000;
const MAX_REQUESTS = 500;

/** @internal */
export interface CrashShareContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Id of this gateway. */
  readonly self: string;
  /** Sends to the planner's gateway, which tells all. */
  announce(message: CrashNewsMessage): void;
  /** True while the planner's gateway, or this one in its place, is heard of. */
  isPlannerHeard(): boolean;
  /** All that is known here. */
  list(): CrashNewsMessage;
  take(message: CrashNewsMessage): void;
}

/** @internal */
export class CrashShare {
  /** When the oldest news came that may not have spread; undefined when there is none. */
  private newsMs: number | undefined;
  private version = 0;
  private readonly task = new RepeatingTask(() => this.step());

  constructor(private readonly ctx: CrashShareContext) {}

  start(): void {
    this.task.start(LOOK_INTERVAL_MS);
  }

  dispose(): void {
    this.task.dispose();
  }

  /** Tells the other gateways. */
  announce(message: CrashNewsMessage): void {
    this.newsMs ??= this.ctx.clock.monotonicMs();
    this.ctx.announce(message);
  }

  /** Takes in that the store came back from an older copy: what is known is written once more. */
  onNewEra(): void {
    this.version = 0;
    if (this.ctx.list().requests.length > 0) this.newsMs ??= this.ctx.clock.monotonicMs();
  }

  /** Takes in a change in the store that may tell what another gateway knows, or an earlier start. */
  takeChange({key, value}: StoreChange): void {
    if (!key.startsWith(SHARE_PREFIX) || value === undefined) return;
    const shared = parseShared(value);
    if (shared === undefined) {
      this.ctx.log.warn('crash news in the store skipped', {key, reason: 'malformed'});
      return;
    }
    const ageMs = Math.min(KEPT_MS, Math.max(0, this.ctx.clock.wallMs() - shared.writtenMs));
    this.ctx.take(withAge(shared.news, ageMs));
  }

  private async step(): Promise<number> {
    const {newsMs} = this;
    if (newsMs === undefined) return LOOK_INTERVAL_MS;
    const {requests} = this.ctx.list();
    const lasting = requests.some(({endings}) => endings.length >= LASTING_ENDINGS);
    const isHeard = this.ctx.isPlannerHeard();
    if (lasting || !isHeard) await this.write(requests.slice(-MAX_REQUESTS));
    else if (this.ctx.clock.monotonicMs() - newsMs > SPREAD_MS) this.newsMs = undefined;
    return LOOK_INTERVAL_MS;
  }

  private async write(requests: CrashNewsMessage['requests']): Promise<void> {
    const {newsMs} = this;
    this.newsMs = undefined;
    const news: CrashNewsMessage = {type: 'crash_news', requests};
    const value = JSON.stringify({writtenMs: this.ctx.clock.wallMs(), news});
    const key = SHARE_PREFIX + this.ctx.self;
    try {
      const lease = await this.ctx.store.createLease(KEPT_MS);
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
    this.newsMs ??= newsMs;
  }
}

function parseShared(
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

function withAge({type, requests}: CrashNewsMessage, ageMs: number): CrashNewsMessage {
  const older = requests.map(request => ({
    ...request,
    endings: request.endings.map(({replica, sentAgoMs, agoMs}) => ({
      replica,
      sentAgoMs: sentAgoMs + ageMs,
      agoMs: agoMs + ageMs,
    })),
  }));
  return {type, requests: older};
}
