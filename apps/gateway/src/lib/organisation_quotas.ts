/** Charges requests to the quotas of their organisations, with credit from the planner's gateway. */
import type {Clock, CounterFamily, Logger} from '@jasminepost/core';
import type {PermitAskMessage, PermitGrantMessage} from '@jasminepost/mesh';
import {
  ISSUER_TIMEOUT_MS,
  PermitPool,
  quotaBucket,
  type Charge,
  type CreditBucket,
  type NumberedCreditRequest,
  type QuotaTolerance,
} from '@jasminepost/policy';
import type {Organisation, Quota} from '@jasminepost/serving';

/** Interval at which credit that is about to expire is returned. */
const RETURN_INTERVAL_MS = 40;
/** Random part of the retry delay, so that refused callers don't all retry at once. */
const RETRY_AFTER_JITTER_MS = 200;
/** Retry delay of a request that is larger than the quota ever allows at once. */
const OVERSIZED_RETRY_AFTER_MS = 10_000;
/** The tolerance is stated in tokens, so it means nothing for quotas of requests. */
const NO_TOLERANCE: QuotaTolerance = {slack: 0, overshoot: 0, windowMs: 0};
/** Longest subject of a message. */
const MAX_SUBJECT_CHARS = 300;

/** Event in the life of credit, as counted in units in the metrics. @internal */
export type CreditEvent = 'asked' | 'issued' | 'used' | 'refunded' | 'returned' | 'fallback';

/** What is known when a request is refused, for its log line. @internal */
export interface QuotaRefusal {
  readonly organisation: string;
  readonly cost: number;
  /** Units of credit that this gateway has. */
  readonly credit: number;
  /** Age of the issuer's last grant; -1 before the first. */
  readonly creditAgeMs: number;
  readonly issuer: 'reachable' | 'lost';
}

/** A request that waits for credit. @internal */
export interface CreditWaiter {
  onCharged(charge: Charge): void;
  onRefused(retryAfterMs: number, refusal: QuotaRefusal): void;
}

/** @internal */
export interface OrganisationQuotasContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly credit: CounterFamily<CreditEvent>;
  /** Units tolerated above a quota in a window. */
  readonly tolerance: QuotaTolerance;
  /** Number of gateways that share the quotas. */
  gateways(): number;
  configVersion(): number;
  /** Sends a request for credit to the planner's gateway; false when it can't be sent. */
  ask(message: PermitAskMessage): boolean;
  /** Called when credit was granted for requests that wait in a queue. */
  onCredit(): void;
}

interface Waiting {
  readonly units: number;
  readonly waiter: CreditWaiter;
  /** Number of the request to the issuer that includes it; 0 before it is included in one. */
  ask: number;
}

interface Account {
  readonly name: string;
  quota: Quota;
  bucket: CreditBucket;
  readonly pool: PermitPool;
  waiting: Waiting[];
  timer: NodeJS.Timeout | undefined;
}

/** @internal */
export class OrganisationQuotas {
  private accounts = new Map<string, Account>();
  private readonly returnTimer: NodeJS.Timeout;

  constructor(private readonly ctx: OrganisationQuotasContext) {
    this.returnTimer = setInterval(() => this.returnUnused(), RETURN_INTERVAL_MS);
  }

  /** Applies the quotas of a configuration; credit of an organisation that stays is kept. */
  apply(organisations: readonly Organisation[]): void {
    const accounts = new Map<string, Account>();
    for (const {name, quota} of organisations) {
      if (quota === undefined) continue;
      const bucket = quotaBucket(quota, quota.unit === 'token' ? this.ctx.tolerance : NO_TOLERANCE);
      const account = this.accounts.get(name);
      if (account === undefined) {
        const pool = new PermitPool(Math.random);
        accounts.set(name, {name, quota, bucket, pool, waiting: [], timer: undefined});
      } else {
        accounts.set(name, Object.assign(account, {quota, bucket}));
      }
    }
    const removed = [...this.accounts].filter(([name]) => !accounts.has(name));
    this.accounts = accounts;
    // Requests that wait for credit of a quota that no longer exists are not limited.
    for (const [, account] of removed) this.chargeWithoutLimit(account);
  }

