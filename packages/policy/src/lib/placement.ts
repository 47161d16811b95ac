/** Plans which replica holds which model: floors first, then spare memory to the busiest models. */

import {PlanningRound} from './planning_round.ts';

/** @public */
export interface ReplicaState {
  readonly id: string;
  readonly zone: string;
  readonly capacityMiB: number;
  readonly slots: number;
  /** Models planned for this replica. */
  readonly planned: ReadonlySet<string>;
  /** Models that it reports ready. */
  readonly ready: ReadonlySet<string>;
  /** False when it is gone, leaving or unhealthy. */
  readonly available: boolean;
}

/** @public */
export interface ModelDemand {
  readonly name: string;
  /** Weights and the smallest useful KV cache. */
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
  /** Moves allowed in this round by the weight store's rate. */
  readonly moveBudget: number;
  /** Requests in progress that a move must spare a wait; larger means fewer moves. */
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
 * One round of planning. Copies on unavailable replicas do not count; a copy is removed only when
 * enough others are ready at this moment.
 *
 * @returns Moves in the order in which they must be carried out.
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
