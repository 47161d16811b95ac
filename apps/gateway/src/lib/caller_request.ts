/** One caller's request from its head to its final answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {onCallerDisconnect} from '@jasminepost/caller';
import {mayHaveRun, errorMessage, notRun, type Verdict} from '@jasminepost/core';
import {
  retryAfterHeader,
  type CallerHeaders,
  type RequestHandle,
  type ReplicaResponseHead,
} from '@jasminepost/platform';
import {decideRetry, enginePriority, requestTimes} from '@jasminepost/policy';
import {
  selectBackend,
  EMPTY_GENERATION,
  maxTokens,
  type GenerationParams,
  type Route,
} from '@jasminepost/serving';
import {answerFault} from './answer_fault.ts';
import {AnswerRelay, sendOwnAnswer} from './answer_relay.ts';
import {Attempt} from './attempt.ts';
import {isOfAnother, noteHead} from './answer_notes.ts';
import {CrashGate} from './crash_gate.ts';
import type {RepeatableRequest} from './crash_watch.ts';
import type {LineMember} from './engine_line.ts';
import type {GatewayContext} from './gateway_context.ts';
import type {Ending} from './gateway_metrics.ts';
import type {Replica} from './replica.ts';

/** Sends of one request in which no replica ran it. */
const MAX_SENDS = 3;
/** A target that leaves time to load a model from a replica's disk. */
const PATIENT_TARGET_MS = 3500;
/** Least time that a request needs at a replica to be worth sending. */
const MIN_SERVICE_MS = 40;
const DEFAULT_RETRY_AFTER_MS = 300;

/** What ended one attempt. */
type AttemptEnd = Readonly<{verdict: Verdict; detail: string}>;

/** @internal */
export class CallerRequest implements LineMember {
  readonly arrivedMs: number;
  readonly service: string;
  readonly priority: number;
  readonly sendByMs: number;
  readonly uselessMs: number;
  readonly excluded = new Set<string>();
  readonly patient: boolean;

  private readonly deadlineMs: number;
  private sends = 0;
  private runs = 0;
  private exchange: RequestHandle | undefined;
  /** The newest send. */
  private attempt: Attempt | undefined;
  private mayRun = false;
  private finished = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly relay: AnswerRelay;
  private readonly asSent: RepeatableRequest;
  private readonly gate: CrashGate;
  private readonly canRepeat: boolean;

  constructor(
    private readonly ctx: GatewayContext,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly route: Route,
    private readonly head: CallerHeaders,
    body: Buffer,
    startedMs: number,
  ) {
    this.arrivedMs = startedMs;
    this.asSent = {method: req.method ?? 'GET', path: req.url ?? '/', body};
    this.gate = new CrashGate(ctx.crashes, this.asSent);
    this.service = selectBackend(route, head.requestId);
    this.priority = route.priority;
    this.patient = route.targetLatencyMs >= PATIENT_TARGET_MS;
    this.canRepeat = route.kind === 'idempotent' || route.resumable;
    this.relay = new AnswerRelay(res, req.method ?? '', route.resumable);
    const statedMs = head.deadlineMs ?? route.timeoutMs;
    const times = requestTimes({
      arrivedMs: startedMs,
      priorWaitMs: ctx.deadlines.priorWaitMs(route.name, statedMs, startedMs),
      limitMs: Math.min(statedMs, route.timeoutMs),
      targetLatencyMs: route.targetLatencyMs,
      targetGapMs: route.targetGapMs,
      firstEventMs: this.prefillMs(),
    });
    this.deadlineMs = times.deadlineMs;
    this.sendByMs = times.sendByMs;
    this.uselessMs = times.uselessMs;
  }

  get generation(): GenerationParams {
    return this.head.generation ?? EMPTY_GENERATION;
  }

  start(): void {
    const {clock} = this.ctx;
    this.timer = setTimeout(() => this.onDeadline(), this.deadlineMs - clock.monotonicMs());
    onCallerDisconnect(this.res, () => this.onCallerGone());
    this.ctx.retryBudget(this.service).countFirstAttempt(clock.monotonicMs());
    this.next();
  }

