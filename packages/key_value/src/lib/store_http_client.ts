/** HTTP calls to a key-value service; errors state whether a failed call had an effect. */
import {Agent, request, type Dispatcher} from 'undici';
import {
  errorMessage,
  failedBeforeSend,
  httpConnector,
  PlatformError,
  type CounterFamily,
} from '@jasminepost/core';
import {ResponseTimeout} from './response_timeout.ts';

type Method = 'GET' | 'PUT' | 'POST';

interface StoreHttpCall {
  /** Kind of call, for error messages. */
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
/** Slowest expected upload, in bytes per millisecond; extends the timeout of calls with a body. */
const MIN_UPLOAD_BYTES_PER_MS = 100;

/**
 * Idle time after which a connection for long-running calls is closed. Between two watches it is
 * idle for a shorter time; after a longer one, it may have become unresponsive unnoticed.
 */
const LONG_RUNNING_IDLE_MS = 1000;

/** Headers of a response, by name in lower case. @public */
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
  /** Default timeout until a response begins. */
  readonly responseTimeoutMs: number;
}

/** Options of a single call. @public */
export interface StoreCallOptions {
  /** Timeout until the response begins. */
  readonly responseTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /** True for a call that waits for changes or reads much data; uses a separate connection. */
  readonly isLongRunning?: boolean;
  /** Called when a response with status 200 begins. */
  readonly onBegun?: () => void;
}

/** Makes and counts HTTP calls to one service. @public */
export class StoreHttpClient<Kind extends string> {
  private agent: Agent;
  /** For long-running calls, so that these do not delay others. */
  private longRunningAgent: Agent;
  private isClosed = false;

  constructor(
    private readonly origin: string,
    private readonly calls: CounterFamily<Kind>,
    private readonly limits: StoreHttpClientOptions,
    /** Called with the headers of every response, of any status, before its body is read. */
    private readonly onHeaders: (headers: StoreHttpHeaders) => void = () => undefined,
  ) {
    this.agent = this.createAgent();
    this.longRunningAgent = this.createLongRunningAgent();
  }

  /**
   * Makes a call and reads the response. As its length is not known in advance, timeouts apply to
   * its beginning, to pauses in it and to the total.
   *
   * @throws PlatformError `unavailable` when the call had no effect, `unknown_outcome` otherwise.
   * @example
   * const {status, text} = await client.call('get', 'GET', '/v1/kv?key=a');
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
    this.isClosed = true;
    await Promise.all([this.agent.destroy(), this.longRunningAgent.destroy()]);
  }

  /**
   * Replaces the agent of a call that got no response: its other kept connections may be
   * unresponsive as well.
   */
  private renew(agent: Agent): void {
    if (this.isClosed) return;
    if (agent === this.agent) this.agent = this.createAgent();
    else if (agent === this.longRunningAgent) this.longRunningAgent = this.createLongRunningAgent();
    else return;
    void agent.close();
  }

  private createAgent(): Agent {
    const {connections, connectTimeoutMs} = this.limits;
    return new Agent({
      connections,
      pipelining: 1,
      connect: httpConnector({timeout: connectTimeoutMs}),
    });
  }

  private createLongRunningAgent(): Agent {
    return new Agent({
      connect: httpConnector({timeout: this.limits.connectTimeoutMs}),
      keepAliveTimeout: LONG_RUNNING_IDLE_MS,
      keepAliveMaxTimeout: LONG_RUNNING_IDLE_MS,
    });
  }
}

async function callStore(call: StoreHttpCall): Promise<StoreHttpReply> {
  const {name, method, url, body, dispatcher, responseTimeoutMs, signal, onHeaders} = call;
  const text = body === undefined ? null : JSON.stringify(body);
  const uploadMs = text === null ? 0 : text.length / MIN_UPLOAD_BYTES_PER_MS;
  const timeout = new ResponseTimeout(responseTimeoutMs + uploadMs, signal);
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
  // Both services guarantee that a call had no effect when they respond with 429 or 503.
  if (reply.status === 429 || reply.status === 503) {
    throw new PlatformError('unavailable', `${name} ${url}: status ${reply.status}`);
  }
  if (reply.status >= 500) {
    throw new PlatformError('unknown_outcome', `${name} ${url}: ${reply.status}`);
  }
  return reply;
}
