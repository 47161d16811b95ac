/** Selects the model replica for a generation, or returns the reason why it has to wait. */
import {fnv1a32, type Clock} from '@jasminepost/core';
import {
  chooseEngine,
  wouldBeLateBehind,
  type EngineCandidate,
  type EngineRequest,
} from '@jasminepost/policy';
import type {EngineSpec, GenerationParams} from '@jasminepost/serving';
import {chooseEngineByZone} from './engine_zone_choice.ts';
import type {QueuedGeneration} from './generation_queue.ts';
import type {PrefillEstimator} from './prefill_estimator.ts';
import type {Replica} from './replica.ts';
import type {ReplicaRateLimits} from './replica_rate_limits.ts';
import type {ReplicaTable} from './replica_table.ts';
import type {ZoneLogFields, ZoneOverflows} from './zone_overflows.ts';

/** Backlog of requests that have not started, up to which a replica gets further requests. */
const MAX_BACKLOG_MS = 220;
/** Largest share of a prompt's prefill that a cached prefix is assumed to save. */
const MAX_PREFIX_SAVING_SHARE = 0.5;

/** @internal */
export interface EngineSelectorContext {
  readonly clock: Clock;
  readonly zone: string;
  readonly zoneOverflows: ZoneOverflows;
  readonly table: ReplicaTable;
  readonly limits: ReplicaRateLimits;
  readonly estimator: PrefillEstimator;
  engineOf(service: string): EngineSpec | undefined;
  /** True when the replica's steward can load an adapter now. */
  canLoadAdapter(replica: Replica): boolean;
  /** Asks a replica's steward to load an adapter, or reports to it that the adapter is in use. */
  requestAdapter(replica: Replica, model: string, adapter: string): void;
}

/**
 * `late_here`: the request would be late at every replica, and others wait that would not be.
 * `paused`: all replicas with the model have asked for a pause. `limited`: all replicas that may
 * take the request are rate-limited, and their limits are used up.
 *
 * @internal
 */
export type WaitReason =
  'full' | 'late_here' | 'no_holder' | 'adapter' | 'paused' | 'limited' | 'quota';

/** @internal */
export type EngineSelection =
  | {
      readonly kind: 'found';
      readonly replica: Replica;
      readonly candidate: EngineCandidate;
      readonly zoneFields: ZoneLogFields;
    }
  | {readonly kind: WaitReason};

/** @internal */
export class EngineSelector {
  constructor(private readonly ctx: EngineSelectorContext) {}

  /**
   * A rate limit is a sign of overload: replicas without one are preferred as long as they have
   * capacity.
   *
   * @param waiting - Number of requests that wait for the model, which may include this one.
   */
  select(request: QueuedGeneration, waiting: number): EngineSelection {
    const {ctx} = this;
    const {generation} = request;
    const nowMs = ctx.clock.monotonicMs();
    const replicas = this.replicasFor(request);
    if (replicas.length === 0) return {kind: 'no_holder'};
    const accepting = replicas.filter(replica => replica.eligibilityAt(nowMs) !== 'no');
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

  /**
   * Expected time to the first event of a request at the best replica that could take it now;
   * undefined when none has capacity. Sends no request and orders no adapter.
   */
  expectedMs(request: QueuedGeneration, excluded: ReadonlySet<string>): number | undefined {
    const {generation, service} = request;
    const nowMs = this.ctx.clock.monotonicMs();
    const slots = this.ctx.engineOf(service)?.slots ?? 0;
    const candidates = this.replicasFor(request, excluded)
      .filter(({limit}) => limit.kind === 'none')
      .filter(replica => replica.eligibilityAt(nowMs) === 'yes')
      .filter(replica => replica.hasLoaded(generation.model, generation.adapter))
      .map(replica =>
        replica.asEngineCandidate(generation.adapter, generation.model, slots, nowMs),
      );
    const engineRequest = this.engineRequestOf(generation);
    const choice = chooseEngine(candidates, engineRequest);
    if (choice.kind !== 'chosen') return undefined;
    const {pace = 1} = candidates[choice.index];
    return choice.backlogMs + engineRequest.prefillMs * pace;
  }

  /** Reason why a request waits while others are dispatched before it. */
  waitReasonBehind({service, generation}: QueuedGeneration): WaitReason {
    const replicas = this.ctx.table.withModel(service, generation.model);
    if (replicas.length === 0) return 'no_holder';
    return replicas.every(({limit}) => limit.kind === 'named') ? 'limited' : 'full';
  }

  /** Time until the first of the replicas with the model ends its pause. */
  remainingPauseMs(request: QueuedGeneration): number {
    const nowMs = this.ctx.clock.monotonicMs();
    return Math.min(...this.replicasFor(request).map(replica => replica.remainingPauseMs(nowMs)));
  }

  /** Time until the rate limits allow a request that waits behind `ahead` others. */
  limitWaitMs(request: QueuedGeneration, ahead: number): number {
    return this.ctx.limits.waitMs(this.replicasFor(request), ahead);
  }

  /** Time after which a caller that is refused because of rate limits should retry. */
  limitRetryAfterMs(request: QueuedGeneration, ahead: number): number {
    return this.ctx.limits.retryAfterMs(this.replicasFor(request), ahead);
  }

  /** Shortest time in which a replica could load the model: cached weights load fastest. */
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
    const candidates = capable.map(replica => ({
      candidate: replica.asEngineCandidate(generation.adapter, generation.model, slots, nowMs),
      ageMs: replica.loadAgeMs(nowMs),
    }));
    const engineRequest = this.engineRequestOf(generation);
    const {choice, zoneFields} = chooseEngineByZone(
      ctx.zoneOverflows,
      request,
      candidates,
      engineRequest,
      nowMs,
    );
    if (choice.kind !== 'chosen') return {kind: 'full'};
    if (waiting > 1 && wouldBeLateBehind(request, choice.backlogMs, nowMs))
      return {kind: 'late_here'};
    const {candidate} = candidates[choice.index];
    const replica = capable[choice.index];
    if (generation.adapter !== '') {
      ctx.requestAdapter(replica, generation.model, generation.adapter);
      if (!candidate.hasAdapter) return {kind: 'adapter'};
    }
    return {kind: 'found', replica, candidate, zoneFields};
  }

  private replicasFor(request: QueuedGeneration, excluded = request.excluded): Replica[] {
    const {service, generation, requiredVersion} = request;
    const replicas = this.ctx.table.withModel(service, generation.model);
    return replicas.filter(
      replica => !excluded.has(replica.incarnation) && replica.mayServeVersion(requiredVersion),
    );
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
      prefillMs: this.ctx.estimator.estimateMs(model, tokensIn),
      tokens: tokensIn + maxTokensOut,
      maxBacklogMs: MAX_BACKLOG_MS,
    };
  }
}
