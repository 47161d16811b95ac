/** Shares of one rate that a gateway has, as permits or credit, and its requests for more. */
import {
  CREDIT_VALID_MS,
  PERMIT_HORIZON_MS,
  PERMIT_VALID_MS,
  type CreditGrant,
  type CreditRequest,
  type PermitGrant,
} from './permit_issuer.ts';
import {FallbackPermits} from './fallback_permits.ts';

/** An issuer that has not responded within this time, in milliseconds, counts as lost. @public */
export const ISSUER_TIMEOUT_MS = 250;
/** Most permits in one request. */
const MAX_REQUESTED_PERMITS = 16;
/** Credit is requested in advance for this time of the gateway's demand, in milliseconds. */
const PREFETCH_MS = 60;
/** Time constant of the measured demand, in milliseconds. */
const DEMAND_WINDOW_MS = 500;
/** Requests expected while credit is valid from which it is requested in advance. */
const STEADY_REQUESTS = 3;
/** Time for which the use of the fallback is reported, until the issuer notices a lost link. */
const FALLBACK_REPORT_MS = 1000;
/** Weight of a request in the mean cost. */
const COST_WEIGHT = 0.1;
/** Credit that is valid for less than this is returned, in milliseconds. */
const RETURN_BEFORE_MS = 100;
/** Longest retry delay that a refused caller is given, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

/** @public */
export interface PermitRequest {
  readonly number: number;
  readonly count: number;
}

/** A request for credit, with its number. @public */
export interface NumberedCreditRequest extends CreditRequest {
  readonly number: number;
}

interface Permit {
  readonly validFromMs: number;
  readonly validUntilMs: number;
  /** 1 for the permit of one request. */
  units: number;
}

/** Units that a request has used, and how they may be given back. @public */
export interface Charge {
  readonly units: number;
  /** Time until which the units are valid; they can't be given back afterwards. */
  readonly validUntilMs: number;
  readonly source: 'issued' | 'fallback';
}

/** @public */
export class PermitPool {
  private permits: Permit[] = [];
  private asked: {readonly number: number; readonly sentMs: number} | undefined;
  private requestCount = 0;
  /** Time of the next unassigned permit, as of the issuer's last response. */
  private nextMs = Number.NEGATIVE_INFINITY;
  private isIssuerReachable = true;
  /** Measured demand in units per millisecond, as of `demandMs`. */
  private demand = 0;
  private demandMs = 0;
  /** Running mean of the cost of a request. */
  private usualUnits = 0;
  private grantedMs = Number.NEGATIVE_INFINITY;
  /** Units taken from the fallback that have not been reported to the issuer. */
  private fallbackUses: Array<{readonly atMs: number; readonly units: number}> = [];
  private lastRetryMs = Number.NEGATIVE_INFINITY;
  private readonly fallback: FallbackPermits;

  constructor(random: () => number) {
    this.fallback = new FallbackPermits(random);
  }

  /** True when a request may be sent now. */
  hasPermit(perS: number, senders: number, nowMs: number): boolean {
    this.removeExpired(nowMs);
    if (this.permits.some(({validFromMs}) => validFromMs <= nowMs)) return true;
    return this.isIssuerLost(nowMs) && this.fallback.waitMs(perS, senders, nowMs) === 0;
  }

  /** Uses a permit; false when there is none. */
  tryTake(perS: number, senders: number, nowMs: number): boolean {
    this.removeExpired(nowMs);
    const index = this.permits.findIndex(({validFromMs}) => validFromMs <= nowMs);
    if (index >= 0) {
      this.permits.splice(index, 1);
      return true;
    }
    return this.isIssuerLost(nowMs) && this.fallback.tryTake(perS, senders, nowMs);
  }

  /**
   * Request to the issuer when `count` requests need a permit each; undefined when none is due now.
   *
   * @example
   * const request = pool.nextRequest(waiting, clock.monotonicMs());
   * if (request !== undefined && !link.send(request)) pool.onSendFailed();
   */
  nextRequest(count: number, nowMs: number): PermitRequest | undefined {
    this.removeExpired(nowMs);
    const missing = Math.min(MAX_REQUESTED_PERMITS, count - this.permits.length);
    const isEarly = nowMs < this.nextMs - PERMIT_HORIZON_MS;
    if (missing <= 0 || this.isRequestPending(nowMs) || isEarly) return undefined;
    if (this.asked !== undefined) this.isIssuerReachable = false;
    this.asked = {number: ++this.requestCount, sentMs: nowMs};
    return {number: this.requestCount, count: missing};
  }

