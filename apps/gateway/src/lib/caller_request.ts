/** Life cycle of one caller's request, from its arrival to the final response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {onCallerDisconnect} from '@jasminepost/caller';
import {assertNever, mayHaveRun, errorMessage, notRun} from '@jasminepost/core';
import {
  retryAfterHeader,
  type CallerHeaders,
  type RequestHandle,
  type ReplicaResponseHead,
} from '@jasminepost/platform';
import {enginePriority, type StallReason} from '@jasminepost/policy';
import {
  selectBackend,
  EMPTY_GENERATION,
  sharedPartIds,
  type GenerationParams,
  type Route,
} from '@jasminepost/serving';
import {isErrorStatus, judgeResponse} from './response_fault.ts';
import {ResponseRelay, sendLocalResponse} from './response_relay.ts';
import type {Attempt} from './attempt.ts';
import {AttemptCount} from './attempt_count.ts';
import {isFromOtherReplica, recordFirstEvent, recordResponseHead} from './response_head.ts';
import {QuotaGate} from './quota_gate.ts';
import {admitRequest, DEFAULT_RETRY_AFTER_MS} from './request_admission.ts';
import {RequestLog, type AttemptFailure, type LogFields} from './request_log.ts';
import {notSent, outgoingRequest} from './outgoing_request.ts';
import {isDelayTolerant, scheduleRequest} from './request_schedule.ts';
import {StallWatch, type WatchedStream} from './stall_watch.ts';
import {StreamVersionGate} from './stream_version_gate.ts';
import {CrashGate} from './crash_gate.ts';
import type {RequestContent} from './crash_suspects.ts';
import type {AcceptedCaller} from './key_gate.ts';
import type {GatewayContext} from './gateway_context.ts';
import type {RequestOutcome} from './gateway_metrics.ts';
import type {Replica} from './replica.ts';

/** @internal */
export class CallerRequest implements WatchedStream {
  readonly arrivedMs: number;
  readonly service: string;
  readonly organisation: AcceptedCaller['organisation'];
  readonly organisationPriority: number | undefined;
  readonly priority: number;
  readonly sendByMs: number;
  readonly abandonedMs: number;
  readonly excluded = new Set<string>();
  readonly isDelayTolerant: boolean;
  readonly quota: QuotaGate;

  readonly deadlineMs: number;
  private exchange: RequestHandle | undefined;
  /** The most recent attempt. */
  private attempt: Attempt | undefined;
  /** Data of the current attempt that waits until the version of the stream is recorded. */
  private readonly heldEvents: Buffer[] = [];
  private finished = false;
  private timer: NodeJS.Timeout | undefined;
  readonly relay: ResponseRelay;
  private readonly content: RequestContent;
  readonly crashGate: CrashGate;
  readonly count: AttemptCount;
  private readonly stallWatch: StallWatch;
  private readonly log: RequestLog;
  readonly versionGate: StreamVersionGate;

  constructor(
    private readonly ctx: GatewayContext,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    readonly route: Route,
    private readonly head: CallerHeaders,
    private readonly caller: AcceptedCaller,
    body: Buffer,
    startedMs: number,
  ) {
    this.quota = new QuotaGate(ctx.quotas, caller.organisation?.name, head.tokens);
    this.arrivedMs = startedMs;
    const {method = 'GET', url: path = '/'} = req;
    this.content = {method, path, body};
    this.log = new RequestLog(ctx, head, route, startedMs, caller.organisation?.name);
    this.crashGate = new CrashGate(ctx.crashes, this.content, sharedPartIds(this.generation));
    this.service = selectBackend(route, head.requestId);
    const onRecorded = () => this.releaseHeldEvents();
    this.versionGate = new StreamVersionGate(ctx, head, route, this.service, onRecorded);
    this.organisation = caller.organisation;
    this.organisationPriority = caller.priority;
    this.priority = route.priority;
    this.isDelayTolerant = isDelayTolerant(route);
    const onEvicted = () => setImmediate(() => this.checkEvents());
    this.relay = new ResponseRelay(res, method, route.resumable, ctx.memory.events, onEvicted);
    const times = scheduleRequest(ctx, head, route, startedMs);
    this.deadlineMs = times.deadlineMs;
    this.sendByMs = times.sendByMs;
    this.abandonedMs = times.abandonedMs;
    this.count = new AttemptCount(ctx, route, this.service, this.deadlineMs);
    this.stallWatch = new StallWatch(ctx, this);
  }

