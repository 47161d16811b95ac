/** Identifiers. */
import {ulid} from 'ulid';

/**
 * Sortable unique identifier with a readable prefix.
 *
 * @example
 * newId('req'); // 'req_01J...'
 * @public
 */
export function newId(prefix: string): string {
  return `${prefix}_${ulid()}`;
}
