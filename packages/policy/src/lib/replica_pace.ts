/** Expected pace of a replica: how long work takes there, as a factor of the usual time. */

/** What the responses of one start of a replica have shown of its pace. @public */
export interface ReplicaPace {
  /** Moving average of the reported paces. */
  readonly mean: number;
  readonly latest: number;
  /** Monotonic time of the latest report. */
  readonly latestMs: number;
  /** Measured time of work as a factor of what the reports promised; at least 1. */
  readonly correction: number;
}

/** Lowest pace that is believed: a lower one would draw all requests to the replica. */
const MIN_PACE = 0.3;
const MAX_PACE = 50;
/** Time constant of the moving average, in milliseconds. */
const MEAN_TIME_MS = 4000;
/** Least weight of a new report in the moving average. */
const MIN_MEAN_WEIGHT = 0.05;
/** Age at which the latest report has lost most of its weight against the average. */
const LATEST_TIME_MS = 250;
/** Weight of a new measurement in the correction. */
const CORRECTION_WEIGHT = 0.1;
const MAX_CORRECTION = 20;

/**
 * Adds a report.
 *
 * @param before - Undefined before the first report.
 * @param reported - Factor; 1 is the usual pace, 2 means that work takes twice as long.
 * @example
 * replica.pace = nextPace(replica.pace, 2.5, clock.monotonicMs());
 * @public
 */
export function nextPace(
  before: ReplicaPace | undefined,
  reported: number,
  nowMs: number,
): ReplicaPace {
  const pace = Math.min(MAX_PACE, Math.max(MIN_PACE, reported));
  if (before === undefined) return {mean: pace, latest: pace, latestMs: nowMs, correction: 1};
  const elapsedMs = Math.max(0, nowMs - before.latestMs);
  const weight = Math.max(MIN_MEAN_WEIGHT, 1 - Math.exp(-elapsedMs / MEAN_TIME_MS));
  const mean = before.mean + weight * (pace - before.mean);
  return {mean, latest: pace, latestMs: nowMs, correction: before.correction};
}

/**
 * Pace to expect now. Handles paces that change many times a second: an old report says little more
 * than the average, so that gateways with old reports don't all prefer the same replica.
 *
 * @example
 * const prefillMs = usualPrefillMs * expectedPace(replica.pace, clock.monotonicMs());
 * @public
 */
export function expectedPace(pace: ReplicaPace, nowMs: number): number {
  const freshness = Math.exp(-Math.max(0, nowMs - pace.latestMs) / LATEST_TIME_MS);
  return (pace.mean + freshness * (pace.latest - pace.mean)) * pace.correction;
}

/**
 * Corrects the pace by a measurement. Handles a replica that reports a better pace than it has.
 *
 * @param usualMs - Time that the work takes at the usual pace.
 * @param measuredMs - Time that it took.
 * @example
 * replica.pace = correctPace(replica.pace, 80, firstEventMs);
 * @public
 */
export function correctPace(pace: ReplicaPace, usualMs: number, measuredMs: number): ReplicaPace {
  const promisedMs = usualMs * pace.latest;
  if (promisedMs <= 0) return pace;
  const ratio = Math.min(MAX_CORRECTION, Math.max(1, measuredMs / promisedMs));
  const correction = pace.correction + CORRECTION_WEIGHT * (ratio - pace.correction);
  return {...pace, correction};
}
