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
  /** Monotonic time of the latest measurement. */
  readonly correctedMs: number;
}

/** Lowest pace that is believed: a lower one would draw all requests to the replica. */
const MIN_PACE = 0.3;
const MAX_PACE = 50;
/** Pace of a replica of which nothing recent is known: reports are factors of the usual time. */
const USUAL_PACE = 1;
/** Time constant of the moving average, in milliseconds. */
const MEAN_TIME_MS = 4000;
/** Least weight of a new report in the moving average. */
const MIN_MEAN_WEIGHT = 0.05;
/** Age at which the latest report has lost most of its weight against the average. */
const LATEST_TIME_MS = 250;
/**
 * Time constant with which averages and corrections are forgotten. Without it, a replica that is
 * avoided gets no requests, so that nothing shows that it has recovered.
 */
const FORGET_TIME_MS = 30_000;
/**
 * Weight of the first event of one request in the correction: other work may have delayed it. With
 * 27 gateways each measures a replica every 10 s or less often; 0.25 was forgotten in between.
 */
const CORRECTION_WEIGHT = 0.5;
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
  if (before === undefined) {
    return {mean: pace, latest: pace, latestMs: nowMs, correction: 1, correctedMs: nowMs};
  }
  const elapsedMs = Math.max(0, nowMs - before.latestMs);
  const weight = Math.max(MIN_MEAN_WEIGHT, 1 - Math.exp(-elapsedMs / MEAN_TIME_MS));
  const mean = before.mean + weight * (pace - before.mean);
  return {...before, mean, latest: pace, latestMs: nowMs};
}

/**
 * Pace to expect from the reports alone. Handles paces that change many times a second: an old
 * report says little more than the average, so that gateways with old reports don't all prefer the
 * same replica.
 *
 * @example
 * const serviceMs = (replica.serviceMs * reportedPace(pace, nowMs)) / pace.mean;
 * @public
 */
export function reportedPace({mean, latest, latestMs}: ReplicaPace, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - latestMs);
  const known = mean + Math.exp(-ageMs / LATEST_TIME_MS) * (latest - mean);
  return USUAL_PACE + Math.exp(-ageMs / FORGET_TIME_MS) * (known - USUAL_PACE);
}

/**
 * Pace to expect from the reports and from measured times.
 *
 * @example
 * const prefillMs = usualPrefillMs * expectedPace(replica.pace, clock.monotonicMs());
 * @public
 */
export function expectedPace(pace: ReplicaPace, nowMs: number): number {
  return reportedPace(pace, nowMs) * correctionAt(pace, nowMs);
}

/**
 * Corrects the pace by a measurement. Handles a replica that reports a better pace than it has.
 * Ratios are averaged as logarithms, so that one slow response doesn't outweigh many usual ones.
 *
 * @param usualMs - Time that the work takes at the usual pace.
 * @param measuredMs - Time that it took, or has taken so far.
 * @param weight - From 0 to 1; 1 replaces earlier measurements.
 * @example
 * replica.pace = correctPace(replica.pace, 80, firstEventMs, clock.monotonicMs());
 * @public
 */
export function correctPace(
  pace: ReplicaPace,
  usualMs: number,
  measuredMs: number,
  nowMs: number,
  weight = CORRECTION_WEIGHT,
): ReplicaPace {
  const promisedMs = usualMs * pace.latest;
  if (promisedMs <= 0) return pace;
  const ratio = Math.min(MAX_CORRECTION, Math.max(1, measuredMs / promisedMs));
  const before = correctionAt(pace, nowMs);
  return {...pace, correction: before * (ratio / before) ** weight, correctedMs: nowMs};
}

function correctionAt({correction, correctedMs}: ReplicaPace, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - correctedMs);
  return correction ** Math.exp(-ageMs / FORGET_TIME_MS);
}