  get generation(): GenerationParams {
    return this.head.generation ?? EMPTY_GENERATION;
  }

  get requiredVersion(): string | undefined {
    return this.versionGate.requiredVersion;
  }

  get hasBeenSent(): boolean {
    return this.count.sends > 0;
  }

  start(): void {
    const {clock} = this.ctx;
    const leftMs = this.deadlineMs - clock.monotonicMs();
    this.timer = setTimeout(() => this.giveUp('deadline_passed', 0), leftMs);
    onCallerDisconnect(this.res, () => this.onCallerGone());
    this.ctx.retryBudget(this.service).countFirstAttempt(clock.monotonicMs());
    this.versionGate.whenKnown(
      () => this.checkAndSubmit(),
      () => this.refuse('stream_version_unknown', DEFAULT_RETRY_AFTER_MS, {}),
    );
  }

  /** Sends the request to a replica; `logFields` are the inputs of the choice of replica. */
  send(replica: Replica, logFields: LogFields): void {
    const {clock, estimator, metrics, zoneTraffic} = this.ctx;
    const {body} = this.content;
    const {generation} = this.head;
    const nowMs = clock.monotonicMs();
    const prefillMs = estimator.prefillMs(generation);
    const attempt = zoneTraffic.startAttempt(replica, nowMs, body, generation, prefillMs);
    this.attempt = attempt;
    this.count.sends += 1;
    replica.recordEvent({kind: 'sent'}, nowMs);
    this.versionGate.onSent(replica);
    this.quota.onSent();
    metrics.waited.recordMs(nowMs - this.arrivedMs);
    this.log.sent(attempt, this.count.sends, this.deadlineMs, logFields);
    this.stallWatch.start(attempt);
    const isCurrent = () => attempt.isLive && !this.finished;
    this.exchange = replica.client.send(
      outgoingRequest(this.ctx, replica, {
        ...this.content,
        rawHeaders: this.req.rawHeaders,
        leftMs: this.deadlineMs - nowMs,
        urgency: this.head.generation === undefined ? undefined : enginePriority(this),
        lastEventId: this.relay.lastEventId,
        caller: this.caller.identity,
      }),
      {
        onHead: head => {
          if (isCurrent()) this.onHead(head);
        },
        onData: chunk => (isCurrent() ? this.onData(chunk) : true),
        onEnd: () => {
          if (isCurrent()) this.onEnd();
        },
        onError: (error, neverSent) => {
          if (!isCurrent()) return;
          if (!neverSent) this.crashGate.onCut(replica, nowMs);
          const verdict = neverSent ? notSent(error, replica) : mayHaveRun('upstream_cut');
          const isNotStarted = verdict.reason === 'not_started';
          if (isNotStarted) replica.recordEvent({kind: 'given_up'}, clock.monotonicMs());
          this.onAttemptFailed({verdict, detail: errorMessage(error)}, !isNotStarted);
        },
      },
    );
  }

  /** Refuses the request as not run, or fails it when an earlier attempt may have run. */
  refuse(
    reason: string,
    retryAfterMs: number,
    logFields: LogFields,
    status: 429 | 503 = 503,
  ): void {
    if (this.finished) return;
    this.ctx.metrics.refusals.increment(reason);
    if (this.count.runs > 0) {
      this.fail(502, reason, logFields);
      return;
    }
    const leftMs = Math.max(0, this.deadlineMs - this.ctx.clock.monotonicMs());
    // Credit comes at its time, also after the deadline of this request.
    const header = retryAfterHeader(status === 429 ? retryAfterMs : Math.min(retryAfterMs, leftMs));
    this.quota.refund();
    sendLocalResponse(this.res, status, reason, this.ctx.endsConnection(this.req), header);
    this.finish('refused', {reason, retryAfterMs: Math.round(retryAfterMs), ...logFields});
  }

