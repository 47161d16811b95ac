/** Plans which model replica loads which model, one round at a time. */

import {EnginePlanningRound} from './engine_planning_round.ts';

/** A model replica as the planner sees it. @public */
export interface EnginePlanReplica {
  readonly id: string;
  readonly zone: string;
  /** Models that it holds and does not unload. */
  readonly held: ReadonlySet<string>;
  /** True when no order is in progress there and its steward can be reached. */
  readonly idle: boolean;
  /** Model that is on its way there; empty when none is. */
  readonly loadingModel: string;
  readonly freeMb: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Load that it takes; infinity unless it has named a limit on its requests. */
  readonly capacity: number;
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
  /** Replicas that the demand would keep busy reading prompts. */
  readonly load: number;
  /** Requests that wait for it now. */
  readonly waiting: number;
  /** Monotonic time of the last request; minus infinity when there was none. */
  readonly lastRequestMs: number;
  /** The same, of requests that can't wait until the model has been loaded. */
  readonly lastUrgentRequestMs: number;
}

/** @public */
export interface EnginePlanInput {
  readonly replicas: readonly EnginePlanReplica[];
  readonly models: readonly EnginePlanModel[];
  /** Loads from the weight store that may begin now. */
  readonly availableStoreLoads: number;
  /** Loads that the weight store serves at once at full speed. */
  readonly maxConcurrentStoreLoads: number;
  readonly nowMs: number;
  /** True once there has been traffic for long enough to tell which models are asked for. */
  readonly isDemandKnown: boolean;
  /** True for a copy that was loaded so recently that it stays. */
  isRecentlyLoaded(replica: string, model: string): boolean;
}

/** @public */
export interface EngineMove {
  readonly replica: string;
  /** Empty when there is room. */
  readonly unload: string;
  readonly load: string;
  readonly source: 'memory' | 'disk' | 'store';
}

/**
 * Loads what is asked for and held nowhere, then further copies of models whose load is more than
 * their copies should carry. Answers a shift of demand: copies of models that nobody asks for any
 * more make way at once, from the nearest copy of the weights.
 *
 * @example
 * for (const move of planEngines(input)) send(move);
 * @public
 */
export function planEngines(input: EnginePlanInput): EngineMove[] {
  const round = new EnginePlanningRound(input);
  return round.run();
}
