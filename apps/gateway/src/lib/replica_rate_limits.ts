/** Rate limits of replicas, and the permits that this gateway has for rate-limited replicas. */
import type {Clock, Logger, CounterFamily} from '@jasminepost/core';
import type {LimitNewsMessage, PermitAskMessage, PermitGrantMessage} from '@jasminepost/mesh';
import {PermitPool, type RateLimitUpdate, type ReplicaRateLimit} from '@jasminepost/policy';
import {incarnationId} from '@jasminepost/serving';
import type {Replica} from './replica.ts';

/** Maximum age of a steward's information when it arrives. */
const STEWARD_DELAY_MS = 300;
/** Maximum delay of another gateway's information, which is relayed by the planner's gateway. */
const NEWS_DELAY_MS = 200;
/** Random part of the retry delay, so that refused callers don't all retry at once. */
const RETRY_AFTER_JITTER_MS = 200;

/** Where information about a rate limit came from. */
type LimitSource = 'answer' | 'steward' | 'gateway';

/** Event in the life of permits, as counted in the metrics. @internal */
export type PermitEvent = 'asked' | 'unsent' | 'dealt' | 'used';

/** @internal */
export interface ReplicaRateLimitsContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly permits: CounterFamily<PermitEvent>;
  replicas(): Iterable<Replica>;
  /** Number of gateways that may send to the same replicas. */
  gateways(): number;
  /** Sends a permit request to the planner's gateway; false when it can't be sent. */
  ask(message: PermitAskMessage): boolean;
  /** Sends rate limits to the other gateways. */
  announce(message: LimitNewsMessage): void;
  /** Called when a rate limit has changed or permits have been granted. */
  onChanged(): void;
}

/** @internal */
export class ReplicaRateLimits {
  /** Permit pools by replica incarnation. */
  private readonly pools = new Map<string, PermitPool>();
  /** Rate limits that stewards reported last, by replica incarnation. */
  private readonly stewardLimits = new Map<string, number>();

  constructor(private readonly ctx: ReplicaRateLimitsContext) {}

  /** Applies the rate limit stated in a response; undefined when it states none. */
  onAnswer(replica: Replica, perS: number | undefined, sentMs: number): void {
    if (!this.record(replica, toLimitUpdate(perS), sentMs, 'answer')) return;
    this.ctx.announce({type: 'limit_news', limits: [this.toNews(replica, perS, sentMs)]});
  }

  /** Applies the rate limit in a new state from the replica's steward. */
  onSteward(replica: Replica): void {
    const perS = replica.stewardLimitPerS;
    if (perS === undefined) return;
    const id = incarnationId(replica.entry);
    const before = this.stewardLimits.get(id) ?? 0;
    this.stewardLimits.set(id, perS);
    // A steward that never learns of the limit always reports none, so that only a change from a
    // reported limit to none means that the limit has been lifted.
    if (perS === before) return;
    const update = toLimitUpdate(perS === 0 ? undefined : perS);
    this.record(replica, update, this.ctx.clock.monotonicMs() - STEWARD_DELAY_MS, 'steward');
  }

