/** Computes the times after which a request is late, useless or past its deadline. */

/** @public */
export interface RequestTimeInputs {
  readonly arrivedMs: number;
  /** Time that the caller has already waited in earlier attempts, which were refused. */
  readonly priorWaitMs: number;
  /** Time that both the caller and the operator allow for the request. */
  readonly limitMs: number;
  readonly targetLatencyMs: number;
  /** Target for the gap between two events of a stream; 0 for other kinds. */
  readonly targetGapMs: number;
  /** Expected time from dispatch to the first event on an idle replica. */
  readonly firstEventMs: number;
}

/** @public */
export interface RequestTimes {
  readonly deadlineMs: number;
  /** Latest time of dispatch that still meets the target. */
  readonly sendByMs: number;
  /** Time after which a dispatch finds the caller gone. */
  readonly abandonedMs: number;
}

/** A caller leaves a stream that sends no event for the longest of these three times. */
const MIN_CALLER_WAIT_MS = 2000;
const CALLER_WAIT_TARGET_LATENCIES = 4;
const CALLER_WAIT_TARGET_GAPS = 8;
/** Time for two trips through the fleet and the caller's network. */
const NETWORK_DELAY_MS = 25;

/**
 * @example
 * const {sendByMs} = requestTimes({arrivedMs: now, limitMs: 5000, ...});
 * @public
 */
export function requestTimes(inputs: RequestTimeInputs): RequestTimes {
  const {arrivedMs, priorWaitMs, limitMs, targetLatencyMs, targetGapMs, firstEventMs} = inputs;
  const latestFirstEventMs = Math.min(targetLatencyMs, limitMs) - priorWaitMs;
  const callerWaitMs = Math.max(
    MIN_CALLER_WAIT_MS,
    CALLER_WAIT_TARGET_LATENCIES * targetLatencyMs,
    CALLER_WAIT_TARGET_GAPS * targetGapMs,
  );
  const deadlineMs = arrivedMs + limitMs;
  return {
    deadlineMs,
    sendByMs: arrivedMs + latestFirstEventMs - firstEventMs - NETWORK_DELAY_MS,
    abandonedMs: Math.min(deadlineMs, arrivedMs + callerWaitMs) - firstEventMs,
  };
}
