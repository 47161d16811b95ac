/** Runs a call on a plain service and determines its verdict. */
import {Agent, request, type Dispatcher} from 'undici';
import {
  completed,
  discardBody,
  isCloseDelimited,
  mayHaveRun,
  notRun,
  ResetDetector,
  verdictForSendFailure,
  type Verdict,
} from '@jasminepost/core';

/** Response header by which a service reports that a refused call had no effect. */
const NOT_RUN_HEADER = 'x-not-run';

const HOP_BY_HOP_HEADERS = new Set([
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

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

const CONNECT_TIMEOUT_MS = 1000;

const resetDetector = new ResetDetector();
const sharedAgent = createAgent(null);

/** @public */
export interface ServiceCallInput {
  readonly baseUrl: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Opens a new connection: a reused one may be just closing, which yields `may_have_run`. */
  readonly useNewConnection: boolean;
  readonly signal: AbortSignal;
  /** `headers` has `connection: close` when only the end of the connection ended the body. */
  onHead(status: number, headers: Record<string, string>): void;
  /** Resolves when more data may be read, for backpressure. */
  onData(bytes: Uint8Array): Promise<void>;
}

/**
 * @returns The verdict; any complete response of the service, even an error, is `completed`.
 * @example
 * const verdict = await callService(input);
 * @public
 */
export async function callService(input: ServiceCallInput): Promise<Verdict> {
  const agent = input.useNewConnection ? createAgent(1) : sharedAgent;
  try {
    return await sendRequest(input, agent.compose(resetDetector.interceptor));
  } finally {
    if (input.useNewConnection) void agent.close();
  }
}

function createAgent(connections: number | null): Agent {
  const connect = resetDetector.connector({timeout: CONNECT_TIMEOUT_MS});
  return new Agent({connections, connect, headersTimeout: 0, bodyTimeout: 0});
}

async function sendRequest(input: ServiceCallInput, agent: Dispatcher): Promise<Verdict> {
  let res: Dispatcher.ResponseData;
  try {
    res = await request(input.baseUrl + input.path, {
      method: input.method,
      dispatcher: agent,
      headers: withoutHopByHopHeaders(input.headers),
      body: input.body.length > 0 ? input.body : null,
      signal: input.signal,
    });
  } catch (thrown) {
    return verdictForSendFailure(thrown);
  }
  if (res.headers[NOT_RUN_HEADER] !== undefined) {
    discardBody(res.body);
    return notRun('upstream_refused');
  }
  const headers = withoutHopByHopHeaders(joinHeaderValues(res.headers));
  input.onHead(res.statusCode, {...headers, ...framingHeaders(input.method, res)});
  try {
    for await (const bytes of res.body as AsyncIterable<Uint8Array>) await input.onData(bytes);
    return completed('answered');
  } catch {
    return mayHaveRun('upstream_cut');
  }
}

/** Tells who forwards the response that its end must not be marked in another way. */
function framingHeaders(
  method: string,
  {statusCode, headers}: Dispatcher.ResponseData,
): Record<string, string> {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(statusCode)) return {};
  const codings = [headers['transfer-encoding'] ?? []].flat().at(-1);
  const hasLength = headers['content-length'] !== undefined;
  return isCloseDelimited(codings, hasLength) ? {connection: 'close'} : {};
}

function joinHeaderValues(headers: Dispatcher.ResponseData['headers']): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) joined[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return joined;
}

function withoutHopByHopHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)),
  );
}
