/** Order in which generations wait for a replica, and when one is turned away. */

/** A request that waits. @public */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedMs: number;
  /** Monotonic time at which it must be sent for its first event to be on time. */
  readonly sendByMs: number;
  /** Monotonic time after which its caller has left. */
  readonly uselessMs: number;
}

/** How a waiting request stands at a moment. @public */
export type WaitingState = 'on_time' | 'late' | 'hopeless';

/**
 * Share of the time between the target and the caller's leaving in which a late request may still
 * wait. Later ones would more often be left than served.
 */
const LATE_SHARE = 0.35;

/** @public */
export function waitingState(waiting: Waiting, nowMs: number): WaitingState {
  if (nowMs <= waiting.sendByMs) return 'on_time';
  const lateUntilMs = waiting.sendByMs + LATE_SHARE * (waiting.uselessMs - waiting.sendByMs);
  return nowMs <= lateUntilMs ? 'late' : 'hopeless';
}

/**
 * Sorts what can still be on time before what is late, then the more urgent first, then the one
 * whose time runs out first. Answers overload: first come, first served would make every request
 * late once the line is longer than the target.
 *
 * @example
 * line.sort((a, b) => compareWaiting(a, b, clock.monotonicMs()));
 * @public
 */
export function compareWaiting(a: Waiting, b: Waiting, nowMs: number): number {
  const aLate = nowMs > a.sendByMs ? 1 : 0;
  const bLate = nowMs > b.sendByMs ? 1 : 0;
  if (aLate !== bLate) return aLate - bLate;
  if (a.priority !== b.priority) return a.priority - b.priority;
  return a.sendByMs - b.sendByMs;
}
