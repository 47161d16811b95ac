/** Unique identifiers. */
import {monotonicFactory} from 'ulid';

/** Ids need not be secret, and ulid's default random source makes a system call per character. */
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
