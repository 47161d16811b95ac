/** Generations that wait for a model replica, and their way to one. */
import type {Clock} from '@jasminepost/core';
import {
  compareQueuedRequests,
  DrainRateEstimator,
  shouldQueue,
  queuedRequestState,
  type EngineCandidate,
} from '@jasminepost/policy';
import type {EngineSpec, GenerationParams} from '@jasminepost/serving';
import type {DemandMeter} from './demand_meter.ts';
import type {EngineSelector, WaitReason} from './engine_selector.ts';
import type {PrefillEstimator} from './prefill_estimator.ts';
import type {Replica} from './replica.ts';
import type {ServiceMember} from './service_line.ts';

/** Waiting requests are looked at this often when nothing else happens. */
const SWEEP_MS = 40;
/** Added to computed waits, so that refused callers do not all return at once. */
const RETURN_SPREAD_MS = 250;
/** Another gateway takes a caller at once. @internal */
export const LEAVING_RETURN_MS = 50;
/** A configuration with the model may be on its way. */
const UNKNOWN_RETURN_MS = 1000;
/** Least time that a refused caller is asked to stay away. */
const MIN_RETURN_MS = 80;
/** The same in overload: a further copy of the model takes 2 s from a replica's disk. */
const OVERLOAD_RETURN_MS = 1500;

/** A generation in the line. @internal */
export interface LineMember extends ServiceMember {
  readonly generation: GenerationParams;
  /** True when its target leaves time to load the model first. */
  readonly patient: boolean;
}

/** @internal */
export interface EngineLineContext {
  readonly clock: Clock;
  readonly placer: EngineSelector;
  readonly estimator: PrefillEstimator;
  readonly demand: DemandMeter;
  engineOf(service: string): EngineSpec | undefined;
  /** True once the gateway has only the time to finish what has been sent. */
  isClosing(): boolean;
  /** Uses a permit of a replica that has named a limit; false when there is none. */
  tryPermit(replica: Replica): boolean;
  /** Tells a replica's steward that requests are sent there. */
  showInterest(replica: Replica): void;
}

/** The requests of one rank that wait for one model; more urgent ones slow its pace. */
interface RankLine {
  length: number;
  readonly pace: DrainRateEstimator;
}

/** @internal */
export class EngineLine {
  /** Waiting requests and what kept each of them from being sent. */
  private readonly members = new Map<LineMember, WaitReason>();
  /** Lines of each `service/model`, by rank. */
  private readonly lines = new Map<string, Map<number, RankLine>>();
  private sweepTimer: NodeJS.Timeout | undefined;
  private pumpPending = false;

  constructor(private readonly ctx: EngineLineContext) {}

  get length(): number {
    return this.members.size;
  }

  /** Sends a request, lets it wait, or refuses it when it certainly can't be served. */
  submit(member: LineMember): void {
    const {ctx} = this;
    const spec = ctx.engineOf(member.service)?.models.get(member.generation.model);
    if (spec === undefined) {
      member.refuse('unknown_model', UNKNOWN_RETURN_MS, {model: member.generation.model});
      return;
    }
    ctx.demand.count(member.service, member.generation, member.patient);
    const {ahead, aheadInRank} = this.countAhead(member);
    const placing = ahead > 0 ? ctx.placer.waitReasonBehind(member) : this.place(member);
    if (placing === 'sent') return;
    if (ctx.isClosing()) {
      member.refuse('leaving', LEAVING_RETURN_MS, {placing});
      return;
    }
    const nowMs = ctx.clock.monotonicMs();
    if (placing === 'no_holder') {
      const waitMs = ctx.placer.loadTimeMs(member);
      if (queuedRequestState(member, nowMs + waitMs) === 'hopeless') {
        member.refuse('no_holder', returnMs(waitMs), {waitMs: Math.round(waitMs)});
        return;
      }
    } else if (placing === 'paused') {
      if (this.refusePaused(member, nowMs)) return;
    } else if (placing === 'limited') {
      if (this.refuseLimited(member, ahead, nowMs)) return;
    } else if (placing !== 'adapter') {
      const waitMs = this.lineOf(member).pace.waitMs(aheadInRank, nowMs);
      if (!shouldQueue(member, waitMs, nowMs)) {
        const inputs = {ahead, waitMs: Math.round(waitMs)};
        member.refuse('line_full', Math.max(OVERLOAD_RETURN_MS, returnMs(waitMs)), inputs);
        return;
      }
    }
    this.enter(member, placing, nowMs);
  }

  /** Takes a request out, because its caller or its time has gone. */
  withdraw(member: LineMember): void {
    this.leave(member);
  }

  /** Requests that wait, by `service/model`. */
  waitingByModel(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const model of this.lines.keys()) {
      const length = this.lengthFor(model);
      if (length > 0) counts.set(model, length);
    }
    return counts;
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

  private enter(member: LineMember, placing: WaitReason, nowMs: number): void {
    this.members.set(member, placing);
    const line = this.lineOf(member);
    line.length += 1;
    line.pace.onWaiting(nowMs);
    this.sweepTimer ??= setInterval(() => this.pump(), SWEEP_MS);
  }

  private leave(member: LineMember): void {
    if (!this.members.delete(member)) return;
    const line = this.lineOf(member);
    line.length -= 1;
    if (line.length === 0) line.pace.onEmpty();
  }

