/** Admits attempts to the upstream, runs them and reports the verdict of each to its entry. */
import {
  mayHaveRun,
  errorMessage,
  notRun,
  type Clock,
  type Logger,
  type NotRunReason,
  type Verdict,
} from '@jasminepost/core';
import type {MeshLink, StartMessage, SuspectMessage} from '@jasminepost/mesh';
import type {AdmissionQueue} from '@jasminepost/policy';
import {ResponseChannel} from './response_channel.ts';
import {Attempt} from './attempt.ts';
import type {ClaimedAttemptRunner} from './claimed_attempt_runner.ts';
import type {SidecarMetrics} from './sidecar_metrics.ts';
import type {UpstreamHealth} from './upstream_health.ts';

/** Interval at which queued requests whose deadline has passed are refused. */
const EXPIRY_CHECK_MS = 100;

/** @internal */
export interface ExecutorContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: SidecarMetrics;
  readonly upstreamUrl: string;
  readonly queue: AdmissionQueue<Attempt>;
  readonly health: UpstreamHealth;
  readonly claims: ClaimedAttemptRunner;
  /** Reason why this request cannot run here; undefined when it can. */
  refusalReason(start: StartMessage): NotRunReason | undefined;
  /** Loads the request's adapter; false when that is not possible before its deadline. */
  prepare(start: StartMessage): Promise<boolean>;
  crashCount(fingerprint: string): number;
  announceSuspect(message: SuspectMessage): void;
}

/** @internal */
export class AttemptExecutor {
  private readonly attemptsByLink = new Map<MeshLink, Map<number, Attempt>>();
  private expiryTimer: NodeJS.Timeout | undefined;
  private readonly idleListeners: Array<() => void> = [];
  private attemptCount = 0;

  constructor(private readonly context: ExecutorContext) {}

  dispose(): void {
    clearTimeout(this.expiryTimer);
  }

  /** Number of attempts that are queued or running. */
  get inProgress(): number {
    return this.attemptCount;
  }

  /** Number of attempts for one model that are queued or running. */
  inProgressFor(model: string): number {
    let count = 0;
    for (const attempts of this.attemptsByLink.values()) {
      for (const attempt of attempts.values())
        if (attempt.startMessage.target === model) count += 1;
    }
    return count;
  }

  onStart(link: MeshLink, start: StartMessage): void {
    const {context} = this;
    const channel = new ResponseChannel(link, start.attempt, start.tag);
    const attempt = new Attempt(link, start, channel, context.upstreamUrl, context.clock);
    const refusal = context.refusalReason(start);
    if (refusal !== undefined) {
      this.refuse(attempt, refusal, 0);
      return;
    }
    // A resumed stream has already passed admission once; refusing it would cut it off.
    const decision =
      start.resumeTokens > 0
        ? context.queue.readmit(attempt)
        : context.queue.offer(attempt, context.clock.monotonicMs(), start.hasAlternative);
    if (decision.kind === 'refused') {
      this.refuse(attempt, decision.reason, decision.retryAfterMs);
      return;
    }
    this.add(attempt);
    this.dispatchQueued();
  }

  onCancel(link: MeshLink, attemptNumber: number): void {
    const attempt = this.attemptsByLink.get(link)?.get(attemptNumber);
    if (attempt !== undefined) this.cancel(attempt, 'caller_gone');
  }

  onAck(link: MeshLink, attemptNumber: number, bytes: number): void {
    this.attemptsByLink.get(link)?.get(attemptNumber)?.channel.onAck(bytes);
  }

  /** Cancels a lost entry's attempts, as nothing awaits their responses; claimed ones run on. */
  onLinkLost(link: MeshLink): void {
    for (const attempt of [...(this.attemptsByLink.get(link)?.values() ?? [])]) {
      this.cancel(attempt, 'link_lost');
    }
  }

  /** Refuses queued attempts. Running ones finish, or in mode `move` stop if resumable. */
  drain(mode: 'finish' | 'move'): void {
    for (const attempt of this.context.queue.drainQueue()) this.refuse(attempt, 'leaving', 0);
    if (mode === 'finish') return;
    for (const attempt of this.context.queue.running) {
      if (attempt.preemptible) attempt.stop('sidecar_moving');
    }
  }

