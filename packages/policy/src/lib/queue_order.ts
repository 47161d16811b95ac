/** Order in which queued generations are dispatched, and when one is refused. */

/** A request that waits for a replica. @public */
export interface QueuedRequest {
  /** Goes before its own priority; undefined without an organisation, which counts as 0. */
  readonly organisationPriority: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedMs: number;
  /** Latest monotonic time of dispatch at which the first event meets the target. */
  readonly sendByMs: number;
  /** Monotonic time after which a dispatch finds the caller gone. */
  readonly abandonedMs: number;
}

/** Whether a queued request can still meet its target, or at least its caller. @public */
export type QueuedRequestState = 'on_time' | 'late' | 'hopeless';

/**
 * Share of the time between the target and the caller's departure during which a late request may
 * still wait. After that, most callers would leave before they are served.
 */
const MAX_LATENESS_SHARE = 0.35;

/** @public */
export function queuedRequestState(request: QueuedRequest, nowMs: number): QueuedRequestState {
  if (nowMs <= request.sendByMs) return 'on_time';
  return nowMs <= latestSendMs(request) ? 'late' : 'hopeless';
}

function latestSendMs({sendByMs, abandonedMs}: QueuedRequest): number {
  return sendByMs + MAX_LATENESS_SHARE * (abandonedMs - sendByMs);
}

/**
 * Share of the time until the target that a request may be expected to spend in the queue. A longer
 * queue serves no more requests; it dispatches each at the last moment, behind a replica's backlog.
 */
const MAX_QUEUE_TIME_SHARE = 0.6;

/**
 * True when a request that can't be dispatched now should be queued for an expected `waitMs`.
 * Handles lasting overload: a request that would be refused at its target is refused on arrival.
 *
 * @example
 * if (!shouldQueue(req, drainRate.waitMs(ahead, nowMs), nowMs)) refuse(req);
 * @public
 */
export function shouldQueue(request: QueuedRequest, waitMs: number, nowMs: number): boolean {
  const untilMs = nowMs <= request.sendByMs ? request.sendByMs : latestSendMs(request);
  return waitMs <= MAX_QUEUE_TIME_SHARE * (untilMs - nowMs);
}

/**
 * True for a request that would be on time on an idle replica, but not behind `backlogMs` of work.
 * If others are queued that would be on time there, they should get its slot.
 *
 * @example
 * if (wouldBeLateBehind(req, choice.backlogMs, nowMs) && othersWait) refuse(req);
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
 * Orders requests that can still be on time before late ones, then by the priority of their
 * organisation, by their own, and by the latest time of dispatch. Handles overload: in order of
 * arrival, every request would be late once the queue is longer than the target.
 *
 * @example
 * queue.sort((a, b) => compareQueuedRequests(a, b, clock.monotonicMs()));
 * @public
 */
export function compareQueuedRequests(a: QueuedRequest, b: QueuedRequest, nowMs: number): number {
  const aIsLate = nowMs > a.sendByMs ? 1 : 0;
  const bIsLate = nowMs > b.sendByMs ? 1 : 0;
  if (aIsLate !== bIsLate) return aIsLate - bIsLate;
  const organisations = (a.organisationPriority ?? 0) - (b.organisationPriority ?? 0);
  if (organisations !== 0) return organisations;
  if (a.priority !== b.priority) return a.priority - b.priority;
  return a.sendByMs - b.sendByMs;
}

/** Lowest priority that a replica accepts; 0 is the highest. */
const LOWEST_ENGINE_PRIORITY = 9;

/**
 * Priorities on a replica for the requests of each organisation. With three, the ten priorities
 * there tell three priorities of organisations apart; any lower ones share the last.
 */
const ENGINE_LEVELS_PER_ORGANISATION = 3;

/**
 * Priority of a request on a replica: there, too, a delay-tolerant request yields to the others, and
 * the priority of the organisation goes before both.
 *
 * @example
 * enginePriority({organisationPriority: undefined, priority: 1, isDelayTolerant: true}); // 4
 * enginePriority({organisationPriority: 1, priority: 1, isDelayTolerant: true}); // 5
 * @public
 */
export function enginePriority(request: {
  readonly organisationPriority: number | undefined;
  readonly priority: number;
  readonly isDelayTolerant: boolean;
}): number {
  const level = request.priority + (request.isDelayTolerant ? 1 : 0);
  const {organisationPriority} = request;
  const levels = ENGINE_LEVELS_PER_ORGANISATION;
  const priority =
    organisationPriority === undefined
      ? 2 * level
      : levels * organisationPriority + Math.min(levels - 1, level);
  return Math.min(LOWEST_ENGINE_PRIORITY, priority);
}