  private pump(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    const full = new Set<string>();
    /** Models of which a request that can still be on time could not be sent. */
    const blocked = new Set<string>();
    /** Requests that wait for each model whose holders have used up their limits. */
    const limited = new Map<string, number>();
    const line = [...this.members.keys()].sort((a, b) => compareQueuedRequests(a, b, nowMs));
    for (const member of line) {
      if (this.ctx.isClosing()) {
        this.leave(member);
        member.refuse('leaving', LEAVING_RETURN_MS, {});
        continue;
      }
      const heldBackMs = member.heldBackMs();
      if (heldBackMs > 0) {
        this.leave(member);
        member.refuse('crashes_replicas', heldBackMs, {});
        continue;
      }
      const model = modelKey(member);
      const key = `${model}/${member.generation.adapter}`;
      const state = queuedRequestState(member, nowMs);
      if (state === 'hopeless') {
        this.turnAway(member, 'waited_too_long', nowMs);
        continue;
      }
      if (state === 'late' && blocked.has(model)) {
        this.turnAway(member, 'overloaded', nowMs);
        continue;
      }
      const ahead = limited.get(key) ?? 0;
      if (ahead > 0 && this.refuseLimited(member, ahead, nowMs)) continue;
      if (ahead > 0) limited.set(key, ahead + 1);
      if (full.has(key)) continue;
      const placing = this.place(member);
      if (placing === 'sent') {
        this.leave(member);
        continue;
      }
      if (placing === 'late_here') {
        this.turnAway(member, 'overloaded', nowMs);
        continue;
      }
      if (placing === 'paused' && this.refusePaused(member, nowMs)) continue;
      if (placing === 'limited') {
        if (this.refuseLimited(member, 0, nowMs)) continue;
        limited.set(key, 1);
      }
      this.members.set(member, placing);
      full.add(key);
      if (placing === 'full' && state === 'on_time') blocked.add(model);
    }
    if (this.members.size === 0) {
      clearInterval(this.sweepTimer);
      this.sweepTimer = undefined;
    }
  }

  private turnAway(member: LineMember, reason: string, nowMs: number): void {
    this.leave(member);
    const waitedMs = Math.round(nowMs - member.arrivedMs);
    const {length, pace} = this.lineOf(member);
    const waitMs = returnMs(pace.waitMs(length, nowMs));
    member.refuse(reason, Math.max(OVERLOAD_RETURN_MS, waitMs), {waitedMs, line: length});
  }

  private place(member: LineMember): WaitReason | 'sent' {
    const place = this.ctx.placer.select(member, this.lengthFor(modelKey(member)));
    if (place.kind !== 'found') return place.kind;
    const {replica, candidate} = place;
    if (!this.ctx.tryPermit(replica)) return 'limited';
    this.dispatch(member, replica, candidate);
    return 'sent';
  }

  private dispatch(member: LineMember, replica: Replica, candidate: EngineCandidate): void {
    const {length, pace} = this.lineOf(member);
    const isWaiting = this.members.has(member);
    pace.onSent(this.ctx.clock.monotonicMs(), isWaiting ? length - 1 : length);
    this.ctx.showInterest(replica);
    member.send(replica, {
      unstarted: candidate.awaitingFirstEvent,
      occupied: candidate.active,
      kvUsed: candidate.kvUsed,
      prefillMs: Math.round(candidate.prefillMs),
    });
  }

  /** Requests of its model that go first; a wait for an adapter is short and holds up nobody else. */
  private countAhead(member: LineMember): {ahead: number; aheadInRank: number} {
    const counts = {ahead: 0, aheadInRank: 0};
    const model = modelKey(member);
    if (this.lengthFor(model) === 0) return counts;
    const nowMs = this.ctx.clock.monotonicMs();
    for (const [other, placing] of this.members) {
      if (placing === 'adapter' || modelKey(other) !== model) continue;
      if (compareQueuedRequests(other, member, nowMs) > 0) continue;
      counts.ahead += 1;
      if (other.priority === member.priority) counts.aheadInRank += 1;
    }
    return counts;
  }

  /** Requests that wait for a `service/model`. */
  private lengthFor(model: string): number {
    let length = 0;
    for (const line of this.lines.get(model)?.values() ?? []) length += line.length;
    return length;
  }

  private lineOf(member: LineMember): RankLine {
    const key = modelKey(member);
    const ranks = this.lines.get(key) ?? new Map<number, RankLine>();
    this.lines.set(key, ranks);
    let line = ranks.get(member.priority);
    if (line === undefined) {
      const {model, tokensIn} = member.generation;
      const pace = new DrainRateEstimator(this.ctx.estimator.estimateMs(model, tokensIn));
      line = {length: 0, pace};
      ranks.set(member.priority, line);
    }
    return line;
  }

  /** Refuses a request that can't wait until the first of its model's holders takes any again. */
  private refusePaused(member: LineMember, nowMs: number): boolean {
    const waitMs = this.ctx.placer.remainingPauseMs(member);
    if (queuedRequestState(member, nowMs + waitMs) !== 'hopeless') return false;
    this.leave(member);
    member.refuse('replicas_paused', returnMs(waitMs), {waitMs: Math.round(waitMs)});
    return true;
  }

  /** Refuses a request that can't wait until its model's holders may be sent one more. */
  private refuseLimited(member: LineMember, ahead: number, nowMs: number): boolean {
    const {placer} = this.ctx;
    const waitMs = placer.limitWaitMs(member, ahead);
    if (queuedRequestState(member, nowMs + waitMs) !== 'hopeless') return false;
    this.leave(member);
    const retryAfterMs = placer.limitRetryAfterMs(member, ahead);
    member.refuse('replicas_limited', retryAfterMs, {ahead, waitMs: Math.round(waitMs)});
    return true;
  }
}

function modelKey({service, generation}: LineMember): string {
  return `${service}/${generation.model}`;
}

function returnMs(waitMs: number): number {
  const boundedMs = Number.isFinite(waitMs) ? waitMs : 1000;
  return Math.max(MIN_RETURN_MS, boundedMs) + Math.random() * RETURN_SPREAD_MS;
}
