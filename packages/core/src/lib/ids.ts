/** Identifiers. */
import {monotonicFactory} from 'ulid';

/** Ids are unique, not secret; the default source asks the kernel for each character. */
const nextUlid = monotonicFactory(Math.random);

/**
 * Sortable unique identifier with a readable prefix.
 *
 * @example
 * newId('req'); // 'req_01J...'
 * @public
 */
export function newId(prefix: string): string {
  return `${prefix}_${nextUlid()}`;
}
