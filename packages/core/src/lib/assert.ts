/** Runtime checks for states that the type system cannot rule out. */

/**
 * Throws when `condition` is false.
 *
 * @example
 * assert(queue.length > 0, 'queue is empty');
 * @public
 */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(`assertion failed: ${message}`);
}

/**
 * Marks the unreachable branch of a switch over a union; fails to compile when a case is missing.
 *
 * @example
 * default:
 *   return assertNever(verdict);
 * @public
 */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
