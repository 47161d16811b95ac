/** Decides what follows a failed attempt, from its verdict and what the caller has received. */
import {
  assertNever,
  type MayHaveRunReason,
  type NotRunReason,
  type Verdict,
} from '@jasminepost/core';

/** Refusals that any other replica would repeat. */
const FINAL_REFUSALS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'claim_store_unavailable',
  'deadline_passed',
  'key_reused',
  'organisation_limit',
  'quarantined',
]);

/**
 * Refusals for which another replica costs nothing. Redirects have their own limit; if they took
 * tokens, a lack of tokens would fail the request. A replica found to be another one by now has
 * received nothing, and is found only once. A request that was not started has reached nobody.
 */
const FREE_REFUSALS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'not_started',
  'redirected',
  'replaced',
]);

/** Stops by the system itself; the request is continued, so this is no retry of a failure. */
const SYSTEM_STOPS: ReadonlySet<MayHaveRunReason> = new Set<MayHaveRunReason>([
  'preempted',
  'sidecar_moving',
]);

/** @public */
export interface RetryInput {
  readonly verdict: Verdict;
  readonly idempotent: boolean;
  /** True once a byte of the response has reached the caller. */
  readonly answerStarted: boolean;
  /** True when the response can be continued from the tokens that the caller has received. */
  readonly resumable: boolean;
  readonly remainingMs: number;
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Takes a token from the retry budget. */
  readonly takeToken: () => boolean;
}

/** @public */
export type RetryDecision =
  | {readonly kind: 'retry'}
  | {readonly kind: 'resume'}
  /** Ensures through the claim store that the attempt has not run and can't, then decides again. */
  | {readonly kind: 'settle_claim'}
  | {
      readonly kind: 'give_up';
      readonly cause: 'verdict' | 'deadline' | 'attempts' | 'retry_budget';
    };

/**
 * @example
 * const next = decideRetry({verdict: notRun('leaving'), idempotent: false, ...});
 * @public
 */
export function decideRetry(input: RetryInput): RetryDecision {
  switch (input.verdict.kind) {
    case 'completed':
      return {kind: 'give_up', cause: 'verdict'};
    case 'not_run':
      return afterNotRun(input, input.verdict.reason);
    case 'may_have_run':
      return afterMayHaveRun(input, input.verdict.reason);
    default:
      return assertNever(input.verdict);
  }
}

function afterNotRun(input: RetryInput, reason: NotRunReason): RetryDecision {
  const cannotContinue = input.answerStarted && !input.resumable;
  if (cannotContinue || FINAL_REFUSALS.has(reason)) return {kind: 'give_up', cause: 'verdict'};
  const kind = input.answerStarted ? 'resume' : 'retry';
  if (FREE_REFUSALS.has(reason) && input.remainingMs > 0) return {kind};
  return retryWithinBudget(input, kind);
}

function afterMayHaveRun(input: RetryInput, reason: MayHaveRunReason): RetryDecision {
  if (reason === 'caller_gone') return {kind: 'give_up', cause: 'verdict'};
  if (!input.idempotent) {
    return reason === 'link_lost' && !input.answerStarted
      ? {kind: 'settle_claim'}
      : {kind: 'give_up', cause: 'verdict'};
  }
  const canContinue = !input.answerStarted || input.resumable;
  if (SYSTEM_STOPS.has(reason) && canContinue && input.remainingMs > 0) {
    return {kind: input.answerStarted ? 'resume' : 'retry'};
  }
  if (!input.answerStarted) return retryWithinBudget(input, 'retry');
  return input.resumable ? retryWithinBudget(input, 'resume') : {kind: 'give_up', cause: 'verdict'};
}

function retryWithinBudget(input: RetryInput, kind: 'retry' | 'resume'): RetryDecision {
  if (input.remainingMs <= 0) return {kind: 'give_up', cause: 'deadline'};
  if (input.attempts >= input.maxAttempts) return {kind: 'give_up', cause: 'attempts'};
  return input.takeToken() ? {kind} : {kind: 'give_up', cause: 'retry_budget'};
}
