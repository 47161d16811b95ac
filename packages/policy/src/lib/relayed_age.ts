/** Dates what another process relays, without comparing the clocks of the two. */

/** A message's time on this process's clock, as the relaying process returns it. @public */
export interface TimeEcho {
  /** When this process sent the message. */
  readonly sentMs: number;
  /** Time from its arrival until the echo was sent. */
  readonly heldMs: number;
}

/**
 * Earliest time, on this process's clock, at which the contents of a message sent together with
 * `echo` were current, however long it then waited.
 *
 * @param ageMs - Age of the contents when the message was sent.
 * @returns Negative infinity when it isn't known.
 * @example
 * const asOfMs = relayedAsOfMs({sentMs: 1000, heldMs: 200}, 50, 9000); // 1150
 * @public
 */
export function relayedAsOfMs(echo: TimeEcho | undefined, ageMs: number, nowMs: number): number {
  if (echo === undefined) return Number.NEGATIVE_INFINITY;
  return Math.min(nowMs, echo.sentMs + echo.heldMs) - ageMs;
}