  /** Sends the request to a replica; `inputs` are what the choice rests on. */
  send(replica: Replica, inputs: Readonly<Record<string, unknown>>): void {
    const {clock, log, metrics} = this.ctx;
    const nowMs = clock.monotonicMs();
    const attempt = new Attempt(replica, nowMs, maxTokens(this.head.generation));
    this.attempt = attempt;
    this.sends += 1;
    replica.note({kind: 'sent'}, nowMs);
    metrics.waited.recordMs(nowMs - this.arrivedMs);
    log.info('request sent', {
      requestId: this.head.requestId,
      route: this.route.name,
      replica: replica.id,
      send: this.sends,
      waitedMs: Math.round(nowMs - this.arrivedMs),
      leftMs: Math.round(this.deadlineMs - nowMs),
      config: this.ctx.configVersion(),
      ...inputs,
    });
    const live = () => attempt.isLive && !this.finished;
    this.exchange = replica.channel.send(
      {
        ...this.asSent,
        rawHeaders: this.req.rawHeaders,
        systemHeaders: {
          deadlineMs: this.deadlineMs - nowMs,
          replicaId: replica.id,
          urgency: this.head.generation === undefined ? undefined : enginePriority(this),
          lastEventId: this.relay.lastEventId,
        },
      },
      {
        onHead: head => {
          if (live()) this.onHead(head);
        },
        onData: chunk => (live() ? this.onData(chunk) : true),
        onEnd: () => {
          if (live()) this.onEnd();
        },
        onError: (error, neverSent) => {
          if (!live()) return;
          if (!neverSent) this.gate.onCut(replica, nowMs);
          const verdict = neverSent ? notRun('connect_failed') : mayHaveRun('upstream_cut');
          this.onAttemptFailed({verdict, detail: errorMessage(error)}, true);
        },
      },
    );
  }

  /** Ends the request as not run, or as failed when an earlier attempt may have run. */
  refuse(reason: string, retryAfterMs: number, inputs: Readonly<Record<string, unknown>>): void {
    if (this.finished) return;
    this.ctx.metrics.refusals.increment(reason);
    if (this.mayRun) {
      this.fail(502, reason, inputs);
      return;
    }
    const leftMs = Math.max(0, this.deadlineMs - this.ctx.clock.monotonicMs());
    const header = retryAfterHeader(Math.min(retryAfterMs, leftMs));
    sendOwnAnswer(this.res, 503, reason, this.ctx.isDraining(), header);
    this.finish('refused', {reason, retryAfterMs: Math.round(retryAfterMs), ...inputs});
  }

  heldBackMs(): number {
    return this.gate.heldBackMs();
  }

  private next(): void {
    this.gate.pass(
      () => this.seekReplica(),
      heldBackMs => this.refuse('crashes_replicas', heldBackMs, {}),
    );
  }

  /** Looks for a replica, or enters the line for one. */
  private seekReplica(): void {
    const engine = this.ctx.engineOf(this.service);
    if (engine !== undefined && this.head.generation !== undefined) {
      this.ctx.line.submit(this);
      return;
    }
    this.ctx.services.submit(this);
  }

  private onHead(head: ReplicaResponseHead): void {
    const {replica, sentMs} = this.attempt!;
    const nowMs = this.ctx.clock.monotonicMs();
    noteHead(this.ctx, this.attempt!, head);
    if (head.requestId !== '' && head.requestId !== this.head.requestId) {
      // An answer to an earlier request: the connection is out of step.
      this.rejectAnswer('foreign answer');
      return;
    }
    if (head.status !== 421) replica.onAnswered(sentMs, nowMs);
    if (head.notRun) {
      if (isOfAnother(head, replica)) replica.displaced = true;
      this.onAttemptFailed(
        {verdict: notRun('upstream_refused'), detail: `status ${head.status}`},
        false,
      );
      return;
    }
    const detail = answerFault(head, this.canRetryAnswer());
    if (detail !== undefined) {
      // A failure that is well formed leaves its connection usable.
      if (head.status < 400) this.exchange?.abort();
      this.onAttemptFailed({verdict: mayHaveRun('upstream_cut'), detail}, true);
      return;
    }
    this.relay.head(head, this.ctx.isDraining());
  }

  private canRetryAnswer(): boolean {
    return this.route.kind === 'idempotent' && this.runs + 1 < this.route.maxAttempts;
  }

  private onData(chunk: Buffer): boolean {
    if (this.attempt!.firstEventMs === 0) this.onFirstEvent(this.attempt!);
    const flowing = this.relay.data(chunk, () => this.exchange?.resume());
    if (this.relay.isEndless) this.rejectAnswer('event without end');
    return flowing;
  }

  /** Gives up an attempt whose answer is none. */
  private rejectAnswer(detail: string): void {
    this.exchange?.abort();
    this.onAttemptFailed({verdict: mayHaveRun('upstream_cut'), detail}, true);
  }

