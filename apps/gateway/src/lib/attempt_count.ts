/** Counts the attempts of one request, and decides what follows a failed one. */
import type {Verdict} from '@jasminepost/core';
import {decideRetry, type RetryDecision} from '@jasminepost/policy';
import type {Route} from '@jasminepost/serving';
import type {GatewayContext} from './gateway_context.ts';
import {MIN_SERVICE_MS} from './request_schedule.ts';

/** Maximum number of sends of a request that no replica has run. */
const MAX_NOT_RUN_SENDS = 3;

/** @internal */
export class AttemptCount {
  sends = 0;
  /** Failed attempts in which a replica may have run the request. */
  runs = 0;
  private readonly isRetryable: boolean;
  private hasReservedRetry = false;

  constructor(
    private readonly ctx: Pick<GatewayContext, 'gateways' | 'retryBudget'>,
    private readonly route: Route,
    private readonly service: string,
    private readonly deadlineMs: number,
  ) {
    this.isRetryable = route.kind === 'idempotent' || route.resumable;
  }

  /** Attempts that may follow the current one if a replica may have run that. */
  get left(): number {
    return this.route.maxAttempts - this.runs - 1;
  }

  /** Takes the retry that follows the current attempt from the budget; false when that is spent. */
  tryReserveRetry(nowMs: number): boolean {
    this.hasReservedRetry = this.tryRetry(nowMs);
    return this.hasReservedRetry;
  }

  /**
   * Counts a failed attempt and decides what follows.
   *
   * @param answerStarted - True once a byte of the response has reached the caller.
   */
  afterFailure(verdict: Verdict, answerStarted: boolean, nowMs: number): RetryDecision {
    const hasRetry = this.hasReservedRetry;
    this.hasReservedRetry = false;
    if (verdict.kind === 'may_have_run') this.runs += 1;
    // Nothing was sent.
    if (verdict.reason === 'replaced' || verdict.reason === 'not_started') this.sends -= 1;
    const isNotRun = verdict.kind === 'not_run';
    return decideRetry({
      verdict,
      idempotent: this.isRetryable,
      answerStarted,
      resumable: this.route.resumable,
      remainingMs: this.deadlineMs - nowMs - MIN_SERVICE_MS,
      attempts: isNotRun ? this.sends : this.runs,
      maxAttempts: isNotRun ? MAX_NOT_RUN_SENDS : this.route.maxAttempts,
      takeToken: () => hasRetry || this.tryRetry(nowMs),
    });
  }

  private tryRetry(nowMs: number): boolean {
    return this.ctx.retryBudget(this.service).tryRetry(this.ctx.gateways(), nowMs);
  }
}
