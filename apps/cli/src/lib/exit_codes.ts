/** Exit codes of the command line; documented in docs/OPERATIONS.md. */

/** @internal */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The command failed; nothing has changed. */
  failed: 1,
  /** The input is invalid. */
  invalidInput: 2,
  /** A concurrent change was accepted first. */
  lostRace: 3,
  /** The change may have been applied. */
  unknown: 4,
  /** The replicas lack the capacity for the declaration. */
  insufficientCapacity: 5,
} as const;
