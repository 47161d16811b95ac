/** Runs a completion on an engine and determines its verdict. */
import {Agent, request, type Dispatcher} from 'undici';
import {
  completed,
  discardBody,
  GrowingBuffer,
  httpConnector,
  mayHaveRun,
  notRun,
  verdictForSendFailure,
  type Verdict,
} from '@jasminepost/core';
import {CompletionEventParser} from './completion_event_parser.ts';

/** Longer error responses are taken to be endless. */
const MAX_ERROR_BYTES = 1_048_576;

const CONNECT_TIMEOUT_MS = 1000;

const agent = new Agent({
  connections: null,
  connect: httpConnector({timeout: CONNECT_TIMEOUT_MS}),
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** @public */
export interface CompletionInput {
  readonly baseUrl: string;
  /** OpenAI-compatible request body; the engine is always asked to stream. */
  readonly body: Uint8Array;
  readonly priority: number;
  /** Number and text of the tokens that the caller has already received. */
  readonly resumeTokens: number;
  readonly resumeText: string;
  readonly signal: AbortSignal;
  onHead(status: number, headers: Record<string, string>): void;
  /** Resolves when more events may be read, for backpressure. */
  onEvents(events: string[]): Promise<void>;
  /** Called with the body of a response that is not a stream, such as a 400. */
  onBody(bytes: Uint8Array): Promise<void>;
  onUsage(usage: string): void;
}

/**
 * Streams a completion.
 *
 * @returns The verdict; `completed` for a stream only when the engine sent [DONE] and no error.
 * @example
 * const verdict = await streamCompletion(input);
 * @public
 */
export async function streamCompletion(input: CompletionInput): Promise<Verdict> {
  let res: Dispatcher.ResponseData;
  try {
    res = await request(`${input.baseUrl}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: agent,
      headers: {'content-type': 'application/json'},
      body: encodeBody(input),
      signal: input.signal,
    });
  } catch (thrown) {
    return verdictForSendFailure(thrown);
  }
  if (res.statusCode !== 200) return relayErrorResponse(input, res);
  input.onHead(200, {'content-type': 'text/event-stream'});
  try {
    return await relayEvents(input, res);
  } catch {
    return mayHaveRun('upstream_cut');
  }
}

function encodeBody(input: CompletionInput): string {
  const body = JSON.parse(Buffer.from(input.body).toString('utf8')) as Record<string, unknown>;
  const resume =
    input.resumeTokens === 0 ? {} : {resume: {tokens: input.resumeTokens, text: input.resumeText}};
  return JSON.stringify({
    ...body,
    stream: true,
    stream_options: {include_usage: true},
    priority: input.priority,
    ...resume,
  });
}

async function relayErrorResponse(
  input: CompletionInput,
  res: Dispatcher.ResponseData,
): Promise<Verdict> {
  const {statusCode} = res;
  const isRefusal = statusCode === 404 || statusCode === 429 || statusCode === 503;
  if (isRefusal || statusCode >= 500) {
    discardBody(res.body);
    if (statusCode === 404) return notRun('model_not_ready');
    return isRefusal ? notRun('upstream_refused') : mayHaveRun('upstream_cut');
  }
  const body = new GrowingBuffer();
  try {
    for await (const bytes of res.body as AsyncIterable<Uint8Array>) {
      body.append(bytes);
      if (body.length > MAX_ERROR_BYTES) return mayHaveRun('upstream_cut');
    }
  } catch {
    return mayHaveRun('upstream_cut');
  }
  if (!isJson(body.bytes)) return mayHaveRun('upstream_cut');
  input.onHead(statusCode, {'content-type': 'application/json'});
  await input.onBody(body.bytes);
  return completed('answered');
}

/** False for a body that was cut; one that ends with its connection shows this in no other way. */
function isJson(bytes: Uint8Array): boolean {
  try {
    JSON.parse(Buffer.from(bytes).toString('utf8'));
    return true;
  } catch {
    return false;
  }
}

async function relayEvents(input: CompletionInput, res: Dispatcher.ResponseData): Promise<Verdict> {
  const parser = new CompletionEventParser();
  let done = false;
  let failed = false;
  for await (const bytes of res.body as AsyncIterable<Uint8Array>) {
    const parsed = parser.push(bytes);
    if (parsed.events.length > 0) await input.onEvents(parsed.events);
    if (parsed.usage !== '') input.onUsage(parsed.usage);
    done ||= parsed.done;
    failed ||= parsed.error !== '';
  }
  return done && !failed ? completed('answered') : mayHaveRun('upstream_cut');
}
