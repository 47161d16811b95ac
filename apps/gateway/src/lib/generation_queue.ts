/** Queue of generations that wait for a replica with their model, and their dispatch. */
import type {Clock} from '@jasminepost/core';
import {
  compareQueuedRequests,
  DrainRateEstimator,
  shouldQueue,
  queuedRequestState,
} from '@jasminepost/policy';
import type {EngineSpec, GenerationParams} from '@jasminepost/serving';
import type {DemandMeter} from './demand_meter.ts';
import type {EngineSelection, EngineSelector, WaitReason} from './engine_selector.ts';
import type {PrefillEstimator} from './prefill_estimator.ts';
import type {Replica} from './replica.ts';
import type {QueuedServiceRequest} from './service_queue.ts';

/** Interval at which queued requests are checked when no event triggers a check. */
const RECHECK_INTERVAL_MS = 40;
/** Random part added to computed waits, so that refused callers don't all retry at once. */
const RETRY_AFTER_JITTER_MS = 250;
/** Short, because another gateway can serve the caller at once. @internal */
export const LEAVING_RETRY_AFTER_MS = 50;
/** A configuration that contains the model may be about to arrive. */
const UNKNOWN_MODEL_RETRY_AFTER_MS = 1000;
/** Minimum retry delay of refused callers. */
const MIN_RETRY_AFTER_MS = 80;
/** Minimum retry delay under overload: loading another copy of the model from disk takes 2 s. */
const OVERLOAD_RETRY_AFTER_MS = 1500;

type FoundReplica = Extract<EngineSelection, {kind: 'found'}>;

/** A generation as the queue sees it. @internal */
export interface QueuedGeneration extends QueuedServiceRequest {
  readonly generation: GenerationParams;
  /** True when its latency target leaves time to load the model first. */
  readonly isDelayTolerant: boolean;
}

/** @internal */
export interface GenerationQueueContext {
  readonly clock: Clock;
  readonly selector: EngineSelector;
  readonly estimator: PrefillEstimator;
  readonly demand: DemandMeter;
  engineOf(service: string): EngineSpec | undefined;
  /** True once only requests that have already been sent may finish before the exit. */
  isClosing(): boolean;
  /** False while a newer list of replicas is awaited. */
  mayChooseReplica(): boolean;
  /** Uses a permit if the replica is rate-limited; false when none is available. */
  tryUsePermit(replica: Replica): boolean;
  /** Subscribes to frequent load reports of a replica that requests are sent to. */
  renewLoadSubscription(replica: Replica): void;
}

/** Queued requests for one model at one level; more urgent requests reduce their drain rate. */
interface PriorityLevel {
  length: number;
  readonly drainRate: DrainRateEstimator;
}

/** @internal */
export class GenerationQueue {
  /** Queued requests, each with the reason for which it could not be sent. */
  private readonly queued = new Map<QueuedGeneration, WaitReason>();
  /** Requests that are submitted once a newer list is known; no replica's load makes them wait. */
  private readonly awaitingList = new Set<QueuedGeneration>();
  /** Priority levels of each `service/model`. */
  private readonly levelsByModel = new Map<string, Map<string, PriorityLevel>>();
  private recheckTimer: NodeJS.Timeout | undefined;
  private isDispatchScheduled = false;

  constructor(private readonly ctx: GenerationQueueContext) {}

  get length(): number {
    return this.queued.size + this.awaitingList.size;
  }

