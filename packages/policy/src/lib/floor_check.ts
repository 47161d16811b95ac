/** Checks whether a set of empty replicas has enough memory for the declared floors. */
import type {ModelDemand, ReplicaState} from './placement.ts';
import {PlanningRound} from './planning_round.ts';

/** A model whose floor does not fit. @public */
export interface FloorShortage {
  readonly model: string;
  readonly wantedCopies: number;
  readonly placedCopies: number;
}

/**
 * Tries to place all floors on empty replicas.
 *
 * @returns Models whose floor does not fit; empty when the declaration can be fulfilled.
 * @public
 */
export function checkFloors(
  replicas: readonly ReplicaState[],
  models: readonly ModelDemand[],
): FloorShortage[] {
  const empty = new Set<string>();
  const round = new PlanningRound({
    replicas: replicas.map(replica => ({...replica, planned: empty, ready: empty})),
    models,
    nowMs: 0,
    moveBudget: Number.POSITIVE_INFINITY,
    minGain: 0,
    cooldownMs: 0,
  });
  round.restoreFloors();
  const placed = new Map<string, number>();
  for (const move of round.moves) placed.set(move.model, (placed.get(move.model) ?? 0) + 1);
  return models
    .map(model => ({
      model: model.name,
      wantedCopies: model.floor,
      placedCopies: placed.get(model.name) ?? 0,
    }))
    .filter(shortage => shortage.placedCopies < shortage.wantedCopies);
}
