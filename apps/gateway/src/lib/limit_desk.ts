/** Which replicas have named a limit, and the permits that this gateway has for them. */
import type {Clock, Logger, CounterFamily} from '@jasminepost/core';
import type {LimitNewsMessage, PermitAskMessage, PermitGrantMessage} from '@jasminepost/mesh';
import {PermitPool, type RateLimitUpdate, type ReplicaRateLimit} from '@jasminepost/policy';
import {incarnationId} from '@jasminepost/serving';
import type {Replica} from './replica.ts';

/** A steward's word may be so much older than its arrival. */
const STEWARD_LAG_MS = 300;
/** The same of another gateway's word, which comes by way of the planner's. */
const NEWS_LAG_MS = 200;
/** Refused callers are spread over this. */
const RETURN_SPREAD_MS = 200;

/** Who has told of a limit. */
type Source = 'answer' | 'steward' | 'gateway';

/** What became of requests that needed a permit. @internal */
export type PermitEvent = 'asked' | 'unsent' | 'dealt' | 'used';

/** @internal */
export interface LimitDeskContext {
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
export class LimitDesk {
  /** Accounts by start of the replica. */
  private readonly accounts = new Map<string, PermitPool>();
  /** Limits that stewards told last, by start of the replica. */
  private readonly toldPerS = new Map<string, number>();

  constructor(private readonly ctx: LimitDeskContext) {}

  /** Takes in what an answer to a request says; undefined when it names no limit. */
  onAnswer(replica: Replica, perS: number | undefined, sentMs: number): void {
    if (!this.note(replica, wordOf(perS), sentMs, 'answer')) return;
    this.ctx.announce({type: 'limit_news', limits: [this.newsOf(replica, perS, sentMs)]});
  }

  /** Takes in a new account of the steward beside a replica. */
  onSteward(replica: Replica): void {
    const perS = replica.stewardLimitPerS;
    if (perS === undefined) return;
    const id = incarnationId(replica.entry);
    const before = this.toldPerS.get(id) ?? 0;
    this.toldPerS.set(id, perS);
    // A steward may not hear of a limit at all; only a change tells that there is none.
    if (perS === before) return;
    const word = wordOf(perS === 0 ? undefined : perS);
    this.note(replica, word, this.ctx.clock.monotonicMs() - STEWARD_LAG_MS, 'steward');
  }

  /** Takes in what another gateway has heard. */
  onNews({limits}: LimitNewsMessage): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const told = new Map(limits.map(limit => [limit.replica, limit]));
    for (const replica of this.ctx.replicas()) {
      const limit = told.get(incarnationId(replica.entry));
      if (limit === undefined) continue;
      this.note(replica, wordOf(limit.perS), nowMs - limit.sentAgoMs - NEWS_LAG_MS, 'gateway');
    }
  }

  /** All limits that are known here. */
  news(): LimitNewsMessage {
    const limits = [...this.ctx.replicas()].flatMap(replica => {
      const {limit} = replica;
      return limit.kind === 'none' ? [] : [this.newsOf(replica, limit.perS, limit.receivedMs)];
    });
    return {type: 'limit_news', limits};
  }

  /** True when a request may be sent there now. */
  isOpen(replica: Replica): boolean {
    const {limit} = replica;
    if (limit.kind === 'none') return true;
    return this.accountOf(replica).hasPermit(limit.perS, this.ctx.gateways(), this.nowMs);
  }

  /** Uses a permit for a request that is sent now; false when there is none. */
  tryTake(replica: Replica): boolean {
    const {limit} = replica;
    if (limit.kind === 'none') return true;
    const taken = this.accountOf(replica).tryTake(limit.perS, this.ctx.gateways(), this.nowMs);
    if (taken) this.ctx.permits.increment('used');
    return taken;
  }

  /** Asks for permits when `count` requests wait for one of the replicas. */
  want(replicas: readonly Replica[], count: number): void {
    for (const replica of replicas) {
      const {limit} = replica;
      if (limit.kind === 'none') continue;
      const account = this.accountOf(replica);
      const question = account.nextRequest(count, this.nowMs);
      if (question === undefined) continue;
      this.ctx.permits.increment('asked');
      const {perS} = limit;
      const id = incarnationId(replica.entry);
      if (this.ctx.ask({type: 'permit_ask', replica: id, perS, ...question})) continue;
      this.ctx.permits.increment('unsent');
      account.onSendFailed();
    }
  }

  /** Takes in the answer of the planner's gateway. */
  onGrant({replica, number, ...answer}: PermitGrantMessage): void {
    const account = this.accounts.get(replica);
    if (account?.onGrant(number, answer, this.nowMs) !== true) return;
    this.ctx.permits.increment('dealt', answer.permitsInMs.length);
    this.ctx.onChanged();
  }

  /** Time until one of the replicas may be sent a request that has `ahead` others before it. */
  waitMs(replicas: readonly Replica[], ahead: number): number {
    const gateways = this.ctx.gateways();
    return this.least(replicas, (account, perS) =>
      account.waitMs(perS, gateways, ahead, this.nowMs),
    );
  }

  /** Time after which a caller that is refused for their limits should return. */
  returnInMs(replicas: readonly Replica[], ahead: number): number {
    const gateways = this.ctx.gateways();
    const inMs = this.least(replicas, (account, perS) =>
      account.retryAfterMs(perS, gateways, ahead, this.nowMs),
    );
    return inMs + Math.random() * RETURN_SPREAD_MS;
  }

  /** Forgets a start of a replica that is listed no more. */
  forget(replica: Replica): void {
    const id = incarnationId(replica.entry);
    this.accounts.delete(id);
    this.toldPerS.delete(id);
  }

  private get nowMs(): number {
    return this.ctx.clock.monotonicMs();
  }

  private least(
    replicas: readonly Replica[],
    of: (account: PermitPool, perS: number) => number,
  ): number {
    const times = replicas.map(replica => {
      const {limit} = replica;
      return limit.kind === 'none' ? 0 : of(this.accountOf(replica), limit.perS);
    });
    return Math.min(...times);
  }

  private note(replica: Replica, word: RateLimitUpdate, sentMs: number, source: Source): boolean {
    const before = replica.limit;
    replica.noteLimit(word, sentMs, this.nowMs);
    if (isSame(before, replica.limit)) return false;
    this.ctx.log.info('replica limit', {
      replica: replica.id,
      perS: perSOf(replica.limit),
      before: perSOf(before),
      source,
    });
    this.ctx.onChanged();
    return true;
  }

  private newsOf(replica: Replica, perS: number | undefined, sentMs: number) {
    const sentAgoMs = Math.max(0, this.nowMs - sentMs);
    return {replica: incarnationId(replica.entry), perS, sentAgoMs};
  }

  private accountOf(replica: Replica): PermitPool {
    const id = incarnationId(replica.entry);
    let account = this.accounts.get(id);
    if (account === undefined) this.accounts.set(id, (account = new PermitPool(Math.random)));
    return account;
  }
}

function wordOf(perS: number | undefined): RateLimitUpdate {
  return perS === undefined ? {kind: 'not_named'} : {kind: 'named', perS};
}

/** Requests a second; 0 for no limit. */
function perSOf(limit: ReplicaRateLimit): number {
  return limit.kind === 'none' ? 0 : limit.perS;
}

function isSame(a: ReplicaRateLimit, b: ReplicaRateLimit): boolean {
  return perSOf(a) === perSOf(b);
}
