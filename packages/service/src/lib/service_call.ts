/** Runs one call on a plain service and says what became of it. */
import {Agent, request, type Dispatcher} from 'undici';
import {
  completed,
  mayHaveRun,
  notRun,
  ResetDetector,
  verdictForSendFailure,
  type Verdict,
} from '@jasminepost/core';

/** Header by which a service says that a refused call had no effect. */
const NOT_RUN_HEADER = 'x-not-run';

const HOP_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const CONNECT_TIMEOUT_MS = 1000;

const resets = new ResetDetector();
const sharedAgent = openAgent(null);

/** @public */
export interface ServiceCallInput {
  readonly baseUrl: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Uses a new connection: a reused one may have been closed, which would look like "may have run". */
  readonly freshConnection: boolean;
  readonly signal: AbortSignal;
  onHead(status: number, headers: Record<string, string>): void;
  /** Resolves when more may be read. */
  onData(bytes: Uint8Array): Promise<void>;
}

/**
 * @returns The verdict; any answer of the service, an error too, is `completed`.
 * @example
 * const verdict = await callService(input);
 * @public
 */
export async function callService(input: ServiceCallInput): Promise<Verdict> {
  const agent = input.freshConnection ? openAgent(1) : sharedAgent;
  try {
    return await run(input, agent.compose(resets.interceptor));
  } finally {
    if (input.freshConnection) void agent.close();
  }
}

function openAgent(connections: number | null): Agent {
  const connect = resets.connector({timeout: CONNECT_TIMEOUT_MS});
  return new Agent({connections, connect, headersTimeout: 0, bodyTimeout: 0});
}

async function run(input: ServiceCallInput, agent: Dispatcher): Promise<Verdict> {
  let res: Dispatcher.ResponseData;
  try {
    res = await request(input.baseUrl + input.path, {
      method: input.method,
      dispatcher: agent,
      headers: withoutHopHeaders(input.headers),
      body: input.body.length > 0 ? input.body : null,
      signal: input.signal,
    });
  } catch (thrown) {
    return verdictForSendFailure(thrown);
  }
  if (res.headers[NOT_RUN_HEADER] !== undefined) {
    await res.body.dump();
    return notRun('upstream_refused');
  }
  input.onHead(res.statusCode, withoutHopHeaders(flatten(res.headers)));
  try {
    for await (const bytes of res.body as AsyncIterable<Uint8Array>) await input.onData(bytes);
    return completed('answered');
  } catch {
    return mayHaveRun('upstream_cut');
  }
}

function flatten(headers: Dispatcher.ResponseData['headers']): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return flat;
}

function withoutHopHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name)));
}
