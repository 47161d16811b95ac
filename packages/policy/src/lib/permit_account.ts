/** Permits that one gateway has for one replica with a limit, and its questions for more. */
import {PERMIT_HORIZON_MS, PERMIT_VALID_MS, type PermitAnswer} from './permit_dealer.ts';
import {PermitShare} from './permit_share.ts';

/** A dealer that has not answered after this, in milliseconds, is taken to be lost. */
const ANSWER_MS = 250;
/** Most permits that are asked for at once. */
const MAX_ASKED = 16;
/** Refused callers are not told to stay away for longer, in milliseconds. */
const MAX_RETURN_MS = 10_000;

/** @public */
export interface PermitQuestion {
  readonly number: number;
  readonly count: number;
}

interface Permit {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** @public */
export class PermitAccount {
  private permits: Permit[] = [];
  private asked: {readonly number: number; readonly sentMs: number} | undefined;
  private questions = 0;
  /** Time of the next permit that the dealer had for nobody when it answered last. */
  private nextMs = Number.NEGATIVE_INFINITY;
  private hasDealer = true;
  private returnMs = Number.NEGATIVE_INFINITY;
  private readonly share: PermitShare;

  constructor(random: () => number) {
    this.share = new PermitShare(random);
  }

  /** True when a request may be sent now. */
  isOpen(perS: number, senders: number, nowMs: number): boolean {
    this.dropLapsed(nowMs);
    if (this.permits.some(({fromMs}) => fromMs <= nowMs)) return true;
    return this.isAlone(nowMs) && this.share.waitMs(perS, senders, nowMs) === 0;
  }

  /** Uses a permit; false when there is none. */
  tryTake(perS: number, senders: number, nowMs: number): boolean {
    this.dropLapsed(nowMs);
    const index = this.permits.findIndex(({fromMs}) => fromMs <= nowMs);
    if (index >= 0) {
      this.permits.splice(index, 1);
      return true;
    }
    return this.isAlone(nowMs) && this.share.tryTake(perS, senders, nowMs);
  }

  /**
   * Question to the dealer when `count` requests want a permit each; undefined when there is nothing
   * to ask for now.
   *
   * @example
   * const question = account.question(waiting, clock.monotonicMs());
   * if (question !== undefined && !link.send(question)) account.onUnsent();
   */
  question(count: number, nowMs: number): PermitQuestion | undefined {
    this.dropLapsed(nowMs);
    const missing = Math.min(MAX_ASKED, count - this.permits.length);
    const isAsked = this.asked !== undefined && nowMs - this.asked.sentMs < ANSWER_MS;
    if (missing <= 0 || isAsked || nowMs < this.nextMs - PERMIT_HORIZON_MS) return undefined;
    if (this.asked !== undefined) this.hasDealer = false;
    this.asked = {number: ++this.questions, sentMs: nowMs};
    return {number: this.questions, count: missing};
  }

  /** Takes in that the newest question could not be sent. */
  onUnsent(): void {
    this.hasDealer = false;
  }

  /** Takes in an answer; false when it is to an earlier question. */
  onAnswer(number: number, answer: PermitAnswer, nowMs: number): boolean {
    if (this.asked?.number !== number) return false;
    const {sentMs} = this.asked;
    this.asked = undefined;
    this.hasDealer = true;
    this.nextMs = nowMs + answer.nextInMs;
    for (const inMs of answer.permitsInMs) {
      // The answer may have been on its way for long, the permit counts from its dealing.
      this.permits.push({fromMs: nowMs + inMs, untilMs: sentMs + inMs + PERMIT_VALID_MS});
    }
    return true;
  }

  /** Time until the request behind `ahead` others may be sent, as far as it is known. */
  waitMs(perS: number, senders: number, ahead: number, nowMs: number): number {
    this.dropLapsed(nowMs);
    const permit = this.permits.at(ahead);
    if (permit !== undefined) return Math.max(0, permit.fromMs - nowMs);
    if (this.isAlone(nowMs)) return this.share.waitMs(perS, senders, nowMs) * (ahead + 1);
    const behind = ahead - this.permits.length;
    return Math.max(0, this.nextMs - nowMs) + (behind * 1000) / perS;
  }

  /** Time after which a refused caller finds a permit: each of them is told another one. */
  returnInMs(perS: number, senders: number, ahead: number, nowMs: number): number {
    const earliestMs = nowMs + this.waitMs(perS, senders, ahead, nowMs);
    const gapMs = (Math.max(1, senders) * 1000) / perS;
    this.returnMs = Math.max(earliestMs, this.returnMs + gapMs);
    if (this.returnMs > nowMs + MAX_RETURN_MS) this.returnMs = earliestMs;
    return Math.min(MAX_RETURN_MS, this.returnMs - nowMs);
  }

  /** True while no dealer answers. */
  private isAlone(nowMs: number): boolean {
    const isLate = this.asked !== undefined && nowMs - this.asked.sentMs >= ANSWER_MS;
    return !this.hasDealer || isLate;
  }

  private dropLapsed(nowMs: number): void {
    this.permits = this.permits.filter(({untilMs}) => untilMs >= nowMs);
  }
}
