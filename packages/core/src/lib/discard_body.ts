/** Ends responses that nobody needs. */
import type {Dispatcher} from 'undici';

/**
 * The rest of an unneeded response is read up to these limits, so that its connection can be used
 * again. Beyond them the connection is closed, upon which its sender stops working.
 *
 * @public
 */
export const MAX_DISCARD_BYTES = 65_536;
/** @public */
export const MAX_DISCARD_MS = 250;

/**
 * Reads the rest of a response within the limits, else closes its connection. Returns at once.
 *
 * @example
 * if (res.statusCode === 503) {
 *   discardBody(res.body);
 *   return notRun('upstream_refused');
 * }
 * @public
 */
export function discardBody(body: Dispatcher.ResponseData['body']): void {
  const options = {limit: MAX_DISCARD_BYTES, signal: AbortSignal.timeout(MAX_DISCARD_MS)};
  // The caller has its result already; a failure here only closes the connection.
  body.dump(options).catch(() => undefined);
}