  /** Sends a request, queues it, or refuses it when it can't be served in time. */
  submit(request: QueuedGeneration): void {
    const {ctx} = this;
    const spec = ctx.engineOf(request.service)?.models.get(request.generation.model);
    if (spec === undefined) {
      request.refuse('unknown_model', UNKNOWN_MODEL_RETRY_AFTER_MS, {
        model: request.generation.model,
      });
      return;
    }
    // A first attempt might not end before the process does; another gateway can serve it now.
    if (ctx.isClosing() && !request.hasBeenSent) {
      request.refuse('leaving', LEAVING_RETRY_AFTER_MS, {});
      return;
    }
    if (!ctx.mayChooseReplica()) {
      this.awaitingList.add(request);
      this.startRechecks();
      return;
    }
    ctx.demand.count(request.service, request.generation, request.isDelayTolerant);
    const {ahead, aheadAtPriority} = this.countAhead(request);
    const outcome = ahead > 0 ? ctx.selector.waitReasonBehind(request) : this.tryDispatch(request);
    if (outcome === 'sent') return;
    if (ctx.isClosing()) {
      request.refuse('leaving', LEAVING_RETRY_AFTER_MS, {placing: outcome});
      return;
    }
    const nowMs = ctx.clock.monotonicMs();
    if (outcome === 'no_holder') {
      const waitMs = ctx.selector.loadTimeMs(request);
      if (queuedRequestState(request, nowMs + waitMs) === 'hopeless') {
        request.refuse('no_holder', toRetryAfterMs(waitMs), {waitMs: Math.round(waitMs)});
        return;
      }
    } else if (outcome === 'paused') {
      if (this.refusePaused(request, nowMs)) return;
    } else if (outcome === 'limited') {
      if (this.refuseLimited(request, ahead, nowMs)) return;
    } else if (outcome !== 'adapter') {
      const waitMs = this.levelOf(request).drainRate.waitMs(aheadAtPriority, nowMs);
      if (!shouldQueue(request, waitMs, nowMs)) {
        const logFields = {ahead, waitMs: Math.round(waitMs)};
        request.refuse(
          'line_full',
          Math.max(OVERLOAD_RETRY_AFTER_MS, toRetryAfterMs(waitMs)),
          logFields,
        );
        return;
      }
    }
    this.enqueue(request, outcome, nowMs);
  }

  /** Removes a request whose caller has disconnected or whose deadline has passed. */
  withdraw(request: QueuedGeneration): void {
    this.awaitingList.delete(request);
    this.dequeue(request);
  }

  /**
   * Expected time to the first event of a request if it were submitted now; undefined when it would
   * not be sent at once.
   *
   * @param excluded - Incarnations of replicas that are left out.
   */
  expectedMs(request: QueuedGeneration, excluded: ReadonlySet<string>): number | undefined {
    const {ctx} = this;
    if (ctx.isClosing() || !ctx.mayChooseReplica()) return undefined;
    if (this.waitingFor(modelKeyOf(request)) > 0) return undefined;
    return ctx.selector.expectedMs(request, excluded);
  }

