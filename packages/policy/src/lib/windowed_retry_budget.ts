/** Limits retries to a service over a sliding window, for one of several senders. */

/** @public */
export interface WindowedRetryLimits {
  /** Retries allowed per first attempt, over all senders. */
  readonly ratio: number;
  /** Retries allowed in a window in addition, over all senders. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Share of the budget that is used; the rest is for senders that restart. */
const USED_SHARE = 0.7;
/** Share of the slack in the first window: retries before the sender's restart are unknown. */
const FIRST_WINDOW_SHARE = 0.3;
const BUCKETS = 10;

interface Bucket {
  startMs: number;
  firstAttempts: number;
  retryCount: number;
}

/**
 * Counts first attempts and retries in buckets of a tenth of the window. Handles an outage in which
 * every attempt fails: retries no longer grow with the failures.
 *
 * @public
 */
export class WindowedRetryBudget {
  private readonly buckets: Bucket[] = [];

  /** @param startedMs - Start of this process; minus infinity when no process ran before it. */
  constructor(
    private readonly limits: WindowedRetryLimits,
    private readonly startedMs: number,
  ) {}

  /** Counts the first attempt of a request. */
  countFirstAttempt(nowMs: number): void {
    this.bucketAt(nowMs).firstAttempts += 1;
  }

  /**
   * Takes one retry from the budget; false when it is spent.
   *
   * @param senders - Processes that share the budget.
   * @example
   * if (budget.tryRetry(gateways, clock.monotonicMs())) retry();
   */
  tryRetry(senders: number, nowMs: number): boolean {
    const bucket = this.bucketAt(nowMs);
    let firstAttempts = 0;
    let retryCount = 0;
    for (const {firstAttempts: first, retryCount: retried} of this.buckets) {
      firstAttempts += first;
      retryCount += retried;
    }
    const {ratio, slack, windowMs} = this.limits;
    const slackShare = nowMs - this.startedMs < windowMs ? FIRST_WINDOW_SHARE : USED_SHARE;
    const allowed =
      USED_SHARE * ratio * firstAttempts + (slackShare * slack) / Math.max(1, senders);
    if (retryCount + 1 > allowed) return false;
    bucket.retryCount += 1;
    return true;
  }

  private bucketAt(nowMs: number): Bucket {
    const {windowMs} = this.limits;
    while (this.buckets.length > 0 && this.buckets[0].startMs <= nowMs - windowMs) {
      this.buckets.shift();
    }
    const last = this.buckets.at(-1);
    if (last !== undefined && nowMs < last.startMs + windowMs / BUCKETS) return last;
    const bucket = {startMs: nowMs, firstAttempts: 0, retryCount: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
