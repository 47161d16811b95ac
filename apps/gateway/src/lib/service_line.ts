/** Requests to plain services, which wait only while every replica's limit is used up. */
import {compareQueuedRequests, queuedRequestState, type QueuedRequest} from '@jasminepost/policy';
import type {GatewayContext} from './gateway_context.ts';
import {LEAVING_RETURN_MS} from './engine_line.ts';
import type {Replica} from './replica.ts';
import {chooseServiceReplica} from './service_choice.ts';

const DEFAULT_RETRY_AFTER_MS = 300;
/** Added to a replica's pause, so that a caller does not return just before its end. */
const MIN_PAUSE_MS = 100;
/** Waiting requests are looked at this often when nothing else happens. */
const SWEEP_MS = 40;

/** @internal */
export interface ServiceMember extends QueuedRequest {
  readonly service: string;
  /** Replicas that have refused it. */
  readonly excluded: ReadonlySet<string>;
  send(replica: Replica, inputs: Readonly<Record<string, unknown>>): void;
  refuse(reason: string, retryAfterMs: number, inputs: Readonly<Record<string, unknown>>): void;
  /** Time for which it must reach no replica, because it seems to crash them; 0 when it may. */
  heldBackMs(): number;
}

/** @internal */
export class ServiceLine {
  private readonly members = new Set<ServiceMember>();
  private sweepTimer: NodeJS.Timeout | undefined;
  private pumpPending = false;

  constructor(private readonly context: () => GatewayContext) {}

  get length(): number {
    return this.members.size;
  }

  /** Sends a request, lets it wait for a permit, or refuses it when it certainly can't be served. */
  submit(member: ServiceMember): void {
    const nowMs = this.context().clock.monotonicMs();
    const ahead = [...this.members].filter(
      other => other.service === member.service && compareQueuedRequests(other, member, nowMs) <= 0,
    ).length;
    this.place(member, ahead);
  }

  /** Takes a request out, because its caller or its time has gone. */
  withdraw(member: ServiceMember): void {
    this.members.delete(member);
  }

  /** Looks at the line once more after the current events have been handled. */
  wake(): void {
    if (this.pumpPending || this.members.size === 0) return;
    this.pumpPending = true;
    setImmediate(() => {
      this.pumpPending = false;
      this.pump();
    });
  }

  dispose(): void {
    clearInterval(this.sweepTimer);
  }

  private pump(): void {
    const nowMs = this.context().clock.monotonicMs();
    const line = [...this.members].sort((a, b) => compareQueuedRequests(a, b, nowMs));
    const ahead = new Map<string, number>();
    for (const member of line) {
      const before = ahead.get(member.service) ?? 0;
      this.members.delete(member);
      this.place(member, before);
      if (this.members.has(member)) ahead.set(member.service, before + 1);
    }
    if (this.members.size > 0) return;
    clearInterval(this.sweepTimer);
    this.sweepTimer = undefined;
  }

  private place(member: ServiceMember, ahead: number): void {
    const ctx = this.context();
    const heldBackMs = member.heldBackMs();
    if (heldBackMs > 0) {
      member.refuse('crashes_replicas', heldBackMs, {});
      return;
    }
    const choice = chooseServiceReplica(ctx, member.service, member.excluded, ahead);
    const {listed} = choice;
    switch (choice.kind) {
      case 'chosen': {
        const {reportedPaid: reported, ownInFlight, serviceMs} = choice.candidate;
        if (!ctx.limits.tryTake(choice.replica)) {
          this.wait(member, [choice.replica], listed, ahead);
          return;
        }
        member.send(choice.replica, {reported, ownInFlight, serviceMs: Math.round(serviceMs)});
        return;
      }
      case 'paused':
        member.refuse('replicas_paused', choice.waitMs + MIN_PAUSE_MS, {listed});
        return;
      case 'limited':
        this.wait(member, choice.replicas, listed, ahead);
        return;
      case 'none':
        member.refuse('no_replica', DEFAULT_RETRY_AFTER_MS, {listed});
    }
  }

  private wait(
    member: ServiceMember,
    replicas: readonly Replica[],
    listed: number,
    ahead: number,
  ): void {
    const ctx = this.context();
    const {clock, limits} = ctx;
    if (ctx.isClosing()) {
      member.refuse('leaving', LEAVING_RETURN_MS, {listed});
      return;
    }
    const waitMs = limits.waitMs(replicas, ahead);
    if (queuedRequestState(member, clock.monotonicMs() + waitMs) === 'hopeless') {
      const retryAfterMs = limits.returnInMs(replicas, ahead);
      member.refuse('replicas_limited', retryAfterMs, {listed, ahead, waitMs: Math.round(waitMs)});
      return;
    }
    this.members.add(member);
    this.sweepTimer ??= setInterval(() => this.pump(), SWEEP_MS);
  }
}