  holdMs(): number {
    return this.crashGate.holdMs();
  }

  /** Hands the request to the queue for its service, which sends it at once where it can. */
  private checkAndSubmit(): void {
    if (this.finished) return;
    const submit = () => {
      const hasEngine = this.ctx.engineOf(this.service) !== undefined;
      if (hasEngine && this.head.generation !== undefined) this.ctx.generations.submit(this);
      else this.ctx.services.submit(this);
      this.quota.releaseUnsent();
    };
    admitRequest(this, submit, (...refusal) => this.refuse(...refusal));
  }

  private onHead(head: ReplicaResponseHead): void {
    const {replica, sentMs} = this.attempt!;
    const nowMs = this.ctx.clock.monotonicMs();
    const verdict = judgeResponse(head, {
      requestId: this.head.requestId,
      isContinuation: this.relay.headSent,
      canRetry: this.route.kind === 'idempotent' && this.count.left > 0,
    });
    if (verdict.kind !== 'foreign') {
      recordResponseHead(this.ctx, this.attempt!, head);
      if (head.status !== 421) replica.onResponse(sentMs, nowMs);
    }
    switch (verdict.kind) {
      case 'usable':
        this.relay.head(head, this.ctx.endsConnection(this.req));
        return;
      case 'not_run': {
        if (isFromOtherReplica(head, replica)) replica.addressReassigned = true;
        const {detail} = verdict;
        this.onAttemptFailed({verdict: notRun('upstream_refused'), detail}, false);
        return;
      }
      case 'faulty':
        // A well-formed error response leaves the connection usable, so only others are aborted.
        if (!isErrorStatus(head.status)) this.exchange?.abort();
        this.onAttemptFailed({verdict: mayHaveRun('upstream_cut'), detail: verdict.detail}, true);
        return;
      case 'foreign':
        this.abortAttempt(verdict.detail);
        return;
      default:
        assertNever(verdict);
    }
  }

  private onData(chunk: Buffer): boolean {
    if (this.versionGate.isRecording) {
      this.heldEvents.push(chunk);
      this.stallWatch.onProgress(false);
      return false;
    }
    this.attempt!.responseBytes += chunk.length;
    if (this.attempt!.firstEventMs === 0) {
      if (this.relay.isStream) this.versionGate.onFirstEvent(this.attempt!.replica);
      recordFirstEvent(this.ctx, this.attempt!, this.arrivedMs, this.head.generation);
    }
    const hasCapacity = this.relay.data(chunk, () => {
      this.stallWatch.onProgress(true);
      this.exchange?.resume();
    });
    this.stallWatch.onProgress(hasCapacity);
    this.checkEvents();
    return hasCapacity;
  }

  private checkEvents(): void {
    const {eventFault} = this.relay;
    if (eventFault !== undefined && !this.finished) this.abortAttempt(eventFault);
  }

  /** Sends events to the caller that waited until the version of the stream was recorded. */
  private releaseHeldEvents(): void {
    const chunks = this.heldEvents.splice(0);
    if (this.finished || this.attempt?.isLive !== true || chunks.length === 0) return;
    if (this.onData(Buffer.concat(chunks))) this.exchange?.resume();
  }

  /** Aborts an attempt whose response is unusable. */
  private abortAttempt(detail: string): void {
    this.exchange?.abort();
    this.onAttemptFailed({verdict: mayHaveRun('upstream_cut'), detail}, true);
  }

  private onEnd(): void {
    const {replica, sentMs} = this.attempt!;
    const nowMs = this.ctx.clock.monotonicMs();
    replica.recordEvent({kind: 'answered'}, nowMs);
    replica.recordServiceTime(nowMs - sentMs);
    this.endAttempt();
    if (this.relay.isBrokenOff) {
      this.crashGate.onCut(replica, sentMs);
      this.onAttemptFailed(
        {verdict: mayHaveRun('upstream_cut'), detail: 'stream broken off'},
        false,
      );
      return;
    }
    this.relay.end();
    // An error response says nothing about what would happen if a replica ran the request.
    if (this.res.statusCode < 300) {
      if (this.relay.isCloseDelimited) this.crashGate.onUnclearEnd(replica, sentMs);
      else this.crashGate.onCompleted();
    }
    this.finish('answered', {replica: replica.id, status: this.res.statusCode});
  }

