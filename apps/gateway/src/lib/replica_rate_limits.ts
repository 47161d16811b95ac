/** Which replicas have named a limit, and the permits that this gateway has for them. */
import type {Clock, Logger, CounterFamily} from '@jasminepost/core';
import type {LimitNewsMessage, PermitAskMessage, PermitGrantMessage} from '@jasminepost/mesh';
import {PermitPool, type RateLimitUpdate, type ReplicaRateLimit} from '@jasminepost/policy';
import {incarnationId} from '@jasminepost/serving';
import type {Replica} from './replica.ts';

/** A steward's word may be so much older than its arrival. */
const STEWARD_DELAY_MS = 300;
/** The same of another gateway's word, which comes by way of the planner's. */
const NEWS_DELAY_MS = 200;
/** Refused callers are spread over this. */
const RETRY_AFTER_JITTER_MS = 200;

/** Who has told of a limit. */
type LimitSource = 'answer' | 'steward' | 'gateway';

/** What became of requests that needed a permit. @internal */
export type PermitEvent = 'asked' | 'unsent' | 'dealt' | 'used';

/** @internal */
export interface ReplicaRateLimitsContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly permits: CounterFamily<PermitEvent>;
  replicas(): Iterable<Replica>;
  /** Gateways that may send to the same replicas. */
  gateways(): number;
  /** Asks the planner's gateway; false when it can't be asked. */
  ask(message: PermitAskMessage): boolean;
  /** Tells the other gateways. */
  announce(message: LimitNewsMessage): void;
  /** What may be sent has changed. */
  onChanged(): void;
}

/** @internal */
export class ReplicaRateLimits {
  /** Accounts by start of the replica. */
  private readonly pools = new Map<string, PermitPool>();
  /** Limits that stewards told last, by start of the replica. */
  private readonly stewardLimits = new Map<string, number>();

  constructor(private readonly ctx: ReplicaRateLimitsContext) {}

  /** Takes in what an answer to a request says; undefined when it names no limit. */
  onAnswer(replica: Replica, perS: number | undefined, sentMs: number): void {
    if (!this.record(replica, toLimitUpdate(perS), sentMs, 'answer')) return;
    this.ctx.announce({type: 'limit_news', limits: [this.toNews(replica, perS, sentMs)]});
  }

  /** Takes in a new account of the steward beside a replica. */
  onSteward(replica: Replica): void {
    const perS = replica.stewardLimitPerS;
    if (perS === undefined) return;
    const id = incarnationId(replica.entry);
    const before = this.stewardLimits.get(id) ?? 0;
    this.stewardLimits.set(id, perS);
    // A steward may not hear of a limit at all; only a change tells that there is none.
    if (perS === before) return;
    const update = toLimitUpdate(perS === 0 ? undefined : perS);
    this.record(replica, update, this.ctx.clock.monotonicMs() - STEWARD_DELAY_MS, 'steward');
  }

  /** Takes in what another gateway has heard. */
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

  /** All limits that are known here. */
  news(): LimitNewsMessage {
    const limits = [...this.ctx.replicas()].flatMap(replica => {
      const {limit} = replica;
      return limit.kind === 'none' ? [] : [this.toNews(replica, limit.perS, limit.receivedMs)];
    });
    return {type: 'limit_news', limits};
  }

  /** True when a request may be sent there now. */
  hasPermit(replica: Replica): boolean {
    const {limit} = replica;
    if (limit.kind === 'none') return true;
    return this.poolOf(replica).hasPermit(limit.perS, this.ctx.gateways(), this.nowMs);
  }

  /** Uses a permit for a request that is sent now; false when there is none. */
  tryUsePermit(replica: Replica): boolean {
    const {limit} = replica;
    if (limit.kind === 'none') return true;
    const taken = this.poolOf(replica).tryTake(limit.perS, this.ctx.gateways(), this.nowMs);
    if (taken) this.ctx.permits.increment('used');
    return taken;
  }

  /** Asks for permits when `count` requests wait for one of the replicas. */
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

  /** Takes in the answer of the planner's gateway. */
  onGrant({replica, number, ...answer}: PermitGrantMessage): void {
    const pool = this.pools.get(replica);
    if (pool?.onGrant(number, answer, this.nowMs) !== true) return;
    this.ctx.permits.increment('dealt', answer.permitsInMs.length);
    this.ctx.onChanged();
  }

  /** Time until one of the replicas may be sent a request that has `ahead` others before it. */
  waitMs(replicas: readonly Replica[], ahead: number): number {
    const gateways = this.ctx.gateways();
    return this.minTimeMs(replicas, (pool, perS) => pool.waitMs(perS, gateways, ahead, this.nowMs));
  }

  /** Time after which a caller that is refused for their limits should return. */
  retryAfterMs(replicas: readonly Replica[], ahead: number): number {
    const gateways = this.ctx.gateways();
    const delayMs = this.minTimeMs(replicas, (account, perS) =>
      account.retryAfterMs(perS, gateways, ahead, this.nowMs),
    );
    return delayMs + Math.random() * RETRY_AFTER_JITTER_MS;
  }

  /** Forgets a start of a replica that is listed no more. */
  forget(replica: Replica): void {
    const id = incarnationId(replica.entry);
    this.pools.delete(id);
    this.stewardLimits.delete(id);
  }

  private get nowMs(): number {
    return this.ctx.clock.monotonicMs();
  }

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

  private record(
    replica: Replica,
    update: RateLimitUpdate,
    sentMs: number,
    source: LimitSource,
  ): boolean {
    const before = replica.limit;
    replica.updateRateLimit(update, sentMs, this.nowMs);
    if (isSameLimit(before, replica.limit)) return false;
    this.ctx.log.info('replica limit', {
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

/** Requests a second; 0 for no limit. */
function limitPerSOf(limit: ReplicaRateLimit): number {
  return limit.kind === 'none' ? 0 : limit.perS;
}

function isSameLimit(a: ReplicaRateLimit, b: ReplicaRateLimit): boolean {
  return limitPerSOf(a) === limitPerSOf(b);
}
