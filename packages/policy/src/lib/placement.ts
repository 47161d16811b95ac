/** Plans which model is loaded where: floors first, then spare memory for the busiest models. */

import {PlanningRound} from './planning_round.ts';

/** @public */
export interface ReplicaState {
  readonly id: string;
  readonly zone: string;
  readonly capacityMiB: number;
  readonly slots: number;
  /** Models planned for this replica. */
  readonly planned: ReadonlySet<string>;
  /** Models that the replica reports as ready. */
  readonly ready: ReadonlySet<string>;
  /** False when it is gone, leaving or unhealthy. */
  readonly available: boolean;
}

/** @public */
export interface ModelDemand {
  readonly name: string;
  /** Size of the weights and of the smallest useful KV cache. */
  readonly sizeMiB: number;
  readonly floor: number;
  /** Mean number of requests in progress that the demand causes. */
  readonly erlangs: number;
  /** Monotonic time of the last move of this model. */
  readonly movedMs: number;
}

/** @public */
export interface PlacementInput {
  readonly replicas: readonly ReplicaState[];
  readonly models: readonly ModelDemand[];
  readonly nowMs: number;
  /** Moves that the weight store's rate allows in this round. */
  readonly moveBudget: number;
  /** Waiting requests that a move must save; a larger value means fewer moves. */
  readonly minGain: number;
  readonly cooldownMs: number;
}

/** Why a copy is added. @public */
export type AddReason = 'floor' | 'demand' | 'spare';

/** @public */
export type PlacementMove =
  | {
      readonly kind: 'add';
      readonly model: string;
      readonly replica: string;
      readonly reason: AddReason;
    }
  | {
      readonly kind: 'remove';
      readonly model: string;
      readonly replica: string;
      readonly reason: 'room_for_floor' | 'room_for_demand';
    };

/**
 * Runs one planning round. Copies on unavailable replicas do not count; a copy is removed only when
 * enough others are ready now.
 *
 * @returns Moves in the order in which they must be executed.
 * @example
 * for (const move of planMoves(input)) plan = applyMove(plan, move);
 * @public
 */
export function planMoves(input: PlacementInput): PlacementMove[] {
  const round = new PlanningRound(input);
  round.restoreFloors();
  round.relieveBusyModels();
  round.fillSpareMemory();
  return round.moves;
}
