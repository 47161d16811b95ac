/** Plans which replica loads which model, one round at a time. */

import {EnginePlanningRound} from './engine_planning_round.ts';

/** A replica as known to the planner. @public */
export interface EnginePlanReplica {
  readonly id: string;
  readonly zone: string;
  /** Models that are loaded and not being unloaded. */
  readonly held: ReadonlySet<string>;
  /** True when no order is in progress and its steward is reachable. */
  readonly idle: boolean;
  /** Model that is being loaded; empty when there is none. */
  readonly loadingModel: string;
  readonly freeMb: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Load that it can serve; infinity unless it has a rate limit. */
  readonly capacity: number;
  /** Usual factor of the time that work takes there; 1 where it is not known. */
  readonly pace: number;
}

/** @public */
export interface EnginePlanModel {
  readonly name: string;
  readonly weightsMb: number;
  /** Adapters that exist for it. */
  readonly adapters: number;
  readonly storeLoadS: number;
  readonly diskLoadS: number;
  readonly memoryLoadS: number;
  /** Number of replicas that the demand would keep busy with prefill. */
  readonly load: number;
  /** Requests queued for it now. */
  readonly waiting: number;
  /** Monotonic time of the last request; minus infinity when there was none. */
  readonly lastRequestMs: number;
  /** The same for requests whose target leaves no time to load the model first. */
  readonly lastUrgentRequestMs: number;
}

/** @public */
export interface EnginePlanInput {
  readonly replicas: readonly EnginePlanReplica[];
  readonly models: readonly EnginePlanModel[];
  /** Loads from the weight store that may start now. */
  readonly availableStoreLoads: number;
  /** Loads that the weight store serves concurrently at full speed. */
  readonly maxConcurrentStoreLoads: number;
  readonly nowMs: number;
  /** True once there was traffic for long enough to tell which models have demand. */
  readonly isDemandKnown: boolean;
  /** True for a copy that was loaded too recently to be evicted. */
  isRecentlyLoaded(replica: string, model: string): boolean;
}

/** @public */
export interface EngineMove {
  readonly replica: string;
  /** Model to evict; empty when there is enough free memory. */
  readonly unload: string;
  readonly load: string;
  readonly source: 'memory' | 'disk' | 'store';
}

/**
 * Plans the first copies of requested models that are loaded nowhere, then further copies of models
 * whose load exceeds what their copies should carry. Handles a shift of demand: copies of models
 * without demand are evicted at once, and the new copy is loaded from the nearest weights.
 *
 * @example
 * for (const move of planEngines(input)) send(move);
 * @public
 */
export function planEngines(input: EnginePlanInput): EngineMove[] {
  const round = new EnginePlanningRound(input);
  return round.run();
}
