/** Log lines about one caller's request. */
import type {Verdict} from '@jasminepost/core';
import type {CallerHeaders} from '@jasminepost/platform';
import type {RetryDecision} from '@jasminepost/policy';
import {sharedPartIds, type Route} from '@jasminepost/serving';
import type {Attempt} from './attempt.ts';
import type {GatewayContext} from './gateway_context.ts';
import type {RequestOutcome} from './gateway_metrics.ts';

/** @internal */
export type LogFields = Readonly<Record<string, unknown>>;

/** Why an attempt failed, and whether the request may have run. @internal */
export interface AttemptFailure {
  readonly verdict: Verdict;
  readonly detail: string;
}

/** A failed attempt, and what follows it. */
interface FailedAttempt extends AttemptFailure {
  readonly attempt: Attempt;
  readonly decision: RetryDecision;
}

/** @internal */
export class RequestLog {
  constructor(
    private readonly ctx: Pick<
      GatewayContext,
      'clock' | 'log' | 'zone' | 'configVersion' | 'listAgeMs'
    >,
    private readonly head: CallerHeaders,
    private readonly route: Route,
    private readonly arrivedMs: number,
    /** Undefined without an organisation; it is left out of the log then. */
    private readonly organisation: string | undefined,
  ) {}

  sent(attempt: Attempt, sendCount: number, deadlineMs: number, logFields: LogFields): void {
    const {sentMs, replica} = attempt;
    const parts = this.head.generation === undefined ? [] : sharedPartIds(this.head.generation);
    this.ctx.log.info('request sent', {
      requestId: this.head.requestId,
      route: this.route.name,
      organisation: this.organisation,
      replica: replica.id,
      zone: replica.entry.zone,
      leftZone: replica.entry.zone !== this.ctx.zone,
      version: replica.entry.softwareVersion,
      bornMs: replica.entry.bornMs,
      listAgeMs: Math.round(this.ctx.listAgeMs()),
      send: sendCount,
      waitedMs: Math.round(sentMs - this.arrivedMs),
      leftMs: Math.round(deadlineMs - sentMs),
      config: this.ctx.configVersion(),
      ...(parts.length > 0 ? {parts: parts.join(',')} : {}),
      ...logFields,
    });
  }

  attemptFailed({attempt, verdict, detail, decision}: FailedAttempt): void {
    this.ctx.log.info('attempt failed', {
      requestId: this.head.requestId,
      replica: attempt.replica.id,
      verdict: verdict.kind,
      reason: verdict.kind === 'completed' ? '' : verdict.reason,
      detail,
      decision: decision.kind,
      cause: decision.kind === 'give_up' ? decision.cause : '',
      hadEvent: attempt.firstEventMs > 0,
      tookMs: Math.round(this.ctx.clock.monotonicMs() - attempt.sentMs),
    });
  }

  moved(attempt: Attempt, logFields: LogFields): void {
    const {requestId} = this.head;
    this.ctx.log.info('stream moved', {requestId, replica: attempt.replica.id, ...logFields});
  }

  /** @param attempt - The last attempt; undefined when there was none. */
  ended(
    outcome: RequestOutcome,
    service: string,
    sends: number,
    attempt: Attempt | undefined,
    logFields: LogFields,
  ): void {
    const firstEventMs = attempt?.firstEventMs ?? 0;
    this.ctx.log.info('request ended', {
      requestId: this.head.requestId,
      route: this.route.name,
      organisation: this.organisation,
      service,
      model: this.head.generation?.model ?? '',
      adapter: this.head.generation?.adapter ?? '',
      ending: outcome,
      sends,
      tookMs: Math.round(this.ctx.clock.monotonicMs() - this.arrivedMs),
      firstEventMs: firstEventMs === 0 ? -1 : Math.round(firstEventMs - this.arrivedMs),
      targetMs: this.route.targetLatencyMs,
      config: this.ctx.configVersion(),
      ...logFields,
    });
  }
}