  private onFirstEvent(attempt: Attempt): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const spentMs = attempt.onFirstEvent(nowMs);
    this.ctx.metrics.firstEvent.recordMs(nowMs - this.arrivedMs);
    const {generation} = this.head;
    if (generation !== undefined) {
      attempt.replica.learnPrefill(spentMs / (attempt.backlog + 1));
      if (attempt.backlog === 0) {
        this.ctx.estimator.learn(generation.model, generation.tokensIn, spentMs);
      }
    }
    this.ctx.line.wake();
  }

  private onEnd(): void {
    const {replica, sentMs} = this.attempt!;
    const nowMs = this.ctx.clock.monotonicMs();
    replica.note({kind: 'answered'}, nowMs);
    replica.learnService(nowMs - sentMs);
    this.endAttempt();
    if (this.relay.endsInEvent) {
      this.gate.onCut(replica, sentMs);
      this.onAttemptFailed({verdict: mayHaveRun('upstream_cut'), detail: 'event cut'}, false);
      return;
    }
    this.relay.end();
    this.gate.onServed();
    this.finish('answered', {replica: replica.id, status: this.res.statusCode});
  }

  /** @param countFault - True when the failure speaks against the replica. */
  private onAttemptFailed(end: AttemptEnd, countFault: boolean): void {
    const {clock, log, metrics} = this.ctx;
    const {replica, sentMs} = this.attempt!;
    const nowMs = clock.monotonicMs();
    if (countFault) replica.note({kind: 'failed'}, nowMs);
    this.endAttempt();
    this.excluded.add(replica.id);
    const {verdict} = end;
    metrics.attemptFailures.increment(verdict.reason);
    if (verdict.kind === 'may_have_run') {
      this.runs += 1;
      this.mayRun = true;
    }
    const isNotRun = verdict.kind === 'not_run';
    const decision = decideRetry({
      verdict,
      idempotent: this.canRepeat,
      answerStarted: this.relay.started,
      resumable: this.route.resumable,
      remainingMs: this.deadlineMs - nowMs - MIN_SERVICE_MS,
      attempts: isNotRun ? this.sends : this.runs,
      maxAttempts: isNotRun ? MAX_SENDS : this.route.maxAttempts,
      takeToken: () => this.ctx.retryBudget(this.service).tryRetry(this.ctx.gateways(), nowMs),
    });
    log.info('attempt failed', {
      requestId: this.head.requestId,
      replica: replica.id,
      verdict: verdict.kind,
      reason: verdict.reason,
      detail: end.detail,
      decision: decision.kind,
      cause: decision.kind === 'give_up' ? decision.cause : '',
      tookMs: Math.round(nowMs - sentMs),
    });
    if (decision.kind === 'retry' || decision.kind === 'resume') {
      this.relay.dropPartial();
      metrics.retries.increment(verdict.reason);
      this.next();
      return;
    }
    if (isNotRun) this.refuse(verdict.reason, DEFAULT_RETRY_AFTER_MS, {detail: end.detail});
    else this.fail(502, verdict.reason, {detail: end.detail});
  }

  private onDeadline(): void {
    if (this.finished) return;
    const sent = this.exchange !== undefined;
    this.withdraw();
    if (sent) this.abandon();
    if (!sent && this.sends === 0) this.refuse('deadline_passed', 0, {});
    else this.fail(504, 'deadline_passed', {});
  }

  private onCallerGone(): void {
    if (this.finished) return;
    this.withdraw();
    this.abandon();
    this.finish('caller_gone', {});
  }

  private withdraw(): void {
    this.ctx.line.withdraw(this);
    this.ctx.services.withdraw(this);
  }

  private abandon(): void {
    if (this.exchange === undefined) return;
    const {replica, sentMs} = this.attempt!;
    this.gate.onGivenUp(replica, sentMs);
    replica.note({kind: 'given_up'}, this.ctx.clock.monotonicMs());
    this.exchange.abort();
    this.endAttempt();
  }

  private endAttempt(): void {
    this.exchange = undefined;
    this.attempt?.end();
    this.ctx.line.wake();
  }

  /** Ends a request that may have run. */
  private fail(status: 502 | 504, reason: string, inputs: Readonly<Record<string, unknown>>): void {
    if (this.finished) return;
    if (this.relay.started) {
      this.finish('cut', {reason, ...inputs});
      this.relay.cut();
      return;
    }
    sendOwnAnswer(this.res, status, reason, this.ctx.isDraining(), {});
    this.finish(status === 504 ? 'timed_out' : 'failed', {reason, ...inputs});
  }

  private finish(ending: Ending, inputs: Readonly<Record<string, unknown>>): void {
    if (this.finished) return;
    this.finished = true;
    clearTimeout(this.timer);
    this.gate.dispose();
    this.ctx.metrics.endings.increment(ending);
    const nowMs = this.ctx.clock.monotonicMs();
    const firstEventMs = this.attempt?.firstEventMs ?? 0;
    this.ctx.log.info('request ended', {
      requestId: this.head.requestId,
      route: this.route.name,
      service: this.service,
      model: this.head.generation?.model ?? '',
      adapter: this.head.generation?.adapter ?? '',
      ending,
      sends: this.sends,
      tookMs: Math.round(nowMs - this.arrivedMs),
      firstEventMs: firstEventMs === 0 ? -1 : Math.round(firstEventMs - this.arrivedMs),
      targetMs: this.route.targetLatencyMs,
      config: this.ctx.configVersion(),
      ...inputs,
    });
    this.ctx.onFinished(this);
  }

  private prefillMs(): number {
    const {generation} = this.head;
    if (generation === undefined) return MIN_SERVICE_MS;
    return this.ctx.estimator.estimateMs(generation.model, generation.tokensIn);
  }
}