  /** Number of queued requests by `service/model`. */
  waitingByModel(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const model of this.levelsByModel.keys()) {
      const length = this.waitingFor(model);
      if (length > 0) counts.set(model, length);
    }
    return counts;
  }

  /** Schedules a dispatch of queued requests after the current events have been handled. */
  scheduleDispatch(): void {
    if (this.isDispatchScheduled || this.length === 0) return;
    this.isDispatchScheduled = true;
    setImmediate(() => {
      this.isDispatchScheduled = false;
      this.dispatchWaiting();
    });
  }

  dispose(): void {
    clearInterval(this.recheckTimer);
  }

  private enqueue(request: QueuedGeneration, outcome: WaitReason, nowMs: number): void {
    this.queued.set(request, outcome);
    const level = this.levelOf(request);
    level.length += 1;
    level.drainRate.onWaiting(nowMs);
    this.startRechecks();
  }

  private startRechecks(): void {
    this.recheckTimer ??= setInterval(() => this.dispatchWaiting(), RECHECK_INTERVAL_MS);
  }

  private dequeue(request: QueuedGeneration): void {
    if (!this.queued.delete(request)) return;
    const level = this.levelOf(request);
    level.length -= 1;
    if (level.length === 0) level.drainRate.onEmpty();
  }

  /** Sends, refuses, or keeps each queued request, in the order of the queue. */
  private dispatchWaiting(): void {
    if (!this.ctx.mayChooseReplica()) return;
    const submitted = [...this.awaitingList];
    this.awaitingList.clear();
    for (const request of submitted) this.submit(request);
    const nowMs = this.ctx.clock.monotonicMs();
    /** Combinations of model and adapter for which no replica can take a request now. */
    const full = new Set<string>();
    /** Models for which a request that can still meet its target could not be sent. */
    const blocked = new Set<string>();
    /** Requests that wait for permits, by model and adapter. */
    const limited = new Map<string, number>();
    const ordered = [...this.queued.keys()].sort((a, b) => compareQueuedRequests(a, b, nowMs));
    for (const request of ordered) {
      if (this.ctx.isClosing()) {
        this.dequeue(request);
        request.refuse('leaving', LEAVING_RETRY_AFTER_MS, {});
        continue;
      }
      const holdMs = request.holdMs();
      if (holdMs > 0) {
        this.dequeue(request);
        request.refuse('crashes_replicas', holdMs, {});
        continue;
      }
      const model = modelKeyOf(request);
      const key = `${model}/${request.generation.adapter}`;
      const state = queuedRequestState(request, nowMs);
      if (state === 'hopeless') {
        this.refuseWaiting(request, 'waited_too_long', nowMs);
        continue;
      }
      if (state === 'late' && blocked.has(model)) {
        this.refuseWaiting(request, 'overloaded', nowMs);
        continue;
      }
      const ahead = limited.get(key) ?? 0;
      if (ahead > 0 && this.refuseLimited(request, ahead, nowMs)) continue;
      if (ahead > 0) limited.set(key, ahead + 1);
      if (full.has(key)) continue;
      const outcome = this.tryDispatch(request);
      if (outcome === 'sent') {
        this.dequeue(request);
        continue;
      }
      if (outcome === 'late_here') {
        this.refuseWaiting(request, 'overloaded', nowMs);
        continue;
      }
      // Other organisations may still have credit.
      if (outcome === 'quota') {
        this.queued.set(request, outcome);
        continue;
      }
      if (outcome === 'paused' && this.refusePaused(request, nowMs)) continue;
      if (outcome === 'limited') {
        if (this.refuseLimited(request, 0, nowMs)) continue;
        limited.set(key, 1);
      }
      this.queued.set(request, outcome);
      full.add(key);
      if (outcome === 'full' && state === 'on_time') blocked.add(model);
    }
    if (this.length === 0) {
      clearInterval(this.recheckTimer);
      this.recheckTimer = undefined;
    }
  }

  /** Refuses a request that has waited in the queue. */
  private refuseWaiting(request: QueuedGeneration, reason: string, nowMs: number): void {
    this.dequeue(request);
    const waitedMs = Math.round(nowMs - request.arrivedMs);
    const {length, drainRate} = this.levelOf(request);
    const waitMs = toRetryAfterMs(drainRate.waitMs(length, nowMs));
    request.refuse(reason, Math.max(OVERLOAD_RETRY_AFTER_MS, waitMs), {waitedMs, line: length});
  }

  private tryDispatch(request: QueuedGeneration): WaitReason | 'sent' {
    const selection = this.ctx.selector.select(request, this.waitingFor(modelKeyOf(request)));
    if (selection.kind !== 'found') return selection.kind;
    const {replica} = selection;
    if (!request.quota.tryCharge()) return 'quota';
    if (!this.ctx.tryUsePermit(replica)) {
      request.quota.releaseUnsent();
      return 'limited';
    }
    this.sendTo(request, selection);
    return 'sent';
  }

  private sendTo(request: QueuedGeneration, {replica, candidate, zoneFields}: FoundReplica): void {
    const {length, drainRate} = this.levelOf(request);
    const isWaiting = this.queued.has(request);
    drainRate.onSent(this.ctx.clock.monotonicMs(), isWaiting ? length - 1 : length);
    this.ctx.renewLoadSubscription(replica);
    request.send(replica, {
      unstarted: candidate.awaitingFirstEvent,
      occupied: candidate.active,
      kvUsed: candidate.kvUsed,
      backlogMs: Math.round(candidate.backlogMs),
      pace: candidate.pace?.toFixed(2),
      paceAgeMs: replica.paceAgeMs(this.ctx.clock.monotonicMs()),
      ...zoneFields,
    });
  }

  /**
   * Counts the queued requests for the same model that are served first. Requests that wait for an
   * adapter or for credit don't count: their wait is short and delays no others.
   */
  private countAhead(request: QueuedGeneration): {ahead: number; aheadAtPriority: number} {
    const counts = {ahead: 0, aheadAtPriority: 0};
    const model = modelKeyOf(request);
    if (this.waitingFor(model) === 0) return counts;
    const nowMs = this.ctx.clock.monotonicMs();
    for (const [other, outcome] of this.queued) {
      if (outcome === 'adapter' || outcome === 'quota' || modelKeyOf(other) !== model) continue;
      if (compareQueuedRequests(other, request, nowMs) > 0) continue;
      counts.ahead += 1;
      if (levelKeyOf(other) === levelKeyOf(request)) counts.aheadAtPriority += 1;
    }
    return counts;
  }

  /** Number of requests queued for a `service/model`. */
  private waitingFor(model: string): number {
    let length = 0;
    for (const level of this.levelsByModel.get(model)?.values() ?? []) length += level.length;
    return length;
  }

  private levelOf(request: QueuedGeneration): PriorityLevel {
    const key = modelKeyOf(request);
    const levels = this.levelsByModel.get(key) ?? new Map<string, PriorityLevel>();
    this.levelsByModel.set(key, levels);
    let level = levels.get(levelKeyOf(request));
    if (level === undefined) {
      const {model, tokensIn} = request.generation;
      const drainRate = new DrainRateEstimator(this.ctx.estimator.estimateMs(model, tokensIn));
      level = {length: 0, drainRate};
      levels.set(levelKeyOf(request), level);
    }
    return level;
  }

  /** Refuses a request that can't wait until the first replica with its model ends its pause. */
  private refusePaused(request: QueuedGeneration, nowMs: number): boolean {
    const waitMs = this.ctx.selector.remainingPauseMs(request);
    if (queuedRequestState(request, nowMs + waitMs) !== 'hopeless') return false;
    this.dequeue(request);
    request.refuse('replicas_paused', toRetryAfterMs(waitMs), {waitMs: Math.round(waitMs)});
    return true;
  }

  /** Refuses a request that can't wait until the rate limits of the model's replicas allow it. */
  private refuseLimited(request: QueuedGeneration, ahead: number, nowMs: number): boolean {
    const {selector} = this.ctx;
    const waitMs = selector.limitWaitMs(request, ahead);
    if (queuedRequestState(request, nowMs + waitMs) !== 'hopeless') return false;
    this.dequeue(request);
    const retryAfterMs = selector.limitRetryAfterMs(request, ahead);
    request.refuse('replicas_limited', retryAfterMs, {ahead, waitMs: Math.round(waitMs)});
    return true;
  }
}

/** Requests with the same key are of one organisation's priority and one of their own. */
function levelKeyOf({organisationPriority, priority}: QueuedGeneration): string {
  return `${organisationPriority ?? 0}/${priority}`;
}

function modelKeyOf({service, generation}: QueuedGeneration): string {
  return `${service}/${generation.model}`;
}

/** Retry delay for a caller whose request would have to wait for `waitMs`. */
function toRetryAfterMs(waitMs: number): number {
  const boundedMs = Number.isFinite(waitMs) ? waitMs : 1000;
  return Math.max(MIN_RETRY_AFTER_MS, boundedMs) + Math.random() * RETRY_AFTER_JITTER_MS;
}
