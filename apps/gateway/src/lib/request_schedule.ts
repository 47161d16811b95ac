/** Times by which a caller's request must be sent, served and given up. */
import type {CallerHeaders} from '@jasminepost/platform';
import {requestTimes, type RequestTimes} from '@jasminepost/policy';
import type {Route} from '@jasminepost/serving';
import type {GatewayContext} from './gateway_context.ts';

/** Minimum time that a replica needs for a request; with less left, it is not retried. @internal */
export const MIN_SERVICE_MS = 40;
/** From this target latency on there is time to load a model from a replica's disk. */
const DELAY_TOLERANT_TARGET_MS = 3500;

/** True when a request leaves time to load its model first. @internal */
export function isDelayTolerant({targetLatencyMs}: Route): boolean {
  return targetLatencyMs >= DELAY_TOLERANT_TARGET_MS;
}

/**
 * Computes the times of a request from its headers, its route, and what is known of its model.
 *
 * @param arrivedMs - Monotonic time at which the request arrived.
 * @internal
 */
export function scheduleRequest(
  ctx: Pick<GatewayContext, 'estimator' | 'priorWait'>,
  {deadlineMs, generation}: CallerHeaders,
  route: Route,
  arrivedMs: number,
): RequestTimes {
  const requestedMs = deadlineMs ?? route.timeoutMs;
  return requestTimes({
    arrivedMs,
    priorWaitMs: ctx.priorWait.priorWaitMs(route.name, requestedMs, arrivedMs),
    limitMs: Math.min(requestedMs, route.timeoutMs),
    targetLatencyMs: route.targetLatencyMs,
    targetGapMs: route.targetGapMs,
    firstEventMs:
      generation === undefined
        ? MIN_SERVICE_MS
        : ctx.estimator.estimateMs(generation.model, generation.tokensIn),
  });
}
