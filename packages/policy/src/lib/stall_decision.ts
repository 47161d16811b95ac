/** Decides whether a stream that gets no events is moved to another replica. */

/** What is known of an attempt without events; times in milliseconds. @public */
export interface StallInput {
  /** False for streams that can't be resumed, and for streams in an unfit state. */
  readonly canMove: boolean;
  /** Factor of the usual time that work takes on the replica; undefined when not reported. */
  readonly pace: number | undefined;
  readonly hadEvent: boolean;
  /** Time since the last event, or since the send before the first event. */
  readonly silentMs: number;
  /** Time from the send to the first event that was expected at the send. */
  readonly expectedFirstEventMs: number;
  readonly targetGapMs: number;
  /** Time left until the latency target of the first event; negative once it is missed. */
  readonly targetLeftMs: number;
  /** Time left for another attempt until the caller's deadline. */
  readonly remainingMs: number;
  readonly attemptsLeft: number;
}

/** @public */
export type StallReason = 'no_first_event' | 'no_next_event';

/** @public */
export type StallDecision =
  /** The silence is not yet long enough; it may be in `checkInMs`. */
  | {readonly kind: 'wait'; readonly checkInMs: number}
  | {readonly kind: 'move'; readonly reason: StallReason; readonly alternativeMs: number}
  /** The stream stays where it is, whatever happens. */
  | {readonly kind: 'never'};

/**
 * Silence after which a stream is moved. A replica short of memory interrupts a stream for up to a
 * second and goes on with it; a move would then only repeat the prefill.
 */
const MIN_GAP_SILENCE_MS = 1200;
const SILENT_GAPS = 3;
/** The same before the first event, as a factor of the expected time and at least. */
const LATE_FIRST_EVENT_FACTOR = 4;
const MIN_FIRST_EVENT_SILENCE_MS = 400;
/** A stream silent for some time is expected to stay silent as long again; a move must gain this. */
const MIN_GAIN_FACTOR = 2;
/** Time for the close, the send and the way of the next event. */
const MOVE_MS = 25;
/** Interval of checks while no other replica is worth a move. */
const RECHECK_MS = 200;

/**
 * Handles replicas that stall or slow down under a stream.
 *
 * @param findAlternativeMs - Expected time from a send to the next event at the best other replica;
 *     undefined when none has capacity. Called only when the silence is long enough.
 * @example
 * const decision = decideStall({canMove: true, pace: 0.7, silentMs: 1300, ...}, findAlternative);
 * @public
 */
export function decideStall(
  input: StallInput,
  findAlternativeMs: () => number | undefined,
): StallDecision {
  const {canMove, pace, silentMs, remainingMs, attemptsLeft} = input;
  if (!canMove || pace === undefined || attemptsLeft <= 0) return {kind: 'never'};
  const limitMs = silenceLimitMs(input);
  if (silentMs < limitMs) return {kind: 'wait', checkInMs: limitMs - silentMs};
  const alternativeMs = findAlternativeMs() ?? Number.POSITIVE_INFINITY;
  const moveMs = alternativeMs + MOVE_MS;
  if (moveMs * MIN_GAIN_FACTOR > silentMs || moveMs >= remainingMs) {
    return {kind: 'wait', checkInMs: RECHECK_MS};
  }
  const reason = input.hadEvent ? 'no_next_event' : 'no_first_event';
  return {kind: 'move', reason, alternativeMs};
}

/**
 * Before the first event, the stream waits as long as a move can still meet the latency target,
 * because a move costs another prefill. Once the target is missed, only the expected time counts.
 */
function silenceLimitMs(input: StallInput): number {
  const {hadEvent, silentMs, expectedFirstEventMs, targetGapMs, targetLeftMs} = input;
  if (hadEvent) return Math.max(MIN_GAP_SILENCE_MS, SILENT_GAPS * targetGapMs);
  const lateMs = Math.max(
    MIN_FIRST_EVENT_SILENCE_MS,
    LATE_FIRST_EVENT_FACTOR * expectedFirstEventMs,
  );
  const lastInTimeMs = silentMs + targetLeftMs - expectedFirstEventMs - MOVE_MS;
  return Math.max(lateMs, targetLeftMs > 0 ? lastInTimeMs : 0);
}
