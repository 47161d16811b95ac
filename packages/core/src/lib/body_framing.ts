/** How the end of a response body is marked; RFC 9112, section 6.3. */

/** Transfer codings that mark the end of the body; after others, only the close does. */
const FINALLY_CHUNKED = /(^|,)\s*chunked\s*$/i;

/**
 * True when only the end of the connection marks the end of a body, so that whether the body is
 * complete can't be known.
 *
 * @param transferCodings - Value of the last Transfer-Encoding header; undefined without one.
 * @example
 * isCloseDelimited('chunked, gzip', false); // true
 * isCloseDelimited(undefined, true); // false
 * @public
 */
export function isCloseDelimited(transferCodings: string | undefined, hasLength: boolean): boolean {
  return transferCodings === undefined ? !hasLength : !FINALLY_CHUNKED.test(transferCodings);
}
