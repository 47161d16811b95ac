/** HTTP calls to a key-value service, with what a failure says about its effect. */
import {Agent, request, type Dispatcher} from 'undici';
import {errorMessage, failedBeforeSend, PlatformError, type CounterFamily} from '@jasminepost/core';
import {ResponseTimeout} from './response_timeout.ts';

type Method = 'GET' | 'PUT' | 'POST';

interface StoreHttpCall {
  /** Shown in errors. */
  readonly name: string;
  readonly method: Method;
  readonly url: string;
  readonly body: object | undefined;
  readonly dispatcher: Dispatcher;
  readonly responseTimeoutMs: number;
  readonly signal: AbortSignal | undefined;
  readonly onHeaders: (headers: StoreHttpHeaders, status: number) => void;
}

const STATUS_OK = 200;
/** A body is sent at this rate at the least, in bytes per millisecond. */
const MIN_UPLOAD_BYTES_PER_MS = 100;

/** Headers of an answer, by their names in lower case. @public */
export type StoreHttpHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** @public */
export interface StoreHttpReply {
  readonly status: number;
  readonly text: string;
}

/** @public */
export interface StoreHttpClientOptions {
  /** Connections for calls other than watches. */
  readonly connections: number;
  readonly connectTimeoutMs: number;
  /** Time until an answer begins. */
  readonly responseTimeoutMs: number;
}

/** What one call needs other than usual. @public */
export interface StoreCallOptions {
  /** Time until the answer begins. */
  readonly responseTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /** True for a call that waits for changes or reads much; it gets a connection of its own. */
  readonly isLongRunning?: boolean;
  /** Called when the answer begins, unless it is a refusal. */
  readonly onBegun?: () => void;
}

/** Counts and makes the calls of one client. @public */
export class StoreHttpClient<Kind extends string> {
  private agent: Agent;
  /** For calls that take long; they must not hold up the others. */
  private longRunningAgent: Agent;

  constructor(
    private readonly origin: string,
    private readonly calls: CounterFamily<Kind>,
    private readonly limits: StoreHttpClientOptions,
    /** Called with the headers of every answer, also of refusals, before it is taken in. */
    private readonly onHeaders: (headers: StoreHttpHeaders) => void = () => undefined,
  ) {
    this.agent = this.createAgent();
    this.longRunningAgent = this.createLongRunningAgent();
  }

  /**
   * Makes a call and reads the answer. Its length is not known before, so that time limits apply to
   * its beginning and to pauses in it.
   *
   * @throws PlatformError `unavailable` when nothing was done, `unknown_outcome` otherwise.
   * @example
   * const {status, text} = await connection.call('get', 'GET', '/v1/kv?key=a');
   */
  async call(
    kind: Kind,
    method: Method,
    path: string,
    body?: object,
    options?: StoreCallOptions,
  ): Promise<StoreHttpReply> {
    this.calls.increment(kind);
    const dispatcher = options?.isLongRunning === true ? this.longRunningAgent : this.agent;
    let hasResponse = false;
    try {
      return await callStore({
        name: kind,
        method,
        url: this.origin + path,
        body,
        dispatcher,
        responseTimeoutMs: options?.responseTimeoutMs ?? this.limits.responseTimeoutMs,
        signal: options?.signal,
        onHeaders: (headers, status) => {
          hasResponse = true;
          this.onHeaders(headers);
          if (status === STATUS_OK) options?.onBegun?.();
        },
      });
    } catch (thrown) {
      if (!hasResponse) this.renew(dispatcher);
      throw thrown;
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.longRunningAgent.destroy()]);
  }

  /** Connections kept beside one that has fallen silent may be silent as well: none is used again. */
  private renew(agent: Agent): void {
    if (agent === this.agent) this.agent = this.createAgent();
    else if (agent === this.longRunningAgent) this.longRunningAgent = this.createLongRunningAgent();
    else return;
    void agent.close();
  }

  private createAgent(): Agent {
    const {connections, connectTimeoutMs: connectMs} = this.limits;
    return new Agent({connections, pipelining: 1, connect: {timeout: connectMs}});
  }

  private createLongRunningAgent(): Agent {
    return new Agent({connect: {timeout: this.limits.connectTimeoutMs}});
  }
}

async function callStore(call: StoreHttpCall): Promise<StoreHttpReply> {
  const {name, method, url, body, dispatcher, responseTimeoutMs: startMs, signal, onHeaders} = call;
  const text = body === undefined ? null : JSON.stringify(body);
  const uploadMs = text === null ? 0 : text.length / MIN_UPLOAD_BYTES_PER_MS;
  const timeout = new ResponseTimeout(startMs + uploadMs, signal);
  let reply: StoreHttpReply;
  try {
    const res = await request(url, {
      method,
      dispatcher,
      headers: {'content-type': 'application/json'},
      body: text,
      signal: timeout.signal,
    });
    timeout.onHeaders();
    onHeaders(res.headers, res.statusCode);
    const chunks: Buffer[] = [];
    for await (const chunk of res.body) {
      timeout.onBytes((chunk as Buffer).length);
      chunks.push(chunk as Buffer);
    }
    reply = {status: res.statusCode, text: Buffer.concat(chunks).toString('utf8')};
  } catch (thrown) {
    const hadNoEffect = method === 'GET' || failedBeforeSend(thrown);
    const fault = hadNoEffect ? 'unavailable' : 'unknown_outcome';
    throw new PlatformError(fault, `${name} ${url}: ${errorMessage(thrown)}, ${timeout.progress}`);
  } finally {
    timeout.dispose();
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