  /** Records that the latest request could not be sent. */
  onSendFailed(): void {
    this.isIssuerReachable = false;
  }

  /** Adds the permits of a response; false when it belongs to an earlier request. */
  onGrant(number: number, grant: PermitGrant, nowMs: number): boolean {
    if (this.asked?.number !== number) return false;
    const {sentMs} = this.asked;
    this.asked = undefined;
    this.isIssuerReachable = true;
    this.nextMs = nowMs + grant.nextInMs;
    for (const inMs of grant.permitsInMs) {
      // The response may have been delayed, so the expiry counts from when the request was sent.
      const validUntilMs = sentMs + inMs + PERMIT_VALID_MS;
      this.permits.push({validFromMs: nowMs + inMs, validUntilMs, units: 1});
    }
    return true;
  }

  /** Records the cost of a request, from which the credit requested in advance is derived. */
  countDemand(units: number, nowMs: number): void {
    this.demand = this.demandAt(nowMs) + units / DEMAND_WINDOW_MS;
    this.demandMs = nowMs;
    this.usualUnits += (units - this.usualUnits) * (this.usualUnits === 0 ? 1 : COST_WEIGHT);
  }

  /** Units that may be used now. */
  credit(nowMs: number): number {
    this.removeExpired(nowMs);
    return this.permits.reduce((sum, {units}) => sum + units, 0);
  }

  /**
   * Uses credit for a request, or the fallback while no issuer responds.
   *
   * @param perS - Units a second over all gateways.
   * @param senders - Gateways that share the rate.
   * @returns The charge; undefined if there is not enough credit.
   * @example
   * const charge = pool.tryCharge(4200, gateways, 2400, clock.monotonicMs());
   */
  tryCharge(perS: number, senders: number, units: number, nowMs: number): Charge | undefined {
    if (this.credit(nowMs) >= units) {
      let left = units;
      let validUntilMs = Number.POSITIVE_INFINITY;
      for (const permit of this.permits) {
        if (left <= 0) break;
        const used = Math.min(left, permit.units);
        permit.units -= used;
        left -= used;
        validUntilMs = Math.min(validUntilMs, permit.validUntilMs);
      }
      this.permits = this.permits.filter(permit => permit.units > 0);
      return {units, validUntilMs, source: 'issued'};
    }
    if (!this.isIssuerLost(nowMs) || !this.fallback.tryTake(perS, senders, nowMs, units)) {
      return undefined;
    }
    const recent = this.fallbackUses.filter(({atMs}) => atMs >= nowMs - FALLBACK_REPORT_MS);
    this.fallbackUses = [...recent, {atMs: nowMs, units}];
    return {units, validUntilMs: nowMs, source: 'fallback'};
  }

  /** Puts the units of a request that has certainly not run back; false once they have expired. */
  refund({units, validUntilMs, source}: Charge, nowMs: number): boolean {
    if (source === 'fallback' || validUntilMs <= nowMs) return false;
    this.permits.push({validFromMs: nowMs, validUntilMs, units});
    return true;
  }

  /**
   * Request for credit for waiting requests, and in advance for steady callers; undefined when none
   * is due now.
   *
   * @param waiting - Units of each waiting request, in order.
   * @param perS - Units a second over all gateways.
   * @example
   * const ask = pool.nextCreditRequest([2400], 4200, clock.monotonicMs());
   */
  nextCreditRequest(
    waiting: readonly number[],
    perS: number,
    nowMs: number,
  ): NumberedCreditRequest | undefined {
    if (this.isRequestPending(nowMs)) return undefined;
    const credit = this.credit(nowMs);
    const total = waiting.reduce((sum, units) => sum + units, 0);
    const wanted = this.prefetchUnits(perS, nowMs);
    const isAdvanceDue = credit - total < wanted / 2 && nowMs >= this.nextMs;
    if (total <= credit && !isAdvanceDue) return undefined;
    const units = total > credit ? Math.max(0, waiting[0] - credit) : 0;
    if (this.asked !== undefined) this.isIssuerReachable = false;
    this.asked = {number: ++this.requestCount, sentMs: nowMs};
    const more = Math.max(0, total + wanted - credit - units);
    const recent = this.fallbackUses.filter(({atMs}) => atMs >= nowMs - FALLBACK_REPORT_MS);
    const fallback = recent.reduce((sum, use) => sum + use.units, 0);
    this.fallbackUses = [];
    return {number: this.requestCount, units, more, returned: 0, fallback};
  }

