/** Converts the operators' objective into thresholds for placement. */
import type {PlacementInput} from './placement.ts';

/** @public */
export interface Objective {
  readonly attainment: number;
  readonly moves: number;
}

/**
 * The more weight moves have relative to attainment, the busier a model must be, the more a move
 * must gain, and the longer is the cooldown between a model's moves.
 *
 * @example
 * planMoves({...state, ...thresholdsOf({attainment: 0.8, moves: 0.2})});
 * @public
 */
export function thresholdsOf(objective: Objective): Pick<PlacementInput, 'minGain' | 'cooldownMs'> {
  const movesWeight = objective.moves / Math.max(0.01, objective.moves + objective.attainment);
  return {
    minGain: 0.01 + 0.05 * movesWeight,
    cooldownMs: 5000 + 55_000 * movesWeight,
  };
}
