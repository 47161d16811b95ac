/** One HTTP call to a key-value service, with what a failure says about its effect. */
import {request, type Dispatcher} from 'undici';
import {messageOf, neverSent, PlatformError} from '@jasminepost/core';

/** @public */
export interface StoreHttpCall {
  /** Shown in errors. */
  readonly name: string;
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly url: string;
  readonly body: object | undefined;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

/** @public */
export interface StoreHttpReply {
  readonly status: number;
  readonly text: string;
}

/**
 * Makes the call and reads the answer.
 *
 * @throws PlatformError `unavailable` when nothing was done, `unknown_outcome` otherwise.
 * @example
 * const {status, text} = await callStore({name: 'get', method: 'GET', url, ...});
 * @public
 */
export async function callStore(call: StoreHttpCall): Promise<StoreHttpReply> {
  const {name, method, url, body, dispatcher, timeoutMs, signal} = call;
  const timeout = AbortSignal.timeout(timeoutMs);
  let reply: StoreHttpReply;
  try {
    const res = await request(url, {
      method,
      dispatcher,
      headers: {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
      signal: signal === undefined ? timeout : AbortSignal.any([timeout, signal]),
    });
    reply = {status: res.statusCode, text: await res.body.text()};
  } catch (thrown) {
    const harmless = method === 'GET' || neverSent(thrown);
    const fault = harmless ? 'unavailable' : 'unknown_outcome';
    throw new PlatformError(fault, `${name} ${url}: ${messageOf(thrown)}`);
  }
  // Both services promise that nothing was done when they answer 429 or 503.
  if (reply.status === 429 || reply.status === 503) {
    throw new PlatformError('unavailable', `${name} ${url}: status ${reply.status}`);
  }
  if (reply.status >= 500) {
    throw new PlatformError('unknown_outcome', `${name} ${url}: ${reply.status}`);
  }
  return reply;
}
