/** What a replica that has named a limit may get. */

const WINDOW_MS = 4000;
/** Requests in a window: so many times what the limit allows, and some more. */
const OVERSHOOT = 1.5;
const SLACK = 5;
/** Gateways have heard of a limit by then, and what they had sent before has arrived. */
const HEARD_MS = 1000;

/**
 * Most requests in a window beyond what the limit allows; negative when it was kept.
 *
 * @param arrivalsMs - When requests came, in order.
 */
export function mostOverLimit(
  arrivalsMs: readonly number[],
  perS: number,
  namedMs: number,
): number {
  const allowed = OVERSHOOT * perS * (WINDOW_MS / 1000) + SLACK;
  const counted = arrivalsMs.filter(atMs => atMs > namedMs + HEARD_MS);
  let most = 0;
  for (const [index, fromMs] of counted.entries()) {
    const within = counted.slice(index).filter(atMs => atMs < fromMs + WINDOW_MS).length;
    most = Math.max(most, within);
  }
  return most - allowed;
}
