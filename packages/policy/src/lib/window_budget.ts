/** Bounds repeated sends to a service over a sliding window, for one of several senders. */

/** @public */
export interface WindowBudgetLimits {
  /** Repeats allowed per first send, over all senders. */
  readonly ratio: number;
  /** Repeats allowed in a window beside that, over all senders. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Share of the whole that is used; the rest is for those that start again. */
const USED_SHARE = 0.7;
/** Share of the slack in the first window: what the sender repeated before it started is not known. */
const YOUNG_SHARE = 0.3;
const BUCKETS = 10;

interface Bucket {
  startMs: number;
  firsts: number;
  repeats: number;
}

/**
 * Counts first and repeated sends in buckets of a tenth of the window. Answers an outage in which
 * every send fails: repeats stop growing with the failures.
 *
 * @public
 */
export class WindowBudget {
  private readonly buckets: Bucket[] = [];

  /** @param startedMs - Start of this process; minus infinity when none was there before it. */
  constructor(
    private readonly limits: WindowBudgetLimits,
    private readonly startedMs: number,
  ) {}

  /** Counts the first send of a request. */
  countFirst(nowMs: number): void {
    this.bucketAt(nowMs).firsts += 1;
  }

  /**
   * Takes leave for one repeated send; false when the budget is spent.
   *
   * @param senders - Processes that share the budget.
   * @example
   * if (budget.tryRepeat(gateways, clock.monotonicMs())) sendAgain();
   */
  tryRepeat(senders: number, nowMs: number): boolean {
    const bucket = this.bucketAt(nowMs);
    let firsts = 0;
    let repeats = 0;
    for (const {firsts: f, repeats: r} of this.buckets) {
      firsts += f;
      repeats += r;
    }
    const {ratio, slack, windowMs} = this.limits;
    const slackShare = nowMs - this.startedMs < windowMs ? YOUNG_SHARE : USED_SHARE;
    const allowed = USED_SHARE * ratio * firsts + (slackShare * slack) / Math.max(1, senders);
    if (repeats + 1 > allowed) return false;
    bucket.repeats += 1;
    return true;
  }

  private bucketAt(nowMs: number): Bucket {
    const {windowMs} = this.limits;
    while (this.buckets.length > 0 && this.buckets[0].startMs <= nowMs - windowMs) {
      this.buckets.shift();
    }
    const last = this.buckets.at(-1);
    if (last !== undefined && nowMs < last.startMs + windowMs / BUCKETS) return last;
    const bucket = {startMs: nowMs, firsts: 0, repeats: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
