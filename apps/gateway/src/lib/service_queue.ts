/**
 * Queue of requests to plain services, which wait only while all rate limits are used up or a newer
 * list of replicas is awaited.
 */
import {compareQueuedRequests, queuedRequestState, type QueuedRequest} from '@jasminepost/policy';
import type {GatewayContext} from './gateway_context.ts';
import {LEAVING_RETRY_AFTER_MS} from './generation_queue.ts';
import type {QuotaGate} from './quota_gate.ts';
import type {Replica} from './replica.ts';
import {chooseServiceReplica} from './service_choice.ts';

const DEFAULT_RETRY_AFTER_MS = 300;
/** Added to a replica's pause, so that the caller does not retry just before the pause ends. */
const PAUSE_MARGIN_MS = 100;
/** Interval at which queued requests are checked when no event triggers a check. */
const RECHECK_INTERVAL_MS = 40;

/** A request as the queue sees it. @internal */
export interface QueuedServiceRequest extends QueuedRequest {
  readonly service: string;
  /** Incarnations of replicas that have been tried. */
  readonly excluded: ReadonlySet<string>;
  /** Software version that must serve it; undefined for any. */
  readonly requiredVersion: string | undefined;
  /** True after the first attempt. */
  readonly hasBeenSent: boolean;
  readonly quota: QuotaGate;
  send(replica: Replica, logFields: Readonly<Record<string, unknown>>): void;
  refuse(reason: string, retryAfterMs: number, logFields: Readonly<Record<string, unknown>>): void;
  /** Time for which it is held because it may crash replicas; 0 when it may be sent. */
  holdMs(): number;
}

/** @internal */
export class ServiceQueue {
  private readonly queued = new Set<QueuedServiceRequest>();
  private recheckTimer: NodeJS.Timeout | undefined;
  private isDispatchScheduled = false;

  constructor(private readonly context: () => GatewayContext) {}

  get length(): number {
    return this.queued.size;
  }

  /** Sends a request, queues it for a permit, or refuses it when it can't be served in time. */
  submit(request: QueuedServiceRequest): void {
    if (!this.context().mayChooseReplica()) {
      this.enqueue(request);
      return;
    }
    const nowMs = this.context().clock.monotonicMs();
    const ahead = [...this.queued].filter(
      other =>
        other.service === request.service && compareQueuedRequests(other, request, nowMs) <= 0,
    ).length;
    this.dispatchOrQueue(request, ahead);
  }

  /** Removes a request whose caller has disconnected or whose deadline has passed. */
  withdraw(request: QueuedServiceRequest): void {
    this.queued.delete(request);
  }

  /** Schedules a dispatch of queued requests after the current events have been handled. */
  scheduleDispatch(): void {
    if (this.isDispatchScheduled || this.queued.size === 0) return;
    this.isDispatchScheduled = true;
    setImmediate(() => {
      this.isDispatchScheduled = false;
      this.dispatchWaiting();
    });
  }

  dispose(): void {
    clearInterval(this.recheckTimer);
  }

  private dispatchWaiting(): void {
    if (!this.context().mayChooseReplica()) return;
    const nowMs = this.context().clock.monotonicMs();
    const ordered = [...this.queued].sort((a, b) => compareQueuedRequests(a, b, nowMs));
    const ahead = new Map<string, number>();
    for (const request of ordered) {
      const before = ahead.get(request.service) ?? 0;
      this.queued.delete(request);
      this.dispatchOrQueue(request, before);
      if (this.queued.has(request)) ahead.set(request.service, before + 1);
    }
    if (this.queued.size > 0) return;
    clearInterval(this.recheckTimer);
    this.recheckTimer = undefined;
  }

  private dispatchOrQueue(request: QueuedServiceRequest, ahead: number): void {
    const ctx = this.context();
    // A first attempt might not end before the process does; another gateway can serve it now.
    if (ctx.isClosing() && !request.hasBeenSent) {
      request.refuse('leaving', LEAVING_RETRY_AFTER_MS, {});
      return;
    }
    const holdMs = request.holdMs();
    if (holdMs > 0) {
      request.refuse('crashes_replicas', holdMs, {});
      return;
    }
    const choice = chooseServiceReplica(ctx, request, ahead);
    const {listed} = choice;
    switch (choice.kind) {
      case 'chosen': {
        const {reportedPaid: reported, ownInFlight, serviceMs} = choice.candidate;
        if (!request.quota.tryCharge()) {
          this.waitForCredit(request, listed);
          return;
        }
        if (!ctx.limits.tryUsePermit(choice.replica)) {
          request.quota.releaseUnsent();
          this.queueOrRefuse(request, [choice.replica], listed, ahead);
          return;
        }
        request.send(choice.replica, {
          reported,
          ownInFlight,
          serviceMs: Math.round(serviceMs),
          ...choice.zoneFields,
        });
        return;
      }
      case 'paused':
        request.refuse('replicas_paused', choice.waitMs + PAUSE_MARGIN_MS, {listed});
        return;
      case 'limited':
        this.queueOrRefuse(request, choice.replicas, listed, ahead);
        return;
      case 'none':
        request.refuse('no_replica', DEFAULT_RETRY_AFTER_MS, {listed});
    }
  }

  private queueOrRefuse(
    request: QueuedServiceRequest,
    replicas: readonly Replica[],
    listed: number,
    ahead: number,
  ): void {
    const ctx = this.context();
    const {clock, limits} = ctx;
    if (ctx.isClosing()) {
      request.refuse('leaving', LEAVING_RETRY_AFTER_MS, {listed});
      return;
    }
    const waitMs = limits.waitMs(replicas, ahead);
    if (queuedRequestState(request, clock.monotonicMs() + waitMs) === 'hopeless') {
      const retryAfterMs = limits.retryAfterMs(replicas, ahead);
      request.refuse('replicas_limited', retryAfterMs, {listed, ahead, waitMs: Math.round(waitMs)});
      return;
    }
    this.enqueue(request);
  }

  /** Keeps a request that has waited and whose organisation has no credit at the moment. */
  private waitForCredit(request: QueuedServiceRequest, listed: number): void {
    if (queuedRequestState(request, this.context().clock.monotonicMs()) === 'hopeless')
      request.refuse('waited_too_long', DEFAULT_RETRY_AFTER_MS, {listed});
    else this.enqueue(request);
  }

  private enqueue(request: QueuedServiceRequest): void {
    this.queued.add(request);
    this.recheckTimer ??= setInterval(() => this.dispatchWaiting(), RECHECK_INTERVAL_MS);
  }
}
