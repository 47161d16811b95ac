/** Pace at which a line empties, learned from the sends themselves. */

/** Weight of the newest gap between two sends: seven of them outweigh what was before. */
const GAP_WEIGHT = 0.15;

/**
 * Answers overload on copies that several senders share: how fast a sender's own line empties depends
 * on the lines of all the others, which it does not see.
 *
 * @example
 * const pace = new DrainPace(120);
 * pace.onSent(clock.monotonicMs(), line.length);
 * pace.waitMs(line.length, clock.monotonicMs());
 * @public
 */
export class DrainRateEstimator {
  private gapMs: number;
  /** Since when something has been waiting without a send. */
  private waitingSinceMs: number | undefined;

  /** @param initialGapMs - Expected time between two sends before any has been seen. */
  constructor(initialGapMs: number) {
    this.gapMs = initialGapMs;
  }

  /** Takes in that a request has begun to wait. */
  onWaiting(nowMs: number): void {
    this.waitingSinceMs ??= nowMs;
  }

  /** Takes in a send from the line; `waiting` are those that still wait. */
  onSent(nowMs: number, waiting: number): void {
    if (this.waitingSinceMs !== undefined) {
      this.gapMs += GAP_WEIGHT * (nowMs - this.waitingSinceMs - this.gapMs);
    }
    this.waitingSinceMs = waiting > 0 ? nowMs : undefined;
  }

  /** Takes in that nothing waits any more. */
  onEmpty(): void {
    this.waitingSinceMs = undefined;
  }

  /** Time until `ahead` requests and one more have been sent. */
  waitMs(ahead: number, nowMs: number): number {
    const stalledMs = this.waitingSinceMs === undefined ? 0 : nowMs - this.waitingSinceMs;
    return (ahead + 1) * Math.max(this.gapMs, stalledMs) - Math.min(stalledMs, this.gapMs);
  }
}
