/** Exit codes of the command line; docs/OPERATIONS.md lists them. */

/** @internal */
export const EXIT_CODES = {
  /** Done. */
  ok: 0,
  /** Could not be done; nothing has changed. */
  failed: 1,
  /** The input is at fault. */
  invalidInput: 2,
  /** Another change came first. */
  lostRace: 3,
  /** The change may have taken effect. */
  unknown: 4,
  /** The declaration does not fit the replicas. */
  insufficientCapacity: 5,
} as const;
