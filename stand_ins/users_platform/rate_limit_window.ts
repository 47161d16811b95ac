/** What a replica that has named a limit may get. */

const WINDOW_MS = 4000;
/** Requests in a window: so many times what the limit allows, and some more. */
const OVERSHOOT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
/** Gateways have heard of a limit by then, and what they had sent before has arrived. */
const PROPAGATION_MS = 1000;

/**
 * Most requests in a window beyond what the limit allows; negative when it was kept.
 *
 * @param arrivalsMs - When requests came, in order.
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
