/** Moments in a request's life that decide whether it is still worth sending. */

/** @public */
export interface RequestTimeInputs {
  readonly arrivedMs: number;
  /** Time that the caller had waited before, in an attempt that was refused. */
  readonly priorWaitMs: number;
  /** Time that the caller, and the operator, let the request take. */
  readonly limitMs: number;
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream; 0 for other kinds. */
  readonly targetGapMs: number;
  /** Expected time from sending to the first event, on an idle replica. */
  readonly firstEventMs: number;
}

/** @public */
export interface RequestTimes {
  readonly deadlineMs: number;
  /** Last moment at which a send still meets the target. */
  readonly sendByMs: number;
  /** Moment after which a send finds the caller gone. */
  readonly abandonedMs: number;
}

/** A caller leaves a stream that shows no event for the longest of these three. */
const MIN_PATIENCE_MS = 2000;
const MAX_WAIT_TARGET_LATENCIES = 4;
const MAX_WAIT_TARGET_GAPS = 8;
/** Two trips across the fleet and the caller's network. */
const NETWORK_DELAY_MS = 25;

/**
 * @example
 * const {sendByMs} = requestTimes({arrivedMs: now, limitMs: 5000, ...});
 * @public
 */
export function requestTimes(inputs: RequestTimeInputs): RequestTimes {
  const {
    arrivedMs,
    priorWaitMs: waitedBeforeMs,
    limitMs,
    targetLatencyMs,
    targetGapMs,
    firstEventMs,
  } = inputs;
  const latestFirstEventMs = Math.min(targetLatencyMs, limitMs) - waitedBeforeMs;
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    MAX_WAIT_TARGET_LATENCIES * targetLatencyMs,
    MAX_WAIT_TARGET_GAPS * targetGapMs,
  );
  const deadlineMs = arrivedMs + limitMs;
  return {
    deadlineMs,
    sendByMs: arrivedMs + latestFirstEventMs - firstEventMs - NETWORK_DELAY_MS,
    abandonedMs: Math.min(deadlineMs, arrivedMs + patienceMs) - firstEventMs,
  };
}