  /** Bucket of an organisation in the active configuration; undefined without a quota. */
  bucketOf(organisation: string): CreditBucket | undefined {
    return this.accounts.get(organisation)?.bucket;
  }

  /**
   * Units that a request costs; 0 when it is not limited.
   *
   * @param tokens - Tokens that the request states; undefined when it states none.
   */
  costOf(organisation: string, tokens: number | undefined): number {
    const quota = this.accounts.get(organisation)?.quota;
    if (quota === undefined) return 0;
    return quota.unit === 'request' ? 1 : (tokens ?? quota.plainTokens);
  }

  /**
   * Charges a request: at once with credit at hand, otherwise after one request to the issuer.
   *
   * @returns Function that withdraws a request that still waits for credit.
   * @example
   * const withdraw = quotas.charge('acme', 2400, {onCharged: send, onRefused: refuse});
   */
  charge(organisation: string, units: number, waiter: CreditWaiter): () => void {
    const account = this.accounts.get(organisation);
    if (account === undefined) {
      waiter.onCharged(unlimited(units));
      return () => undefined;
    }
    account.pool.countDemand(units, this.nowMs);
    const charge = account.waiting.length === 0 ? this.take(account, units) : undefined;
    if (charge !== undefined) {
      this.ask(account);
      waiter.onCharged(charge);
      return () => undefined;
    }
    if (account.pool.isIssuerLost(this.nowMs)) this.ask(account, [units]);
    if (units > account.bucket.maxUnits || account.pool.isIssuerLost(this.nowMs)) {
      this.refuse(account, units, waiter);
      return () => undefined;
    }
    const entry: Waiting = {units, waiter, ask: 0};
    account.waiting.push(entry);
    this.askForWaiting(account);
    return () => (account.waiting = account.waiting.filter(other => other !== entry));
  }

  /** Charges a queued request that may be sent now; requests credit and returns undefined if none. */
  tryCharge(organisation: string, units: number): Charge | undefined {
    const account = this.accounts.get(organisation);
    if (account === undefined) return unlimited(units);
    const charge = account.waiting.length === 0 ? this.take(account, units) : undefined;
    if (charge === undefined && account.waiting.length === 0) this.ask(account, [units]);
    return charge;
  }

  /** Gives back what a request was charged that certainly has not run. */
  refund(organisation: string, charge: Charge): void {
    const account = this.accounts.get(organisation);
    if (account?.pool.refund(charge, this.nowMs) !== true) return;
    this.ctx.credit.increment('refunded', charge.units);
  }

  /** Adds credit that the planner's gateway has granted. */
  onGrant({replica: organisation, number, units = 0, nextInMs}: PermitGrantMessage): void {
    const account = this.accounts.get(organisation);
    if (account?.pool.onCreditGrant(number, {units, nextInMs}, this.nowMs) !== true) return;
    this.ctx.credit.increment('issued', units);
    clearTimeout(account.timer);
    this.settle(account, number);
    this.askForWaiting(account);
    this.ctx.onCredit();
  }

  dispose(): void {
    clearInterval(this.returnTimer);
    for (const {timer} of this.accounts.values()) clearTimeout(timer);
  }

  private get nowMs(): number {
    return this.ctx.clock.monotonicMs();
  }

  private take({pool, bucket}: Account, units: number): Charge | undefined {
    const charge = pool.tryCharge(bucket.perS, this.ctx.gateways(), units, this.nowMs);
    if (charge !== undefined) {
      this.ctx.credit.increment(charge.source === 'issued' ? 'used' : 'fallback', units);
    }
    return charge;
  }

