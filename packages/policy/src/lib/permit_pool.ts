/** Permits that one gateway has for one rate-limited replica, and its requests for more. */
import {PERMIT_HORIZON_MS, PERMIT_VALID_MS, type PermitGrant} from './permit_issuer.ts';
import {FallbackPermits} from './fallback_permits.ts';

/** An issuer that has not responded within this time, in milliseconds, counts as lost. */
const ISSUER_TIMEOUT_MS = 250;
/** Most permits in one request. */
const MAX_REQUESTED_PERMITS = 16;
/** Longest retry delay that a refused caller is given, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

/** @public */
export interface PermitRequest {
  readonly number: number;
  readonly count: number;
}

interface Permit {
  readonly validFromMs: number;
  readonly validUntilMs: number;
}

/** @public */
export class PermitPool {
  private permits: Permit[] = [];
  private asked: {readonly number: number; readonly sentMs: number} | undefined;
  private requestCount = 0;
  /** Time of the next unassigned permit, as of the issuer's last response. */
  private nextMs = Number.NEGATIVE_INFINITY;
  private isIssuerReachable = true;
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
    const isRequestPending =
      this.asked !== undefined && nowMs - this.asked.sentMs < ISSUER_TIMEOUT_MS;
    if (missing <= 0 || isRequestPending || nowMs < this.nextMs - PERMIT_HORIZON_MS)
      return undefined;
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
      this.permits.push({validFromMs: nowMs + inMs, validUntilMs: sentMs + inMs + PERMIT_VALID_MS});
    }
    return true;
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

  /** True while no issuer responds. */
  private isIssuerLost(nowMs: number): boolean {
    const hasTimedOut = this.asked !== undefined && nowMs - this.asked.sentMs >= ISSUER_TIMEOUT_MS;
    return !this.isIssuerReachable || hasTimedOut;
  }

  private removeExpired(nowMs: number): void {
    this.permits = this.permits.filter(({validUntilMs}) => validUntilMs >= nowMs);
  }
}