  /** @param countsAgainstReplica - True when the failure indicates that the replica is faulty. */
  private onAttemptFailed(failure: AttemptFailure, countsAgainstReplica: boolean): void {
    const {clock, metrics} = this.ctx;
    const {replica} = this.attempt!;
    const nowMs = clock.monotonicMs();
    if (countsAgainstReplica) replica.recordEvent({kind: 'failed'}, nowMs);
    this.endAttempt();
    const {verdict} = failure;
    // The list decides whether a replica is found again of which it was not known to be usable.
    if (verdict.reason !== 'not_started') this.excluded.add(replica.incarnation);
    metrics.attemptFailures.increment(verdict.reason);
    const decision = this.count.afterFailure(verdict, this.relay.headSent, nowMs);
    this.log.attemptFailed({attempt: this.attempt!, ...failure, decision});
    if (decision.kind === 'retry' || decision.kind === 'resume') {
      this.relay.startAttempt();
      metrics.retries.increment(verdict.reason);
      this.checkAndSubmit();
      return;
    }
    if (verdict.kind === 'not_run')
      this.refuse(verdict.reason, DEFAULT_RETRY_AFTER_MS, {detail: failure.detail});
    else this.fail(502, verdict.reason, {detail: failure.detail});
  }

  /** Closes the connection of a silent attempt, then resumes the stream at another replica. */
  moveStream(reason: StallReason, logFields: LogFields): void {
    this.log.moved(this.attempt!, logFields);
    this.abortExchange();
    this.onAttemptFailed({verdict: mayHaveRun('upstream_stalled'), detail: reason}, false);
  }

  /** Ends an unfinished request with a response while there still is time to send one. */
  giveUp(reason: string, retryAfterMs: number): void {
    if (this.finished) return;
    const sent = this.exchange !== undefined;
    this.leaveQueues();
    if (sent) this.abortExchange();
    if (!sent && !this.hasBeenSent) this.refuse(reason, retryAfterMs, {});
    else this.fail(504, reason, {});
  }

  private onCallerGone(): void {
    if (this.finished) return;
    this.leaveQueues();
    this.abortExchange();
    this.finish('caller_gone', {});
  }

  private leaveQueues(): void {
    this.ctx.generations.withdraw(this);
    this.ctx.services.withdraw(this);
  }

  private abortExchange(): void {
    if (this.exchange === undefined) return;
    const {replica, sentMs} = this.attempt!;
    this.crashGate.onAborted(replica, sentMs);
    replica.recordEvent({kind: 'given_up'}, this.ctx.clock.monotonicMs());
    this.exchange.abort();
    this.endAttempt();
  }

  private endAttempt(): void {
    this.stallWatch.stop();
    this.exchange?.discard();
    this.exchange = undefined;
    this.heldEvents.length = 0;
    this.attempt?.end();
    this.ctx.generations.scheduleDispatch();
  }

  /** Ends a request that may have run, with an error response or by aborting a started response. */
  private fail(status: 502 | 504, reason: string, logFields: LogFields): void {
    if (this.finished) return;
    if (this.relay.headSent) {
      this.finish('cut', {reason, ...logFields});
      this.relay.cut();
      return;
    }
    sendLocalResponse(this.res, status, reason, this.ctx.endsConnection(this.req), {});
    this.finish(status === 504 ? 'timed_out' : 'failed', {reason, ...logFields});
  }

  private finish(outcome: RequestOutcome, logFields: Readonly<Record<string, unknown>>): void {
    if (this.finished) return;
    this.finished = true;
    clearTimeout(this.timer);
    this.quota.releaseUnsent();
    this.crashGate.dispose();
    this.relay.dispose();
    this.ctx.metrics.endings.increment(outcome);
    this.log.ended(outcome, this.service, this.count.sends, this.attempt, logFields);
    this.ctx.onFinished(this);
  }
}