  /** Charges waiting requests in order, and refuses those that `ask` did not bring credit for. */
  private settle(account: Account, ask: number): void {
    const waiting = account.waiting;
    account.waiting = [];
    for (const entry of waiting) {
      // A later request must not take the credit that an earlier one still waits for.
      const charge = account.waiting.length === 0 ? this.take(account, entry.units) : undefined;
      if (charge !== undefined) entry.waiter.onCharged(charge);
      else if (entry.ask === ask) this.refuse(account, entry.units, entry.waiter);
      else account.waiting.push(entry);
    }
  }

  private askForWaiting(account: Account): void {
    if (account.waiting.length === 0) {
      this.ask(account);
      return;
    }
    this.ask(
      account,
      account.waiting.map(({units}) => units),
    );
    if (account.pool.isIssuerLost(this.nowMs)) this.settleLost(account);
  }

  /** After a stall of this process a response may have arrived that has not been read yet. */
  private onIssuerTimeout(account: Account): void {
    setImmediate(() => {
      if (account.pool.isIssuerLost(this.nowMs)) this.settleLost(account);
    });
  }

  /** Charges waiting requests from the fallback, or refuses them. */
  private settleLost(account: Account): void {
    const waiting = account.waiting;
    account.waiting = [];
    for (const {units, waiter} of waiting) {
      const charge = this.take(account, units);
      if (charge !== undefined) waiter.onCharged(charge);
      else this.refuse(account, units, waiter);
    }
  }

  /** Requests credit where it is due, for requests that wait and for some that are expected. */
  private ask(account: Account, waiting: readonly number[] = []): void {
    const request = account.pool.nextCreditRequest(waiting, account.bucket.perS, this.nowMs);
    if (request === undefined) return;
    this.ctx.credit.increment('asked', request.units + request.more);
    // The planner's own gateway gets the response before `send` returns.
    for (const entry of account.waiting) entry.ask = request.number;
    clearTimeout(account.timer);
    account.timer = setTimeout(() => this.onIssuerTimeout(account), ISSUER_TIMEOUT_MS + 1);
    if (!this.send(account, request)) account.pool.onSendFailed();
  }

  private send({name, bucket}: Account, request: NumberedCreditRequest): boolean {
    if (name.length > MAX_SUBJECT_CHARS) return false;
    const {number, units, more, returned, fallback} = request;
    const {perS, size, maxUnits} = bucket;
    const configVersion = this.ctx.configVersion();
    const credit = {configVersion, size, maxUnits, units, more, returned, fallback};
    return this.ctx.ask({type: 'permit_ask', replica: name, perS, number, count: 1, credit});
  }

  private returnUnused(): void {
    for (const account of this.accounts.values()) {
      const returned = account.pool.takeReturnable(this.nowMs);
      if (returned <= 0) continue;
      // Number 0 belongs to no request, so that the response is ignored.
      const isSent = this.send(account, {number: 0, units: 0, more: 0, returned, fallback: 0});
      if (isSent) this.ctx.credit.increment('returned', returned);
    }
  }

  private refuse({name, pool, bucket}: Account, units: number, waiter: CreditWaiter): void {
    const {nowMs} = this;
    const isTooLarge = units > bucket.maxUnits;
    const waitMs = isTooLarge
      ? OVERSIZED_RETRY_AFTER_MS
      : pool.creditWaitMs(bucket.perS, this.ctx.gateways(), units, nowMs);
    const ageMs = pool.grantAgeMs(nowMs);
    waiter.onRefused(waitMs + Math.random() * RETRY_AFTER_JITTER_MS, {
      organisation: name,
      cost: units,
      credit: Math.round(pool.credit(nowMs)),
      creditAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
      issuer: pool.isIssuerLost(nowMs) ? 'lost' : 'reachable',
    });
  }

  private chargeWithoutLimit(account: Account): void {
    clearTimeout(account.timer);
    const {waiting} = account;
    account.waiting = [];
    for (const {units, waiter} of waiting) waiter.onCharged(unlimited(units));
  }
}

/** Charge of an organisation without a quota. */
function unlimited(units: number): Charge {
  return {units, validUntilMs: Number.NEGATIVE_INFINITY, source: 'issued'};
}
