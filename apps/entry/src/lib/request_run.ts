/** One caller's request from its first attempt to its final answer. */
import {errorResponseFor, type ResponseSink, type ValidatedRequest} from '@jasminepost/caller';
import {assertNever, mayHaveRun, notRun, type Verdict} from '@jasminepost/core';
import type {ChunkMessage, EndMessage, FailMessage, HeadMessage, Replica} from '@jasminepost/mesh';
import type {CancelOutcome, StoredResponse} from '@jasminepost/key_value';
import {chooseReplica, decideQuarantine, decideRetry} from '@jasminepost/policy';
import {AttemptStream} from './attempt_stream.ts';
import type {Dispatcher} from './dispatcher.ts';
import {TargetMeter} from './target_meter.ts';
import {REPLICA_FAULTS} from './replica_faults.ts';
import {startMessage} from './start_message.ts';
import type {RequestTrace} from './trace_log.ts';

const MAX_ATTEMPTS = 4;
/** Full replicas that a request may be passed on from. */
const MAX_REDIRECTS = 2;
/** A stream that has started waits this long between looks for a replica to resume on. */
const RESUME_POLL_MS = 100;
const PREFIX_SAVING_MS = 30;
/** Time after the caller's deadline in which the sidecar's own answer may still arrive. */
const DEADLINE_GRACE_MS = 250;

/** @internal */
export class RequestRun {
  /** Replica of the attempt in progress. */
  replica: Replica | undefined;

  private stream: AttemptStream | undefined;
  private attempts = 0;
  private finished = false;
  private admitted = false;
  /** True once any attempt may have run. */
  private ranMaybe = false;
  private lastFailure: {readonly verdict: Verdict; readonly retryAfterMs: number} | undefined;
  private attemptId = '';
  private timer: NodeJS.Timeout | undefined;
  private pollTimer: NodeJS.Timeout | undefined;
  private readonly excluded = new Set<string>();
  private readonly delivered: string[] = [];
  private readonly meter: TargetMeter;
  private readonly trace: RequestTrace;

  constructor(
    private readonly owner: Dispatcher,
    private readonly call: ValidatedRequest,
    private readonly sink: ResponseSink,
  ) {
    const {context} = owner;
    this.meter = new TargetMeter(context.clock, context.targetsOf(call.organisation));
    this.trace = context.traces.open(call.requestId, call.organisation, call.target);
  }

