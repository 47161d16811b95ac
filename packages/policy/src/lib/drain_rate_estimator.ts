/** Estimates the wait in a queue from the gaps between dispatches. */

/** Weight of the newest gap between two dispatches: seven gaps outweigh all earlier ones. */
const GAP_WEIGHT = 0.15;

/**
 * Handles overload of copies that several senders share: how fast a sender's own queue drains
 * depends on the queues of all the others, which it can't observe.
 *
 * @example
 * const drainRate = new DrainRateEstimator(120);
 * drainRate.onSent(clock.monotonicMs(), queue.length);
 * drainRate.waitMs(queue.length, clock.monotonicMs());
 * @public
 */
export class DrainRateEstimator {
  private gapMs: number;
  /** Since when requests have been waiting without a dispatch. */
  private waitingSinceMs: number | undefined;

  /** @param initialGapMs - Expected time between two dispatches, until some have been observed. */
  constructor(initialGapMs: number) {
    this.gapMs = initialGapMs;
  }

  /** Records that a request has been queued. */
  onWaiting(nowMs: number): void {
    this.waitingSinceMs ??= nowMs;
  }

  /** Records a dispatch from the queue; `waiting` requests are still queued. */
  onSent(nowMs: number, waiting: number): void {
    if (this.waitingSinceMs !== undefined) {
      this.gapMs += GAP_WEIGHT * (nowMs - this.waitingSinceMs - this.gapMs);
    }
    this.waitingSinceMs = waiting > 0 ? nowMs : undefined;
  }

  /** Records that the queue is empty. */
  onEmpty(): void {
    this.waitingSinceMs = undefined;
  }

  /** Expected time until `ahead` requests and one more have been dispatched. */
  waitMs(ahead: number, nowMs: number): number {
    const stalledMs = this.waitingSinceMs === undefined ? 0 : nowMs - this.waitingSinceMs;
    return (ahead + 1) * Math.max(this.gapMs, stalledMs) - Math.min(stalledMs, this.gapMs);
  }
}
