/** Checks whether the current replicas have enough memory for a declaration's minimum copies. */
import {checkFloors, type FloorShortage, type ReplicaState} from '@jasminepost/policy';
import type {Declaration} from './declaration.ts';

/** @public */
export interface CapacityReview {
  readonly capacityMiB: number;
  readonly floorMiB: number;
  readonly shortages: readonly FloorShortage[];
}

/** @public */
export function reviewCapacity(
  declaration: Declaration,
  replicas: readonly ReplicaState[],
): CapacityReview {
  const models = declaration.models.map(model => ({
    name: model.name,
    sizeMiB: model.weightsMiB + model.kvFloorMiB,
    floor: model.floorCopies,
    erlangs: 0,
    movedMs: Number.NEGATIVE_INFINITY,
  }));
  return {
    capacityMiB: replicas.reduce((sum, replica) => sum + replica.capacityMiB, 0),
    floorMiB: models.reduce((sum, model) => sum + model.floor * model.sizeMiB, 0),
    shortages: checkFloors(replicas, models),
  };
}