  whenIdle(): Promise<void> {
    if (this.attemptCount === 0) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  /** Starts the queued attempts that may start now, and preempts one if paid work waits. */
  dispatchQueued(): void {
    const {queue, clock, metrics} = this.context;
    for (;;) {
      const attempt = queue.next(clock.monotonicMs());
      if (attempt === undefined) break;
      void this.execute(attempt);
    }
    this.scheduleExpiry();
    const preempted = queue.preemptionVictim();
    if (preempted !== undefined) {
      metrics.preemptions.increment('trial');
      preempted.stop('preempted');
    }
  }

  private async execute(attempt: Attempt): Promise<void> {
    const {context} = this;
    let verdict: Verdict;
    try {
      verdict = await this.runAttempt(attempt);
    } catch (thrown) {
      context.log.error('attempt failed', {
        requestId: attempt.startMessage.requestId,
        error: errorMessage(thrown),
      });
      verdict = mayHaveRun('upstream_cut');
    }
    const serviceMs = context.clock.monotonicMs() - attempt.startedMs;
    context.queue.release(attempt, verdict.kind === 'completed' ? serviceMs : undefined);
    this.finish(attempt, verdict);
    this.dispatchQueued();
  }

  private async runAttempt(attempt: Attempt): Promise<Verdict> {
    const {context} = this;
    const refusal = context.refusalReason(attempt.startMessage);
    if (refusal !== undefined) return notRun(refusal);
    if (!(await context.prepare(attempt.startMessage))) return notRun('model_not_ready');
    const verdict = attempt.needsClaim ? await context.claims.run(attempt) : await attempt.run();
    const wasCut = verdict.kind === 'may_have_run' && verdict.reason === 'upstream_cut';
    if (!wasCut) return verdict;
    // All attempts cut by the same crash share this check and become suspects together.
    const crashed = await context.health.confirmCrash();
    if (!crashed) return verdict;
    this.announceCrashSuspect(attempt);
    return mayHaveRun('upstream_crashed');
  }

  private announceCrashSuspect(attempt: Attempt): void {
    const {fingerprint} = attempt.startMessage;
    // Earlier crashes may have been on other replicas; the start message carries their number.
    const crashes =
      Math.max(attempt.startMessage.crashes, this.context.crashCount(fingerprint)) + 1;
    this.context.announceSuspect({type: 'suspect', fingerprint, crashes, cleared: false});
  }

  private finish(attempt: Attempt, verdict: Verdict): void {
    const {context} = this;
    context.metrics.verdicts.increment(verdict.kind);
    if (verdict.kind === 'completed' && attempt.startMessage.crashes > 0) {
      const {fingerprint} = attempt.startMessage;
      context.announceSuspect({type: 'suspect', fingerprint, crashes: 0, cleared: true});
    }
    if (verdict.kind === 'completed' && attempt.hasResponse) attempt.sendEnd();
    else this.fail(attempt, verdict, 0);
    this.remove(attempt);
  }

  private fail(attempt: Attempt, verdict: Verdict, retryAfterMs: number): void {
    if (verdict.kind === 'not_run') this.context.metrics.refusals.increment(verdict.reason);
    attempt.channel.fail(verdict, retryAfterMs);
  }

  private refuse(attempt: Attempt, reason: NotRunReason, retryAfterMs: number): void {
    this.context.metrics.verdicts.increment('not_run');
    this.fail(attempt, notRun(reason), retryAfterMs);
    this.remove(attempt);
  }

  private cancel(attempt: Attempt, reason: 'caller_gone' | 'link_lost'): void {
    if (this.context.queue.withdraw(attempt)) {
      this.remove(attempt);
      return;
    }
    attempt.channel.release();
    if (!attempt.needsClaim) attempt.stop(reason);
  }

  /** The timer runs only while attempts are queued, so that an idle sidecar does not wake up. */
  private scheduleExpiry(): void {
    if (this.expiryTimer !== undefined || this.context.queue.queued === 0) return;
    this.expiryTimer = setTimeout(() => {
      this.expiryTimer = undefined;
      this.refuseExpired();
      this.scheduleExpiry();
    }, EXPIRY_CHECK_MS);
  }

  private refuseExpired(): void {
    const expired = this.context.queue.expire(this.context.clock.monotonicMs());
    for (const attempt of expired) this.refuse(attempt, 'deadline_passed', 0);
  }

  private add(attempt: Attempt): void {
    let attempts = this.attemptsByLink.get(attempt.link);
    if (attempts === undefined) {
      attempts = new Map();
      this.attemptsByLink.set(attempt.link, attempts);
    }
    attempts.set(attempt.startMessage.attempt, attempt);
    this.attemptCount += 1;
  }

  private remove(attempt: Attempt): void {
    const attempts = this.attemptsByLink.get(attempt.link);
    if (attempts?.delete(attempt.startMessage.attempt) === true) this.attemptCount -= 1;
    if (attempts?.size === 0) this.attemptsByLink.delete(attempt.link);
    if (this.attemptCount > 0) return;
    for (const listener of this.idleListeners.splice(0)) listener();
  }
}
