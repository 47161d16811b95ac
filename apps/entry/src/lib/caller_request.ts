/** Handles one caller's request from its first attempt to its final response. */
import {errorResponseFor, type ResponseSink, type ValidatedRequest} from '@jasminepost/caller';
import {assertNever, mayHaveRun, notRun, type Verdict} from '@jasminepost/core';
import type {ChunkMessage, EndMessage, FailMessage, HeadMessage, Replica} from '@jasminepost/mesh';
import type {CancelOutcome, StoredResponse} from '@jasminepost/key_value';
import {chooseReplica, decideQuarantine, decideRetry} from '@jasminepost/policy';
import {AttemptStream} from './attempt_stream.ts';
import type {Dispatcher} from './dispatcher.ts';
import {LatencyTracker} from './latency_tracker.ts';
import {CIRCUIT_BREAKER_FAULTS} from './circuit_breaker_faults.ts';
import {buildStartMessage} from './start_message.ts';
import type {RequestTrace} from './trace_log.ts';

const MAX_ATTEMPTS = 4;
/** Redirects allowed per request from replicas whose queue is too long. */
const MAX_REDIRECTS = 2;
/** Interval at which an interrupted stream looks for a replica to resume on. */
const RESUME_POLL_MS = 100;
/** Estimated time to the first token that a cached prompt prefix saves. */
const PREFIX_SAVING_MS = 30;
/** Time after the caller's deadline in which the sidecar's own response may still arrive. */
const DEADLINE_GRACE_MS = 250;

/** @internal */
export class CallerRequest {
  /** Replica of the current or, between attempts, of the last attempt. */
  replica: Replica | undefined;

