/** Finds the model replica for a generation, or tells what keeps it from being sent. */
import {fnv1a32, type Clock} from '@jasminepost/core';
import {
  chooseEngine,
  wouldBeLateBehind,
  type EngineCandidate,
  type EngineRequest,
} from '@jasminepost/policy';
import type {EngineSpec, GenerationParams} from '@jasminepost/serving';
import type {QueuedGeneration} from './generation_queue.ts';
import type {ReplicaRateLimits} from './replica_rate_limits.ts';
import type {PrefillEstimator} from './prefill_estimator.ts';
import type {Replica} from './replica.ts';
import type {ReplicaTable} from './replica_table.ts';

/** Backlog of unstarted requests up to which a replica is given more. */
const MAX_BACKLOG_MS = 220;
/** Share of a prompt's prefill that a kept prefix is taken to save, at most. */
const MAX_PREFIX_SAVING_SHARE = 0.5;

/** @internal */
export interface EngineSelectorContext {
  readonly clock: Clock;
  readonly zone: string;
  readonly table: ReplicaTable;
  readonly limits: ReplicaRateLimits;
  readonly estimator: PrefillEstimator;
  engineOf(service: string): EngineSpec | undefined;
  /** True when the replica's steward can load an adapter now. */
  canLoadAdapter(replica: Replica): boolean;
  /** Asks a replica's steward for an adapter, or tells it that one is in use. */
  requestAdapter(replica: Replica, model: string, adapter: string): void;
}

/**
 * `late_here`: it would be late at every replica, and others wait that would not be. `paused`: all
 * holders have asked for a pause. `limited`: all that may take it have named limits, which are used
 * up.
 *
 * @internal
 */
export type WaitReason = 'full' | 'late_here' | 'no_holder' | 'adapter' | 'paused' | 'limited';

/** @internal */
export type EngineSelection =
  | {readonly kind: 'found'; readonly replica: Replica; readonly candidate: EngineCandidate}
  | {readonly kind: WaitReason};

/** @internal */
export class EngineSelector {
  constructor(private readonly ctx: EngineSelectorContext) {}

  /**
   * Replicas that have named a limit are in need: the others take their work, as long as they have
   * room for it.
   *
   * @param waiting - Requests that wait for the model; itself may be one of them.
   */
  select(request: QueuedGeneration, waiting: number): EngineSelection {
    const {ctx} = this;
    const {service, generation} = request;
    const nowMs = ctx.clock.monotonicMs();
    const holders = ctx.table
      .withModel(service, generation.model)
      .filter(replica => !request.excluded.has(replica.id));
    if (holders.length === 0) return {kind: 'no_holder'};
    const accepting = holders.filter(replica => replica.eligibilityAt(nowMs) !== 'no');
    if (accepting.length === 0) return {kind: 'paused'};
    const healthy = accepting.filter(replica => replica.eligibilityAt(nowMs) === 'yes');
    const pool = healthy.length > 0 ? healthy : accepting;
    const capable = pool.filter(replica => this.canServe(replica, generation));
    if (capable.length === 0) return {kind: 'adapter'};
    const unlimited = capable.filter(({limit}) => limit.kind === 'none');
    const selection = this.choose(request, unlimited, waiting);
    if (selection.kind !== 'full' || unlimited.length === capable.length) return selection;
    const limited = capable.filter(({limit}) => limit.kind === 'named');
    ctx.limits.requestPermits(limited, Math.max(1, waiting));
    const permitted = limited.filter(replica => ctx.limits.hasPermit(replica));
    if (permitted.length > 0) return this.choose(request, permitted, waiting);
    return {kind: unlimited.length > 0 ? 'full' : 'limited'};
  }

  /** What keeps a request from being sent while others go first. */
  waitReasonBehind({service, generation}: QueuedGeneration): WaitReason {
    const holders = this.ctx.table.withModel(service, generation.model);
    if (holders.length === 0) return 'no_holder';
    return holders.every(({limit}) => limit.kind === 'named') ? 'limited' : 'full';
  }

