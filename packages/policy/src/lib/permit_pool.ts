/** Permits that one gateway has for one replica with a limit, and its questions for more. */
import {PERMIT_HORIZON_MS, PERMIT_VALID_MS, type PermitGrant} from './permit_issuer.ts';
import {FallbackPermits} from './fallback_permits.ts';

/** A dealer that has not answered after this, in milliseconds, is taken to be lost. */
const ISSUER_TIMEOUT_MS = 250;
/** Most permits that are asked for at once. */
const MAX_REQUESTED_PERMITS = 16;
/** Refused callers are not told to stay away for longer, in milliseconds. */
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
  /** Time of the next permit that the dealer had for nobody when it answered last. */
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
    if (this.permits.some(({validFromMs: fromMs}) => fromMs <= nowMs)) return true;
    return this.isIssuerLost(nowMs) && this.fallback.waitMs(perS, senders, nowMs) === 0;
  }

  /** Uses a permit; false when there is none. */
  tryTake(perS: number, senders: number, nowMs: number): boolean {
    this.removeExpired(nowMs);
    const index = this.permits.findIndex(({validFromMs: fromMs}) => fromMs <= nowMs);
    if (index >= 0) {
      this.permits.splice(index, 1);
      return true;
    }
    return this.isIssuerLost(nowMs) && this.fallback.tryTake(perS, senders, nowMs);
  }

  /**
   * Question to the dealer when `count` requests want a permit each; undefined when there is nothing
   * to ask for now.
   *
   * @example
   * const question = account.question(waiting, clock.monotonicMs());
   * if (question !== undefined && !link.send(question)) account.onUnsent();
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

  /** Takes in that the newest question could not be sent. */
  onSendFailed(): void {
    this.isIssuerReachable = false;
  }

  /** Takes in an answer; false when it is to an earlier question. */
  onGrant(number: number, grant: PermitGrant, nowMs: number): boolean {
    if (this.asked?.number !== number) return false;
    const {sentMs} = this.asked;
    this.asked = undefined;
    this.isIssuerReachable = true;
    this.nextMs = nowMs + grant.nextInMs;
    for (const inMs of grant.permitsInMs) {
      // The answer may have been on its way for long, the permit counts from its dealing.
      this.permits.push({validFromMs: nowMs + inMs, validUntilMs: sentMs + inMs + PERMIT_VALID_MS});
    }
    return true;
  }

  /** Time until the request behind `ahead` others may be sent, as far as it is known. */
  waitMs(perS: number, senders: number, ahead: number, nowMs: number): number {
    this.removeExpired(nowMs);
    const permit = this.permits.at(ahead);
    if (permit !== undefined) return Math.max(0, permit.validFromMs - nowMs);
    if (this.isIssuerLost(nowMs)) return this.fallback.waitMs(perS, senders, nowMs) * (ahead + 1);
    const behind = ahead - this.permits.length;
    return Math.max(0, this.nextMs - nowMs) + (behind * 1000) / perS;
  }

  /** Time after which a refused caller finds a permit: each of them is told another one. */
  retryAfterMs(perS: number, senders: number, ahead: number, nowMs: number): number {
    const earliestMs = nowMs + this.waitMs(perS, senders, ahead, nowMs);
    const intervalMs = (Math.max(1, senders) * 1000) / perS;
    this.lastRetryMs = Math.max(earliestMs, this.lastRetryMs + intervalMs);
    if (this.lastRetryMs > nowMs + MAX_RETRY_AFTER_MS) this.lastRetryMs = earliestMs;
    return Math.min(MAX_RETRY_AFTER_MS, this.lastRetryMs - nowMs);
  }

  /** True while no dealer answers. */
  private isIssuerLost(nowMs: number): boolean {
    const hasTimedOut = this.asked !== undefined && nowMs - this.asked.sentMs >= ISSUER_TIMEOUT_MS;
    return !this.isIssuerReachable || hasTimedOut;
  }

  private removeExpired(nowMs: number): void {
    this.permits = this.permits.filter(({validUntilMs: untilMs}) => untilMs >= nowMs);
  }
}
