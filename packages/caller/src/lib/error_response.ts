/** Every error response that a caller can get; documented in docs/ERRORS.md. */
import {
  assertNever,
  type MayHaveRunReason,
  type NotRunReason,
  type Verdict,
} from '@jasminepost/core';

const DEFAULT_RETRY_AFTER_MS = 1000;

/** Errors detected before any attempt is made. @public */
export type RejectionCode =
  | 'bad_request'
  | 'body_too_large'
  | 'idempotency_key_required'
  | 'model_not_found'
  | 'not_found'
  | 'not_ready'
  | 'result_not_kept'
  | 'service_not_found'
  | 'unauthenticated';

/** @public */
export interface ErrorResponse {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly verdict: Verdict['kind'];
  /** Undefined when a retry cannot succeed. */
  readonly retryAfterMs: number | undefined;
}

const REJECTIONS: Readonly<Record<RejectionCode, readonly [number, Verdict['kind']]>> = {
  bad_request: [400, 'not_run'],
  body_too_large: [413, 'not_run'],
  idempotency_key_required: [400, 'not_run'],
  model_not_found: [404, 'not_run'],
  not_found: [404, 'not_run'],
  not_ready: [503, 'not_run'],
  result_not_kept: [409, 'completed'],
  service_not_found: [404, 'not_run'],
  unauthenticated: [401, 'not_run'],
};

/** @public */
export function rejectionResponse(code: RejectionCode, message: string): ErrorResponse {
  const [status, verdict] = REJECTIONS[code];
  const retryAfterMs = code === 'not_ready' ? DEFAULT_RETRY_AFTER_MS : undefined;
  return {status, code, message, verdict, retryAfterMs};
}

/**
 * Builds the error response for a verdict after which no further attempt is made.
 *
 * @example
 * sink.fail(errorResponseFor(notRun('queue_full'), 1500));
 * @public
 */
export function errorResponseFor(verdict: Verdict, retryAfterMs: number): ErrorResponse {
  const retryAfterOrDefaultMs = retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER_MS;
  switch (verdict.kind) {
    case 'not_run':
      return {
        status: statusOfNotRun(verdict.reason),
        code: verdict.reason,
        message: `the request did not run: ${verdict.reason}`,
        verdict: 'not_run',
        retryAfterMs: verdict.reason === 'key_reused' ? undefined : retryAfterOrDefaultMs,
      };
    case 'may_have_run':
      return {
        status: statusOfMayHaveRun(verdict.reason),
        code: verdict.reason,
        message: `the request may have run: ${verdict.reason}`,
        verdict: 'may_have_run',
        retryAfterMs: retryAfterOrDefaultMs,
      };
    case 'completed':
      return rejectionResponse(
        'result_not_kept',
        'the request ran to its end; its answer was not kept',
      );
    default:
      return assertNever(verdict);
  }
}

function statusOfNotRun(reason: NotRunReason): number {
  switch (reason) {
    case 'organisation_limit':
      return 429;
    case 'deadline_passed':
      return 504;
    case 'key_reused':
      return 422;
    default:
      return 503;
  }
}

function statusOfMayHaveRun(reason: MayHaveRunReason): number {
  switch (reason) {
    case 'deadline_passed':
      return 504;
    case 'prior_attempt_unresolved':
      return 409;
    default:
      return 502;
  }
}
