/** HTTP calls to a key-value service, with what a failure says about its effect. */
import {Agent, request, type Dispatcher} from 'undici';
import {messageOf, neverSent, PlatformError, type CounterFamily} from '@jasminepost/core';
import {AnswerPatience} from './answer_patience.ts';

type Method = 'GET' | 'PUT' | 'POST';

interface StoreHttpCall {
  /** Shown in errors. */
  readonly name: string;
  readonly method: Method;
  readonly url: string;
  readonly body: object | undefined;
  readonly dispatcher: Dispatcher;
  readonly startMs: number;
  readonly signal: AbortSignal | undefined;
  readonly onHeaders: (headers: StoreHttpHeaders, status: number) => void;
}

const STATUS_OK = 200;
/** A body is sent at this rate at the least, in bytes per millisecond. */
const LEAST_UPLOAD_BYTES_PER_MS = 100;

/** Headers of an answer, by their names in lower case. @public */
export type StoreHttpHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** @public */
export interface StoreHttpReply {
  readonly status: number;
  readonly text: string;
}

/** @public */
export interface StoreConnectionLimits {
  /** Connections for calls other than watches. */
  readonly connections: number;
  readonly connectMs: number;
  /** Time until an answer begins. */
  readonly startMs: number;
}

/** What one call needs other than usual. @public */
export interface StoreCallLimits {
  /** Time until the answer begins. */
  readonly startMs?: number;
  readonly signal?: AbortSignal;
  /** True for a call that waits for changes or reads much; it gets a connection of its own. */
  readonly isLong?: boolean;
  /** Called when the answer begins, unless it is a refusal. */
  readonly onBegun?: () => void;
}

/** Counts and makes the calls of one client. @public */
export class StoreConnection<Kind extends string> {
  private agent: Agent;
  /** For calls that take long; they must not hold up the others. */
  private longAgent: Agent;

  constructor(
    private readonly origin: string,
    private readonly calls: CounterFamily<Kind>,
    private readonly limits: StoreConnectionLimits,
    /** Called with the headers of every answer, also of refusals, before it is taken in. */
    private readonly onHeaders: (headers: StoreHttpHeaders) => void = () => undefined,
  ) {
    this.agent = this.newAgent();
    this.longAgent = this.newLongAgent();
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
    own?: StoreCallLimits,
  ): Promise<StoreHttpReply> {
    this.calls.increment(kind);
    const dispatcher = own?.isLong === true ? this.longAgent : this.agent;
    let begun = false;
    try {
      return await callStore({
        name: kind,
        method,
        url: this.origin + path,
        body,
        dispatcher,
        startMs: own?.startMs ?? this.limits.startMs,
        signal: own?.signal,
        onHeaders: (headers, status) => {
          begun = true;
          this.onHeaders(headers);
          if (status === STATUS_OK) own?.onBegun?.();
        },
      });
    } catch (thrown) {
      if (!begun) this.renew(dispatcher);
      throw thrown;
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.longAgent.destroy()]);
  }

  /** Connections kept beside one that has fallen silent may be silent as well: none is used again. */
  private renew(agent: Agent): void {
    if (agent === this.agent) this.agent = this.newAgent();
    else if (agent === this.longAgent) this.longAgent = this.newLongAgent();
    else return;
    void agent.close();
  }

  private newAgent(): Agent {
    const {connections, connectMs} = this.limits;
    return new Agent({connections, pipelining: 1, connect: {timeout: connectMs}});
  }

  private newLongAgent(): Agent {
    return new Agent({connect: {timeout: this.limits.connectMs}});
  }
}

async function callStore(call: StoreHttpCall): Promise<StoreHttpReply> {
  const {name, method, url, body, dispatcher, startMs, signal, onHeaders} = call;
  const text = body === undefined ? null : JSON.stringify(body);
  const uploadMs = text === null ? 0 : text.length / LEAST_UPLOAD_BYTES_PER_MS;
  const patience = new AnswerPatience(startMs + uploadMs, signal);
  let reply: StoreHttpReply;
  try {
    const res = await request(url, {
      method,
      dispatcher,
      headers: {'content-type': 'application/json'},
      body: text,
      signal: patience.signal,
    });
    patience.onBegun();
    onHeaders(res.headers, res.statusCode);
    const chunks: Buffer[] = [];
    for await (const chunk of res.body) {
      patience.onBytes((chunk as Buffer).length);
      chunks.push(chunk as Buffer);
    }
    reply = {status: res.statusCode, text: Buffer.concat(chunks).toString('utf8')};
  } catch (thrown) {
    const harmless = method === 'GET' || neverSent(thrown);
    const fault = harmless ? 'unavailable' : 'unknown_outcome';
    throw new PlatformError(fault, `${name} ${url}: ${messageOf(thrown)}, ${patience.progress}`);
  } finally {
    patience.dispose();
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
