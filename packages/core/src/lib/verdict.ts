/** Whether a request may have run; retry decisions depend on nothing else. */

/** Why a request certainly did not run. @public */
export const NOT_RUN_REASONS = [
  'cancelled_before_claim',
  'claim_store_unavailable',
  'connect_failed',
  'deadline_passed',
  'key_reused',
  'leaving',
  'model_not_ready',
  'no_replica',
  'not_started',
  'not_written',
  'organisation_limit',
  'queue_full',
  'quarantined',
  'redirected',
  'replaced',
  'retry_budget_spent',
  'upstream_refused',
  'upstream_unhealthy',
] as const;

/** @public */
export type NotRunReason = (typeof NOT_RUN_REASONS)[number];

/** Why a request may have run, completely or in part. @public */
export const MAY_HAVE_RUN_REASONS = [
  'caller_gone',
  'claim_outcome_unknown',
  'deadline_passed',
  'link_lost',
  'preempted',
  'prior_attempt_unresolved',
  'sidecar_moving',
  'upstream_crashed',
  'upstream_cut',
  'upstream_stalled',
] as const;

/** @public */
export type MayHaveRunReason = (typeof MAY_HAVE_RUN_REASONS)[number];

/** How a request was completed. @public */
export const COMPLETED_REASONS = ['answered', 'replayed'] as const;

/** @public */
export type CompletedReason = (typeof COMPLETED_REASONS)[number];

/** @public */
export type Verdict =
  | {readonly kind: 'not_run'; readonly reason: NotRunReason}
  | {readonly kind: 'may_have_run'; readonly reason: MayHaveRunReason}
  | {readonly kind: 'completed'; readonly reason: CompletedReason};

/** @public */
export function notRun(reason: NotRunReason): Verdict {
  return {kind: 'not_run', reason};
}

/** @public */
export function mayHaveRun(reason: MayHaveRunReason): Verdict {
  return {kind: 'may_have_run', reason};
}

/** @public */
export function completed(reason: CompletedReason): Verdict {
  return {kind: 'completed', reason};
}

/**
 * Verdict of a request that could not be sent over HTTP: it certainly did not run only when the
 * connection was never established.
 *
 * @example
 * catch (thrown) { return verdictForSendFailure(thrown); }
 * @public
 */
export function verdictForSendFailure(thrown: unknown): Verdict {
  return failedBeforeSend(thrown) ? notRun('connect_failed') : mayHaveRun('upstream_cut');
}

/** True when an HTTP request failed before any of its bytes were written. @public */
export function failedBeforeSend(thrown: unknown): boolean {
  const code = (thrown as {code?: string}).code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