  /** Time until the first of the model's holders takes requests again. */
  remainingPauseMs(request: QueuedGeneration): number {
    const nowMs = this.ctx.clock.monotonicMs();
    return Math.min(...this.holdersFor(request).map(replica => replica.remainingPauseMs(nowMs)));
  }

  /** Time until one of the model's holders may be sent a request behind `ahead` others. */
  limitWaitMs(request: QueuedGeneration, ahead: number): number {
    return this.ctx.limits.waitMs(this.holdersFor(request), ahead);
  }

  /** Time after which a caller that is refused for the holders' limits should return. */
  limitRetryAfterMs(request: QueuedGeneration, ahead: number): number {
    return this.ctx.limits.retryAfterMs(this.holdersFor(request), ahead);
  }

  /** Time in which some replica could have the model, from the nearest copy of its weights. */
  loadTimeMs({service, generation}: QueuedGeneration): number {
    const spec = this.ctx.engineOf(service)?.models.get(generation.model);
    if (spec === undefined) return Number.POSITIVE_INFINITY;
    let seconds = Number.POSITIVE_INFINITY;
    for (const replica of this.ctx.table.usableOf(service)) {
      if (replica.state?.moving === generation.model)
        seconds = Math.min(seconds, spec.diskLoadS / 2);
      const {inMemory, onDisk} = replica.copies;
      if (inMemory.includes(spec.name)) seconds = Math.min(seconds, spec.memoryLoadS);
      else if (onDisk.includes(spec.name)) seconds = Math.min(seconds, spec.diskLoadS);
      else seconds = Math.min(seconds, spec.storeLoadS);
    }
    return seconds * 1000;
  }

  private choose(
    request: QueuedGeneration,
    capable: readonly Replica[],
    waiting: number,
  ): EngineSelection {
    const {ctx} = this;
    const {service, generation} = request;
    const nowMs = ctx.clock.monotonicMs();
    const slots = ctx.engineOf(service)?.slots ?? 0;
    const candidates = capable.map(replica =>
      replica.asEngineCandidate(generation.adapter, generation.model, slots, nowMs),
    );
    const choice = chooseEngine(candidates, this.engineRequestOf(generation));
    if (choice.kind !== 'chosen') return {kind: 'full'};
    if (waiting > 1 && wouldBeLateBehind(request, choice.backlogMs, nowMs))
      return {kind: 'late_here'};
    const candidate = candidates[choice.index];
    const replica = capable[choice.index];
    if (generation.adapter !== '') {
      ctx.requestAdapter(replica, generation.model, generation.adapter);
      if (!candidate.hasAdapter) return {kind: 'adapter'};
    }
    return {kind: 'found', replica, candidate};
  }

  private holdersFor({service, generation, excluded}: QueuedGeneration): Replica[] {
    const holders = this.ctx.table.withModel(service, generation.model);
    return holders.filter(replica => !excluded.has(replica.id));
  }

  private canServe(replica: Replica, {model, adapter}: GenerationParams): boolean {
    return replica.hasLoaded(model, adapter) || this.ctx.canLoadAdapter(replica);
  }

  private engineRequestOf(generation: GenerationParams): EngineRequest {
    const {model, adapter, parts, tokensIn, maxTokensOut} = generation;
    const shared = parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    const savedTokens = Math.min(sharedTokens, tokensIn * MAX_PREFIX_SAVING_SHARE);
    const last = shared.at(-1);
    return {
      zone: this.ctx.zone,
      prefixHash: last === undefined ? 0 : fnv1a32(`${model}/${adapter}/${last.id}`),
      adapterHash: adapter === '' ? 0 : fnv1a32(`${model}/${adapter}`),
      prefixSavingMs: this.ctx.estimator.estimateMs(model, savedTokens),
      tokens: tokensIn + maxTokensOut,
      maxBacklogMs: MAX_BACKLOG_MS,
    };
  }
}