  /** Applies rate limits that another gateway has learned. */
  onNews({limits}: LimitNewsMessage): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const byReplica = new Map(limits.map(limit => [limit.replica, limit]));
    for (const replica of this.ctx.replicas()) {
      const limit = byReplica.get(incarnationId(replica.entry));
      if (limit === undefined) continue;
      this.record(
        replica,
        toLimitUpdate(limit.perS),
        nowMs - limit.sentAgoMs - NEWS_DELAY_MS,
        'gateway',
      );
    }
  }

  /** Returns all known rate limits. */
  news(): LimitNewsMessage {
    const limits = [...this.ctx.replicas()].flatMap(replica => {
      const {limit} = replica;
      return limit.kind === 'none' ? [] : [this.toNews(replica, limit.perS, limit.receivedMs)];
    });
    return {type: 'limit_news', limits};
  }

  /** True when the replica's rate limit allows a request now. */
  hasPermit(replica: Replica): boolean {
    const {limit} = replica;
    if (limit.kind === 'none') return true;
    return this.poolOf(replica).hasPermit(limit.perS, this.ctx.gateways(), this.nowMs);
  }

  /** Uses a permit for a request that is sent now; false when none is available. */
  tryUsePermit(replica: Replica): boolean {
    const {limit} = replica;
    if (limit.kind === 'none') return true;
    const taken = this.poolOf(replica).tryTake(limit.perS, this.ctx.gateways(), this.nowMs);
    if (taken) this.ctx.permits.increment('used');
    return taken;
  }

  /** Requests permits for `count` requests that wait for any of the replicas. */
  requestPermits(replicas: readonly Replica[], count: number): void {
    for (const replica of replicas) {
      const {limit} = replica;
      if (limit.kind === 'none') continue;
      const pool = this.poolOf(replica);
      const permitRequest = pool.nextRequest(count, this.nowMs);
      if (permitRequest === undefined) continue;
      this.ctx.permits.increment('asked');
      const {perS} = limit;
      const id = incarnationId(replica.entry);
      if (this.ctx.ask({type: 'permit_ask', replica: id, perS, ...permitRequest})) continue;
      this.ctx.permits.increment('unsent');
      pool.onSendFailed();
    }
  }

  /** Adds the permits that the planner's gateway has granted. */
  onGrant({replica, number, ...grant}: PermitGrantMessage): void {
    const pool = this.pools.get(replica);
    if (pool?.onGrant(number, grant, this.nowMs) !== true) return;
    this.ctx.permits.increment('dealt', grant.permitsInMs.length);
    this.ctx.onChanged();
  }

  /** Time until a request with `ahead` others before it may be sent to one of the replicas. */
  waitMs(replicas: readonly Replica[], ahead: number): number {
    const gateways = this.ctx.gateways();
    return this.minTimeMs(replicas, (pool, perS) => pool.waitMs(perS, gateways, ahead, this.nowMs));
  }

  /** Retry delay for a caller that is refused because of the replicas' rate limits. */
  retryAfterMs(replicas: readonly Replica[], ahead: number): number {
    const gateways = this.ctx.gateways();
    const delayMs = this.minTimeMs(replicas, (pool, perS) =>
      pool.retryAfterMs(perS, gateways, ahead, this.nowMs),
    );
    return delayMs + Math.random() * RETRY_AFTER_JITTER_MS;
  }

  /** Removes the state of a replica incarnation that is no longer listed. */
  forget(replica: Replica): void {
    const id = incarnationId(replica.entry);
    this.pools.delete(id);
    this.stewardLimits.delete(id);
  }

  private get nowMs(): number {
    return this.ctx.clock.monotonicMs();
  }

  /** Minimum of a time over the replicas, which is 0 for those without a rate limit. */
  private minTimeMs(
    replicas: readonly Replica[],
    timeMs: (pool: PermitPool, perS: number) => number,
  ): number {
    const timesMs = replicas.map(replica => {
      const {limit} = replica;
      return limit.kind === 'none' ? 0 : timeMs(this.poolOf(replica), limit.perS);
    });
    return Math.min(...timesMs);
  }

  /** Applies an update; returns true when the replica's rate limit has changed. */
  private record(
    replica: Replica,
    update: RateLimitUpdate,
    sentMs: number,
    source: LimitSource,
  ): boolean {
    const before = replica.limit;
    replica.updateRateLimit(update, sentMs, this.nowMs);
    if (isSameLimit(before, replica.limit)) return false;
    this.ctx.log.info('replica rate limit changed', {
      replica: replica.id,
      perS: limitPerSOf(replica.limit),
      before: limitPerSOf(before),
      source,
    });
    this.ctx.onChanged();
    return true;
  }

  private toNews(replica: Replica, perS: number | undefined, sentMs: number) {
    const sentAgoMs = Math.max(0, this.nowMs - sentMs);
    return {replica: incarnationId(replica.entry), perS, sentAgoMs};
  }

  private poolOf(replica: Replica): PermitPool {
    const id = incarnationId(replica.entry);
    let pool = this.pools.get(id);
    if (pool === undefined) this.pools.set(id, (pool = new PermitPool(Math.random)));
    return pool;
  }
}

function toLimitUpdate(perS: number | undefined): RateLimitUpdate {
  return perS === undefined ? {kind: 'not_named'} : {kind: 'named', perS};
}

/** Requests per second; 0 for no limit. */
function limitPerSOf(limit: ReplicaRateLimit): number {
  return limit.kind === 'none' ? 0 : limit.perS;
}

function isSameLimit(a: ReplicaRateLimit, b: ReplicaRateLimit): boolean {
  return limitPerSOf(a) === limitPerSOf(b);
}
