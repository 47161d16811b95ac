/** Order in which generations wait for a replica, and when one is turned away. */

/** A request that waits. @public */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedMs: number;
  /** Monotonic time at which it must be sent for its first event to be on time. */
  readonly sendByMs: number;
  /** Monotonic time after which its caller has left. */
  readonly abandonedMs: number;
}

/** How a waiting request stands at a moment. @public */
export type QueuedRequestState = 'on_time' | 'late' | 'hopeless';

/**
 * Share of the time between the target and the caller's leaving in which a late request may still
 * wait. Later ones would more often be left than served.
 */
const MAX_LATENESS_SHARE = 0.35;

/** @public */
export function queuedRequestState(request: QueuedRequest, nowMs: number): QueuedRequestState {
  if (nowMs <= request.sendByMs) return 'on_time';
  return nowMs <= latestSendMs(request) ? 'late' : 'hopeless';
}

function latestSendMs({sendByMs, abandonedMs: uselessMs}: QueuedRequest): number {
  return sendByMs + MAX_LATENESS_SHARE * (uselessMs - sendByMs);
}

/**
 * Share of its time up to the target that a request may be expected to spend in the line. A longer
 * line serves no more requests, but each of them at the last moment, behind a replica's backlog.
 */
const MAX_QUEUE_TIME_SHARE = 0.6;

/**
 * True when a request that can't be sent now should wait for `waitMs`. Answers overload that lasts:
 * a request that would be turned away at its target is turned away when it comes.
 *
 * @example
 * if (!mayWait(req, pace.waitMs(ahead, nowMs), nowMs)) refuse(req);
 * @public
 */
export function shouldQueue(request: QueuedRequest, waitMs: number, nowMs: number): boolean {
  const untilMs = nowMs <= request.sendByMs ? request.sendByMs : latestSendMs(request);
  return waitMs <= MAX_QUEUE_TIME_SHARE * (untilMs - nowMs);
}

/**
 * True for a request that would still be on time at an idle replica, but not behind `backlogMs` of
 * work. Where others wait that would be, its place is theirs.
 *
 * @example
 * if (isLateBehind(req, choice.backlogMs, nowMs) && othersWait) refuse(req);
 * @public
 */
export function wouldBeLateBehind(
  request: QueuedRequest,
  backlogMs: number,
  nowMs: number,
): boolean {
  return nowMs <= request.sendByMs && nowMs + backlogMs > request.sendByMs;
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
export function compareQueuedRequests(a: QueuedRequest, b: QueuedRequest, nowMs: number): number {
  const aIsLate = nowMs > a.sendByMs ? 1 : 0;
  const bIsLate = nowMs > b.sendByMs ? 1 : 0;
  if (aIsLate !== bIsLate) return aIsLate - bIsLate;
  if (a.priority !== b.priority) return a.priority - b.priority;
  return a.sendByMs - b.sendByMs;
}

/** Least urgent rank that a model replica knows; 0 is the most urgent. */
const LOWEST_ENGINE_PRIORITY = 9;

/**
 * Rank of a request at a model replica: one whose target is far off lets the others go first there,
 * too.
 *
 * @example
 * engineUrgency({priority: 1, patient: true}); // 4
 * @public
 */
export function enginePriority(request: {
  readonly priority: number;
  readonly isDelayTolerant: boolean;
}): number {
  return Math.min(LOWEST_ENGINE_PRIORITY, request.priority * 2 + (request.isDelayTolerant ? 2 : 0));
}