  /** Adds granted credit; false when it belongs to an earlier request. */
  onCreditGrant(number: number, {units, nextInMs}: CreditGrant, nowMs: number): boolean {
    if (this.asked?.number !== number) return false;
    const {sentMs} = this.asked;
    this.asked = undefined;
    this.isIssuerReachable = true;
    this.grantedMs = nowMs;
    this.nextMs = nowMs + nextInMs;
    // The grant may have been delayed, so the expiry counts from when the request was sent.
    if (units > 0) {
      this.permits.push({validFromMs: nowMs, validUntilMs: sentMs + CREDIT_VALID_MS, units});
    }
    return true;
  }

  /** Removes and returns the units that would expire soon, so that other gateways can use them. */
  takeReturnable(nowMs: number): number {
    this.removeExpired(nowMs);
    const isLeft = ({validUntilMs}: Permit) => validUntilMs >= nowMs + RETURN_BEFORE_MS;
    const units = this.permits.reduce(
      (sum, permit) => sum + (isLeft(permit) ? 0 : permit.units),
      0,
    );
    this.permits = this.permits.filter(isLeft);
    return units;
  }

  /** Time since the issuer's last grant, in milliseconds; infinite before the first. */
  grantAgeMs(nowMs: number): number {
    return nowMs - this.grantedMs;
  }

  /** Time until a request of `units` may be sent, as far as is known, in milliseconds. */
  creditWaitMs(perS: number, senders: number, units: number, nowMs: number): number {
    const waitMs = this.isIssuerLost(nowMs)
      ? this.fallback.waitMs(perS, senders, nowMs, units)
      : this.nextMs - nowMs;
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(0, waitMs));
  }

  /** Estimated time until the request behind `ahead` others may be sent. */
  waitMs(perS: number, senders: number, ahead: number, nowMs: number): number {
    this.removeExpired(nowMs);
    const permit = this.permits.at(ahead);
    if (permit !== undefined) return Math.max(0, permit.validFromMs - nowMs);
    if (this.isIssuerLost(nowMs)) return this.fallback.waitMs(perS, senders, nowMs) * (ahead + 1);
    const behind = ahead - this.permits.length;
    return Math.max(0, this.nextMs - nowMs) + (behind * 1000) / perS;
  }

  /** Time after which a refused caller should retry; each caller gets a different permit's time. */
  retryAfterMs(perS: number, senders: number, ahead: number, nowMs: number): number {
    const earliestMs = nowMs + this.waitMs(perS, senders, ahead, nowMs);
    const intervalMs = (Math.max(1, senders) * 1000) / perS;
    this.lastRetryMs = Math.max(earliestMs, this.lastRetryMs + intervalMs);
    if (this.lastRetryMs > nowMs + MAX_RETRY_AFTER_MS) this.lastRetryMs = earliestMs;
    return Math.min(MAX_RETRY_AFTER_MS, this.lastRetryMs - nowMs);
  }

  private isRequestPending(nowMs: number): boolean {
    return this.asked !== undefined && nowMs - this.asked.sentMs < ISSUER_TIMEOUT_MS;
  }

  private demandAt(nowMs: number): number {
    return this.demand * Math.exp((this.demandMs - nowMs) / DEMAND_WINDOW_MS);
  }

  /** Units to hold in advance; 0 for callers so rare that the credit would often expire. */
  private prefetchUnits(perS: number, nowMs: number): number {
    // Callers that send more than the quota must not make one gateway hold much of it.
    const demand = Math.min(this.demandAt(nowMs), perS / 1000);
    if (demand * CREDIT_VALID_MS < STEADY_REQUESTS * this.usualUnits) return 0;
    return Math.max(this.usualUnits, demand * PREFETCH_MS);
  }

  /** True while no issuer responds. */
  isIssuerLost(nowMs: number): boolean {
    const hasTimedOut = this.asked !== undefined && nowMs - this.asked.sentMs >= ISSUER_TIMEOUT_MS;
    return !this.isIssuerReachable || hasTimedOut;
  }

  private removeExpired(nowMs: number): void {
    this.permits = this.permits.filter(({validUntilMs}) => validUntilMs >= nowMs);
  }
}