  private stream: AttemptStream | undefined;
  private attempts = 0;
  private finished = false;
  private admitted = false;
  /** Whether an attempt without an idempotency key may have run. */
  private hasPossiblyRun = false;
  private lastFailure: {readonly verdict: Verdict; readonly retryAfterMs: number} | undefined;
  private attemptId = '';
  private deadlineTimer: NodeJS.Timeout | undefined;
  private resumeTimer: NodeJS.Timeout | undefined;
  private readonly excludedReplicas = new Set<string>();
  private readonly deliveredEvents: string[] = [];
  private readonly latency: LatencyTracker;
  private readonly trace: RequestTrace;

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly request: ValidatedRequest,
    private readonly sink: ResponseSink,
  ) {
    const {context} = dispatcher;
    this.latency = new LatencyTracker(context.clock, context.latencyTargets(request.organisation));
    this.trace = context.traces.open(request.requestId, request.organisation, request.target);
  }

  start(): void {
    const {context} = this.dispatcher;
    const nowMs = context.clock.monotonicMs();
    this.deadlineTimer = setTimeout(
      () => this.onDeadline(),
      this.request.deadlineMs - nowMs + DEADLINE_GRACE_MS,
    );
    this.sink.onDisconnect(() => this.onCallerGone());
    this.sink.onDrain(() => this.stream?.acknowledge());
    const limits = context.organisationLimits(this.request.organisation);
    const refusal = context.limiter.admit(
      this.request.organisation,
      limits.requestsPerS,
      limits.concurrency,
      context.liveEntries(),
      nowMs,
    );
    if (refusal !== undefined) {
      this.giveUp(notRun('organisation_limit'), refusal.retryAfterMs, 'verdict');
      return;
    }
    this.admitted = true;
    context.retryBudget.deposit(this.retryBudgetKey());
    this.startNextAttempt();
  }

  /** Whether a frame with this tag, from this replica, belongs to the attempt in progress. */
  isCurrentAttempt(replica: Replica, tag: number): boolean {
    return this.replica === replica && this.stream?.tag === tag;
  }

  onFrame(message: HeadMessage | ChunkMessage | EndMessage | FailMessage): void {
    switch (message.type) {
      case 'head':
        // A resumed stream continues under the head already sent to the caller.
        if (!this.sink.hasStarted)
          this.sink.head(message.status, message.headers, message.replayed);
        return;
      case 'chunk':
        this.onChunk(message);
        return;
      case 'end':
        this.onEnd(message);
        return;
      case 'fail':
        this.endAttempt();
        this.handleFailedAttempt(message.verdict, message.retryAfterMs);
        return;
      default:
        assertNever(message);
    }
  }

  onLinkLost(): void {
    this.endAttempt();
    this.handleFailedAttempt(mayHaveRun('link_lost'), 0);
  }

  /** Starts an attempt on the best available replica. */
  private startNextAttempt(): void {
    const {context} = this.dispatcher;
    const nowMs = context.clock.monotonicMs();
    const quarantine = decideQuarantine(context.suspects, this.request.fingerprint, nowMs);
    if (quarantine.kind === 'refuse') {
      this.giveUp(notRun('quarantined'), quarantine.retryAfterMs, 'verdict');
      return;
    }
    const replica = this.selectReplica();
    if (replica === undefined) {
      this.handleNoReplica();
      return;
    }
    this.sendAttempt(replica, quarantine.kind === 'isolate' ? quarantine.crashes : 0, nowMs);
  }

  private selectReplica(): Replica | undefined {
    const {context} = this.dispatcher;
    const candidates = context.index.candidates(this.request.kind, this.request.target);
    const choice = chooseReplica(
      candidates,
      {
        class: this.request.class,
        zone: context.zone,
        prefixHash: this.request.prefixHash,
        prefixSavingMs: PREFIX_SAVING_MS,
        crossZoneMs: context.crossZoneMs,
        entries: context.liveEntries(),
        nowMs: context.clock.monotonicMs(),
        excluded: this.excludedReplicas,
      },
      Math.random,
    );
    return choice.kind === 'none' ? undefined : candidates[choice.index].replica;
  }

  /** A resumable stream that has started waits for a replica; other requests fail at once. */
  private handleNoReplica(): void {
    this.excludedReplicas.clear();
    if (this.lastFailure?.verdict.reason === 'redirected') {
      // The replica to redirect to is gone; try all replicas again.
      this.lastFailure = undefined;
      this.startNextAttempt();
      return;
    }
    if (this.sink.hasStarted && this.request.resumable) {
      this.resumeTimer = setTimeout(() => this.startNextAttempt(), RESUME_POLL_MS);
      return;
    }
    // The last attempt's verdict tells the caller more than that no replica is left.
    const {verdict, retryAfterMs} = this.lastFailure ?? {
      verdict: notRun('no_replica'),
      retryAfterMs: 0,
    };
    this.giveUp(verdict, retryAfterMs, 'verdict');
  }

  private sendAttempt(replica: Replica, crashes: number, nowMs: number): void {
    const link = replica.client.link;
    if (link === undefined) {
      this.handleFailedAttempt(notRun('not_written'), 0);
      return;
    }
    const attempt = this.dispatcher.openAttempt(this);
    this.attempts += 1;
    this.attemptId = `${this.dispatcher.context.processId}.${attempt}`;
    this.replica = replica;
    const stream = new AttemptStream(attempt, link, this.sink);
    this.stream = stream;
    replica.inFlight += 1;
    this.addTraceStep('attempt', replica.id, crashes > 0 ? 'isolated' : '');
    link.send(
      buildStartMessage(this.request, {
        attempt,
        tag: stream.tag,
        attemptId: this.attemptId,
        crashes,
        nowMs,
        hasAlternative: this.hasAlternative(),
        deliveredEvents: this.deliveredEvents,
      }),
    );
  }

  /** Each redirect costs a hop; after MAX_REDIRECTS of them the request queues where it is. */
  private hasAlternative(): boolean {
    const {index} = this.dispatcher.context;
    const candidates = index.candidates(this.request.kind, this.request.target);
    return this.attempts <= MAX_REDIRECTS && this.excludedReplicas.size + 1 < candidates.length;
  }

  private onChunk(message: ChunkMessage): void {
    const stream = this.stream!;
    if (!stream.isNext(message.seq)) {
      this.onSequenceGap();
      return;
    }
    this.latency.onTokens(message.events.length);
    if (this.request.resumable) this.deliveredEvents.push(...message.events);
    stream.deliver(message);
  }

  private onSequenceGap(): void {
    this.dispatcher.context.metrics.staleFrames.increment('sequence_gap');
    this.abandonAttempt();
    this.handleFailedAttempt(mayHaveRun('link_lost'), 0);
  }

  private onEnd(message: EndMessage): void {
    if (!this.stream!.isNext(message.seq)) {
      this.onSequenceGap();
      return;
    }
    this.dispatcher.context.index.circuitBreakerOf(this.replica!.id).onSuccess();
    this.addTraceStep('end', this.replica!.id, '');
    this.endAttempt();
    this.complete(message.usage);
  }

  private complete(usage: string): void {
    const {metrics} = this.dispatcher.context;
    metrics.completed.increment(this.request.class);
    if (this.latency.metTargets()) metrics.onTarget.increment(this.request.class);
    if (this.request.kind === 'engine') {
      metrics.firstToken[this.request.class].recordMs(this.latency.firstTokenMs());
    }
    this.sink.end(usage);
    this.finish();
  }

  /** Decides whether to retry, resume or give up after an attempt that did not complete. */
  private handleFailedAttempt(verdict: Verdict, retryAfterMs: number): void {
    if (this.finished) return;
    const {context} = this.dispatcher;
    this.addTraceStep('verdict', this.replica?.id ?? '', `${verdict.kind}:${verdict.reason}`);
    this.recordReplicaFault(verdict);
    this.lastFailure = {verdict, retryAfterMs};
    const idempotent = this.request.idempotencyKey === '';
    this.hasPossiblyRun ||= verdict.kind === 'may_have_run' && idempotent;
    const decision = decideRetry({
      verdict,
      idempotent,
      answerStarted: this.sink.hasStarted || this.deliveredEvents.length > 0,
      resumable: this.request.resumable,
      remainingMs: this.request.deadlineMs - context.clock.monotonicMs(),
      attempts: this.attempts,
      maxAttempts: MAX_ATTEMPTS,
      takeToken: () => context.retryBudget.withdraw(this.retryBudgetKey()),
    });
    switch (decision.kind) {
      case 'retry':
      case 'resume': {
        const counter =
          decision.kind === 'retry' ? context.metrics.retries : context.metrics.resumes;
        counter.increment(verdict.reason);
        if (verdict.reason !== 'preempted' && this.replica !== undefined) {
          this.excludedReplicas.add(this.replica.id);
        }
        this.startNextAttempt();
        return;
      }
      case 'settle_claim':
        void this.settleClaim();
        return;
      case 'give_up':
        this.giveUp(verdict, retryAfterMs, decision.cause);
        return;
      default:
        assertNever(decision);
    }
  }

  private recordReplicaFault(verdict: Verdict): void {
    const {clock, index} = this.dispatcher.context;
    if (this.replica === undefined || !CIRCUIT_BREAKER_FAULTS.has(verdict.reason)) return;
    index.circuitBreakerOf(this.replica.id).onFailure(clock.monotonicMs());
  }

  /** Cancels the lost attempt's claim so that it never runs, or learns that it has run. */
  private async settleClaim(): Promise<void> {
    const {request} = this;
    const outcome: CancelOutcome = await this.dispatcher.context.claims.cancel(
      request.organisation,
      request.idempotencyKey,
      request.fingerprint,
      this.attemptId,
    );
    this.addTraceStep('settle_claim', '', outcome.kind);
    if (this.finished) return;
    switch (outcome.kind) {
      case 'never_runs':
        this.handleFailedAttempt(notRun('cancelled_before_claim'), 0);
        return;
      case 'replay':
        this.sendStoredResponse(outcome.answer);
        return;
      case 'may_have_run':
        this.giveUp(mayHaveRun('link_lost'), 0, 'verdict');
        return;
      case 'unknown':
        this.giveUp(mayHaveRun('claim_outcome_unknown'), 0, 'verdict');
        return;
      default:
        assertNever(outcome);
    }
  }

  private sendStoredResponse(response: StoredResponse | undefined): void {
    if (response === undefined || this.request.kind === 'engine') {
      this.giveUp({kind: 'completed', reason: 'replayed'}, 0, 'verdict');
      return;
    }
    this.sink.head(response.status, response.headers, true);
    this.sink.data(Buffer.from(response.bodyBase64, 'base64'));
    this.complete('');
  }

  private giveUp(verdict: Verdict, retryAfterMs: number, cause: string): void {
    if (this.finished) return;
    const {metrics, log} = this.dispatcher.context;
    // If an earlier attempt may have run, a later "not run" does not make the request safe.
    const finalVerdict =
      verdict.kind === 'not_run' && this.hasPossiblyRun
        ? mayHaveRun('prior_attempt_unresolved')
        : verdict;
    const response = errorResponseFor(finalVerdict, retryAfterMs);
    metrics.refusals.increment(verdict.reason);
    metrics.givenUp.increment(cause);
    this.addTraceStep('refused', '', `${finalVerdict.kind}:${verdict.reason}`);
    log.info('request failed', {
      requestId: this.request.requestId,
      organisation: this.request.organisation,
      target: this.request.target,
      verdict: finalVerdict.kind,
      reason: verdict.reason,
      cause,
    });
    this.sink.fail(response);
    this.finish();
  }

  private onDeadline(): void {
    if (this.finished) return;
    const hasNoAttempt = this.replica === undefined;
    this.abandonAttempt();
    const verdict = hasNoAttempt && this.attempts === 0 ? notRun('deadline_passed') : undefined;
    this.giveUp(verdict ?? mayHaveRun('deadline_passed'), 0, 'deadline');
  }

  private onCallerGone(): void {
    if (this.finished) return;
    this.dispatcher.context.metrics.givenUp.increment('caller_gone');
    this.addTraceStep('caller_gone', this.replica?.id ?? '', '');
    this.abandonAttempt();
    this.finish();
  }

  /** Tells the sidecar to cancel an attempt whose response is no longer wanted. */
  private abandonAttempt(): void {
    if (this.stream === undefined) return;
    this.stream.link.send({type: 'cancel', attempt: this.stream.attempt});
    this.endAttempt();
  }

  private endAttempt(): void {
    if (this.stream === undefined || this.replica === undefined) return;
    this.dispatcher.closeAttempt(this.stream.attempt);
    this.replica.inFlight -= 1;
    this.stream = undefined;
  }

  private finish(): void {
    if (this.finished) return;
    this.finished = true;
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.resumeTimer);
    if (this.admitted) this.dispatcher.context.limiter.release(this.request.organisation);
    this.dispatcher.finish(this);
  }

  private retryBudgetKey(): string {
    return `${this.request.organisation}/${this.request.target}`;
  }

  private addTraceStep(step: string, replica: string, reason: string): void {
    this.trace.steps.push({atMs: Math.round(this.latency.elapsedMs()), step, replica, reason});
  }
}
