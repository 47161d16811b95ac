/** Whether a process may choose a replica by the list of replicas that it knows. */

/** Time in which a request reaches the replica that was chosen for it. */
const TRANSIT_MS = 300;
/** Longest wait for a newer list; without a response by then, the store counts as unavailable. */
const MAX_WAIT_MS = 500;

/**
 * A process that stood still, or whose source of changes ended, knows at once that its list is old
 * and gets a newer one within a round trip. Choices wait for that. They don't wait while the store
 * is unavailable: it accepts no changes then, and replicas are to be used as they were.
 *
 * @example
 * const limit = new ListAgeLimit(bounds.drainMs);
 * if (limit.mayChoose(listAgeMs, clock.monotonicMs())) choose(replicas);
 * @public
 */
export class ListAgeLimit {
  private readonly maxAgeMs: number;
  /** When the list was first found to be too old; undefined while it is not. */
  private outdatedSinceMs: number | undefined;

  /** @param drainMs - Time after which a replica that leaves may get no more requests. */
  constructor(drainMs: number) {
    this.maxAgeMs = drainMs - TRANSIT_MS;
  }

  /** @param ageMs - Time since the list was known to be current. */
  mayChoose(ageMs: number, nowMs: number): boolean {
    if (ageMs <= this.maxAgeMs) {
      this.outdatedSinceMs = undefined;
      return true;
    }
    this.outdatedSinceMs ??= nowMs;
    return nowMs - this.outdatedSinceMs >= MAX_WAIT_MS;
  }
}
