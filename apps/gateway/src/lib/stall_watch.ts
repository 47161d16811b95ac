/** Watches one stream for silence, and has it moved when the policy decides so. */
import {assertNever} from '@jasminepost/core';
import {decideStall, type StallInput, type StallReason} from '@jasminepost/policy';
import type {Route} from '@jasminepost/serving';
import type {Attempt} from './attempt.ts';
import type {AttemptCount} from './attempt_count.ts';
import type {GatewayContext} from './gateway_context.ts';
import type {QueuedGeneration} from './generation_queue.ts';
import {MIN_SERVICE_MS} from './request_schedule.ts';
import type {ResponseRelay} from './response_relay.ts';
import type {StreamVersionGate} from './stream_version_gate.ts';

/** Time of the first check; no stream is moved earlier. */
const FIRST_CHECK_MS = 400;
/** A check that runs later than this shows that this process stood still, not the replica. */
const MAX_CHECK_DELAY_MS = 100;

/** @internal */
export interface WatchedStream extends QueuedGeneration {
  readonly deadlineMs: number;
  readonly route: Route;
  readonly relay: ResponseRelay;
  readonly versionGate: StreamVersionGate;
  readonly count: AttemptCount;
  /** Closes the attempt and resumes the stream; the retry has been reserved. */
  moveStream(reason: StallReason, logFields: Readonly<Record<string, unknown>>): void;
}

/** @internal */
export class StallWatch {
  private attempt: Attempt | undefined;
  private progressMs = 0;
  /** False while data is held back for a slow caller, or until it may be sent. */
  private isReading = true;
  private checkAtMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly ctx: Pick<GatewayContext, 'clock' | 'generations' | 'metrics'>,
    private readonly stream: WatchedStream,
  ) {}

  start(attempt: Attempt): void {
    this.attempt = attempt;
    this.onProgress(true);
    const {route, generation} = this.stream;
    if (route.resumable && generation.model !== '') this.schedule(FIRST_CHECK_MS);
  }

  /** @param isReading - False when further data is not read for now. */
  onProgress(isReading: boolean): void {
    this.progressMs = this.ctx.clock.monotonicMs();
    this.isReading = isReading;
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.checkAtMs = this.ctx.clock.monotonicMs() + delayMs;
    this.timer = setTimeout(() => this.check(), delayMs);
  }

  private check(): void {
    const {attempt} = this;
    if (attempt?.isLive !== true) return;
    const nowMs = this.ctx.clock.monotonicMs();
    const delayMs = nowMs - this.checkAtMs;
    if (!this.isReading) this.progressMs = nowMs;
    if (delayMs > MAX_CHECK_DELAY_MS) {
      this.progressMs = Math.min(nowMs, this.progressMs + delayMs);
    }
    const input = this.inputAt(nowMs, attempt);
    const decision = decideStall(input, () => this.alternativeMs(attempt));
    switch (decision.kind) {
      case 'never':
        return;
      case 'wait':
        this.schedule(decision.checkInMs);
        return;
      case 'move':
        if (this.stream.count.tryReserveRetry(nowMs)) this.move(attempt, input, decision, nowMs);
        else this.schedule(FIRST_CHECK_MS);
        return;
      default:
        assertNever(decision);
    }
  }

  private inputAt(nowMs: number, attempt: Attempt): StallInput {
    const {arrivedMs, route, relay, versionGate, count, deadlineMs} = this.stream;
    return {
      canMove: route.resumable && versionGate.mayMove && (!relay.headSent || relay.isStream),
      pace: attempt.replica.paceAt(nowMs),
      hadEvent: attempt.firstEventMs > 0,
      silentMs: nowMs - this.progressMs,
      expectedFirstEventMs: attempt.expectedMs,
      targetGapMs: route.targetGapMs,
      targetLeftMs: arrivedMs + route.targetLatencyMs - nowMs,
      remainingMs: deadlineMs - nowMs - MIN_SERVICE_MS,
      attemptsLeft: count.left,
    };
  }

  /** Expected time to the next event if the stream were resumed at another replica. */
  private alternativeMs({replica: {incarnation}}: Attempt): number | undefined {
    const {stream} = this;
    if (stream.holdMs() > 0) return undefined;
    const excluded = new Set([...stream.excluded, incarnation]);
    return this.ctx.generations.expectedMs(stream, excluded);
  }

  private move(
    attempt: Attempt,
    {silentMs, pace}: StallInput,
    {reason, alternativeMs}: {reason: StallReason; alternativeMs: number},
    nowMs: number,
  ): void {
    const {replica, workMs, expectedMs} = attempt;
    replica.onWorkMeasured(workMs, silentMs, nowMs, 1);
    this.ctx.metrics.movedStreams.increment(reason);
    this.stream.moveStream(reason, {
      reason,
      silentMs: Math.round(silentMs),
      expectedMs: Math.round(expectedMs),
      alternativeMs: Math.round(alternativeMs),
      pace: pace?.toFixed(2),
      paceAgeMs: replica.paceAgeMs(nowMs),
    });
  }
}
