/** Tells callers that have been refused before from new ones, by the time that they have left. */

/** Callers of one route state 85 to 100% of its longest time at first, on the users' standard days. */
const MIN_INITIAL_SHARE = 0.85;
/** A longest time that was stated longer ago no longer counts. */
const WINDOW_MS = 30_000;

/**
 * Answers returns in overload: the target counts from a caller's first attempt, so that one who comes
 * back is mostly late already and must not displace one who can still be served on time.
 *
 * @example
 * habit.waitedBeforeMs('drafts', 3500, nowMs); // 750, where callers state up to 5000 at first
 * @public
 */
export class PriorWaitEstimator {
  private readonly routes = new Map<
    string,
    {currentMaxMs: number; previousMaxMs: number; windowStartMs: number}
  >();

  /** Least time that a caller with `leftMs` left has waited before it sent this attempt. */
  priorWaitMs(route: string, remainingMs: number, nowMs: number): number {
    const window = this.routes.get(route) ?? {
      currentMaxMs: 0,
      previousMaxMs: 0,
      windowStartMs: nowMs,
    };
    this.routes.set(route, window);
    if (nowMs - window.windowStartMs > WINDOW_MS) {
      window.previousMaxMs = window.currentMaxMs;
      window.currentMaxMs = 0;
      window.windowStartMs = nowMs;
    }
    window.currentMaxMs = Math.max(window.currentMaxMs, remainingMs);
    return Math.max(
      0,
      MIN_INITIAL_SHARE * Math.max(window.currentMaxMs, window.previousMaxMs) - remainingMs,
    );
  }
}
