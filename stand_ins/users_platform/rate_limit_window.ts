/** How many requests a replica with a rate limit may get. */

const WINDOW_MS = 4000;
/** A window may hold this multiple of what the limit allows, plus a few requests. */
const OVERSHOOT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
/** Time until all gateways know a limit, and requests that they sent before have arrived. */
const PROPAGATION_MS = 1000;

/**
 * Most requests in a window above what the limit allows; zero or less when it was kept.
 *
 * @param arrivalsMs - Arrival times of requests, in order.
 */
export function maxOverLimit(
  arrivalsMs: readonly number[],
  perS: number,
  limitSentMs: number,
): number {
  const allowed = OVERSHOOT_FACTOR * perS * (WINDOW_MS / 1000) + EXTRA_REQUESTS;
  const countedMs = arrivalsMs.filter(atMs => atMs > limitSentMs + PROPAGATION_MS);
  let maxInWindow = 0;
  for (const [index, fromMs] of countedMs.entries()) {
    const inWindow = countedMs.slice(index).filter(atMs => atMs < fromMs + WINDOW_MS).length;
    maxInWindow = Math.max(maxInWindow, inWindow);
  }
  return maxInWindow - allowed;
}
