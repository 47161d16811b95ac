/** Tells callers that have been refused before from new ones, by the time that they have left. */

/** Callers of one route state 85 to 100% of its longest time at first, on the users' standard days. */
const FIRST_SHARE = 0.85;
/** A longest time that was stated longer ago no longer counts. */
const MEMORY_MS = 30_000;

/**
 * Answers returns in overload: the target counts from a caller's first attempt, so that one who comes
 * back is mostly late already and must not displace one who can still be served on time.
 *
 * @example
 * habit.waitedBeforeMs('drafts', 3500, nowMs); // 750, where callers state up to 5000 at first
 * @public
 */
export class DeadlineHabit {
  private readonly routes = new Map<string, {current: number; last: number; sinceMs: number}>();

  /** Least time that a caller with `leftMs` left has waited before it sent this attempt. */
  waitedBeforeMs(route: string, leftMs: number, nowMs: number): number {
    const seen = this.routes.get(route) ?? {current: 0, last: 0, sinceMs: nowMs};
    this.routes.set(route, seen);
    if (nowMs - seen.sinceMs > MEMORY_MS) {
      seen.last = seen.current;
      seen.current = 0;
      seen.sinceMs = nowMs;
    }
    seen.current = Math.max(seen.current, leftMs);
    return Math.max(0, FIRST_SHARE * Math.max(seen.current, seen.last) - leftMs);
  }
}
