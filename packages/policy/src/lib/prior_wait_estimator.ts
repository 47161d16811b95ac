/** Recognises callers that retry after a refusal by the time that their request has left. */

/** In the users' standard workloads, first attempts state 85 to 100% of a route's longest time. */
const MIN_INITIAL_SHARE = 0.85;
/** A longest time stated before the previous window no longer counts. */
const WINDOW_MS = 30_000;

/**
 * Handles retries during overload: the target counts from a caller's first attempt, so a retry is
 * mostly late already and must not displace a request that can still be served on time.
 *
 * @example
 * estimator.priorWaitMs('drafts', 3500, nowMs); // 750, if first attempts state up to 5000
 * @public
 */
export class PriorWaitEstimator {
  private readonly routes = new Map<
    string,
    {currentMaxMs: number; previousMaxMs: number; windowStartMs: number}
  >();

  /** Least time that a caller with `remainingMs` left has waited before this attempt. */
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