  start(): void {
    const {context} = this.owner;
    const nowMs = context.clock.monotonicMs();
    this.timer = setTimeout(
      () => this.onDeadline(),
      this.call.deadlineMs - nowMs + DEADLINE_GRACE_MS,
    );
    this.sink.onDisconnect(() => this.onCallerGone());
    this.sink.onDrain(() => this.stream?.acknowledge());
    const limits = context.limitsOf(this.call.organisation);
    const refusal = context.limiter.admit(
      this.call.organisation,
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
    context.retryBudget.deposit(this.budgetKey());
    this.tryNext();
  }

  /** True when a frame was made for the attempt in progress. */
  owns(replica: Replica, tag: number): boolean {
    return this.replica === replica && this.stream?.tag === tag;
  }

  onFrame(message: HeadMessage | ChunkMessage | EndMessage | FailMessage): void {
    switch (message.type) {
      case 'head':
        // A resumed answer goes on under the head that the caller already has.
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
        this.afterAttempt(message.verdict, message.retryAfterMs);
        return;
      default:
        assertNever(message);
    }
  }

  onLinkLost(): void {
    this.endAttempt();
    this.afterAttempt(mayHaveRun('link_lost'), 0);
  }

  /** Starts an attempt on the best replica there is. */
  private tryNext(): void {
    const {context} = this.owner;
    const nowMs = context.clock.monotonicMs();
    const quarantine = decideQuarantine(context.suspects, this.call.fingerprint, nowMs);
    if (quarantine.kind === 'refuse') {
      this.giveUp(notRun('quarantined'), quarantine.retryAfterMs, 'verdict');
      return;
    }
    const replica = this.choose();
    if (replica === undefined) {
      this.afterNoReplica();
      return;
    }
    this.send(replica, quarantine.kind === 'isolate' ? quarantine.crashes : 0, nowMs);
  }

  private choose(): Replica | undefined {
    const {context} = this.owner;
    const candidates = context.index.candidates(this.call.kind, this.call.target);
    const choice = chooseReplica(
      candidates,
      {
        class: this.call.class,
        zone: context.zone,
        prefixHash: this.call.prefixHash,
        prefixSavingMs: PREFIX_SAVING_MS,
        crossZoneMs: context.crossZoneMs,
        entries: context.liveEntries(),
        nowMs: context.clock.monotonicMs(),
        excluded: this.excluded,
      },
      Math.random,
    );
    return choice.kind === 'none' ? undefined : candidates[choice.index].replica;
  }

  /** A stream that has started waits for a replica; any other request is answered at once. */
  private afterNoReplica(): void {
    this.excluded.clear();
    if (this.lastFailure?.verdict.reason === 'redirected') {
      // The replica that it was passed on to has gone; the next one takes it.
      this.lastFailure = undefined;
      this.tryNext();
      return;
    }
    if (this.sink.hasStarted && this.call.resumable) {
      this.pollTimer = setTimeout(() => this.tryNext(), RESUME_POLL_MS);
      return;
    }
    // What the replicas that were tried said tells a caller more than that none is left.
    const {verdict, retryAfterMs} = this.lastFailure ?? {
      verdict: notRun('no_replica'),
      retryAfterMs: 0,
    };
    this.giveUp(verdict, retryAfterMs, 'verdict');
  }

  private send(replica: Replica, crashes: number, nowMs: number): void {
    const link = replica.client.link;
    if (link === undefined) {
      this.afterAttempt(notRun('not_written'), 0);
      return;
    }
    const attempt = this.owner.openAttempt(this);
    this.attempts += 1;
    this.attemptId = `${this.owner.context.processId}.${attempt}`;
    this.replica = replica;
    const stream = new AttemptStream(attempt, link, this.sink);
    this.stream = stream;
    replica.inFlight += 1;
    this.note('attempt', replica.id, crashes > 0 ? 'isolated' : '');
    link.send(
      startMessage(this.call, {
        attempt,
        tag: stream.tag,
        attemptId: this.attemptId,
        crashes,
        nowMs,
        hasAlternative: this.hasAlternative(),
        delivered: this.delivered,
      }),
    );
  }

  /** A redirect costs one hop; after a few of them the request waits where it is. */
  private hasAlternative(): boolean {
    const {index} = this.owner.context;
    const candidates = index.candidates(this.call.kind, this.call.target);
    return this.attempts <= MAX_REDIRECTS && this.excluded.size + 1 < candidates.length;
  }

  private onChunk(message: ChunkMessage): void {
    const stream = this.stream!;
    if (!stream.isNext(message.seq)) {
      this.onSequenceGap();
      return;
    }
    this.meter.onTokens(message.events.length);
    if (this.call.resumable) this.delivered.push(...message.events);
    stream.deliver(message);
  }

  private onSequenceGap(): void {
    this.owner.context.metrics.staleFrames.increment('sequence_gap');
    this.abandonAttempt();
    this.afterAttempt(mayHaveRun('link_lost'), 0);
  }

  private onEnd(message: EndMessage): void {
    if (!this.stream!.isNext(message.seq)) {
      this.onSequenceGap();
      return;
    }
    this.owner.context.index.circuitOf(this.replica!.id).onSuccess();
    this.note('end', this.replica!.id, '');
    this.endAttempt();
    this.complete(message.usage);
  }

  private complete(usage: string): void {
    const {metrics} = this.owner.context;
    metrics.completed.increment(this.call.class);
    if (this.meter.metTargets()) metrics.onTarget.increment(this.call.class);
    if (this.call.kind === 'engine') {
      metrics.firstToken[this.call.class].recordMs(this.meter.firstTokenMs());
    }
    this.sink.end(usage);
    this.finish();
  }

  /** Decides what follows an attempt that did not complete. */
  private afterAttempt(verdict: Verdict, retryAfterMs: number): void {
    if (this.finished) return;
    const {context} = this.owner;
    this.note('verdict', this.replica?.id ?? '', `${verdict.kind}:${verdict.reason}`);
    this.countFailure(verdict);
    this.lastFailure = {verdict, retryAfterMs};
    const idempotent = this.call.idempotencyKey === '';
    this.ranMaybe ||= verdict.kind === 'may_have_run' && idempotent;
    const decision = decideRetry({
      verdict,
      idempotent,
      answerStarted: this.sink.hasStarted || this.delivered.length > 0,
      resumable: this.call.resumable,
      remainingMs: this.call.deadlineMs - context.clock.monotonicMs(),
      attempts: this.attempts,
      maxAttempts: MAX_ATTEMPTS,
      takeToken: () => context.retryBudget.withdraw(this.budgetKey()),
    });
    switch (decision.kind) {
      case 'retry':
      case 'resume': {
        const counter =
          decision.kind === 'retry' ? context.metrics.retries : context.metrics.resumes;
        counter.increment(verdict.reason);
        if (verdict.reason !== 'preempted' && this.replica !== undefined) {
          this.excluded.add(this.replica.id);
        }
        this.tryNext();
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

  private countFailure(verdict: Verdict): void {
    const {clock, index} = this.owner.context;
    if (this.replica === undefined || !REPLICA_FAULTS.has(verdict.reason)) return;
    index.circuitOf(this.replica.id).onFailure(clock.monotonicMs());
  }

  /** Makes "not run" certain, or learns what the lost attempt did. */
  private async settleClaim(): Promise<void> {
    const {call} = this;
    const outcome: CancelOutcome = await this.owner.context.claims.cancel(
      call.organisation,
      call.idempotencyKey,
      call.fingerprint,
      this.attemptId,
    );
    this.note('settle_claim', '', outcome.kind);
    if (this.finished) return;
    switch (outcome.kind) {
      case 'never_runs':
        this.afterAttempt(notRun('cancelled_before_claim'), 0);
        return;
      case 'replay':
        this.replay(outcome.answer);
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

  private replay(answer: StoredResponse | undefined): void {
    if (answer === undefined || this.call.kind === 'engine') {
      this.giveUp({kind: 'completed', reason: 'replayed'}, 0, 'verdict');
      return;
    }
    this.sink.head(answer.status, answer.headers, true);
    this.sink.data(Buffer.from(answer.bodyBase64, 'base64'));
    this.complete('');
  }

  private giveUp(verdict: Verdict, retryAfterMs: number, cause: string): void {
    if (this.finished) return;
    const {metrics, log} = this.owner.context;
    // An earlier attempt's fate outlives a later "not run".
    const last =
      verdict.kind === 'not_run' && this.ranMaybe
        ? mayHaveRun('prior_attempt_unresolved')
        : verdict;
    const failure = errorResponseFor(last, retryAfterMs);
    metrics.refusals.increment(verdict.reason);
    metrics.givenUp.increment(cause);
    this.note('refused', '', `${last.kind}:${verdict.reason}`);
    log.info('request refused', {
      requestId: this.call.requestId,
      organisation: this.call.organisation,
      target: this.call.target,
      verdict: last.kind,
      reason: verdict.reason,
      cause,
    });
    this.sink.fail(failure);
    this.finish();
  }

  private onDeadline(): void {
    if (this.finished) return;
    const waiting = this.replica === undefined;
    this.abandonAttempt();
    const verdict = waiting && this.attempts === 0 ? notRun('deadline_passed') : undefined;
    this.giveUp(verdict ?? mayHaveRun('deadline_passed'), 0, 'deadline');
  }

  private onCallerGone(): void {
    if (this.finished) return;
    this.owner.context.metrics.givenUp.increment('caller_gone');
    this.note('caller_gone', this.replica?.id ?? '', '');
    this.abandonAttempt();
    this.finish();
  }

  /** Tells the sidecar to stop an attempt whose answer is no longer wanted. */
  private abandonAttempt(): void {
    if (this.stream === undefined) return;
    this.stream.link.send({type: 'cancel', attempt: this.stream.attempt});
    this.endAttempt();
  }

  private endAttempt(): void {
    if (this.stream === undefined || this.replica === undefined) return;
    this.owner.closeAttempt(this.stream.attempt);
    this.replica.inFlight -= 1;
    this.stream = undefined;
  }

  private finish(): void {
    if (this.finished) return;
    this.finished = true;
    clearTimeout(this.timer);
    clearTimeout(this.pollTimer);
    if (this.admitted) this.owner.context.limiter.release(this.call.organisation);
    this.owner.finish(this);
  }

  private budgetKey(): string {
    return `${this.call.organisation}/${this.call.target}`;
  }

  private note(step: string, replica: string, reason: string): void {
    this.trace.steps.push({atMs: Math.round(this.meter.elapsedMs()), step, replica, reason});
  }
}
