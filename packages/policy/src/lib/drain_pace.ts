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
export class DrainPace {
  private gapMs: number;
  /** Since when something has been waiting without a send. */
  private sinceMs: number | undefined;

  /** @param firstGapMs - Expected time between two sends before any has been seen. */
  constructor(firstGapMs: number) {
    this.gapMs = firstGapMs;
  }

  /** Takes in that a request has begun to wait. */
  onWaiting(nowMs: number): void {
    this.sinceMs ??= nowMs;
  }

  /** Takes in a send from the line; `waiting` are those that still wait. */
  onSent(nowMs: number, waiting: number): void {
    if (this.sinceMs !== undefined) {
      this.gapMs += GAP_WEIGHT * (nowMs - this.sinceMs - this.gapMs);
    }
    this.sinceMs = waiting > 0 ? nowMs : undefined;
  }

  /** Takes in that nothing waits any more. */
  onEmpty(): void {
    this.sinceMs = undefined;
  }

  /** Time until `ahead` requests and one more have been sent. */
  waitMs(ahead: number, nowMs: number): number {
    const stalledMs = this.sinceMs === undefined ? 0 : nowMs - this.sinceMs;
    return (ahead + 1) * Math.max(this.gapMs, stalledMs) - Math.min(stalledMs, this.gapMs);
  }
}
