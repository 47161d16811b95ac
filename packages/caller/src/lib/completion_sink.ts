/** Writes a completion response, as server-sent events or as one JSON document. */
import type {ServerResponse} from 'node:http';
import type {ResponseSink} from './response_sink.ts';
import type {ErrorResponse} from './error_response.ts';
import {CompletionAssembler} from './completion_assembler.ts';
import {errorResponseBody, sendErrorResponse, onCallerDisconnect} from './response_writer.ts';

/** @public */
export class CompletionSink implements ResponseSink {
  hasStarted = false;
  private status = 0;
  private readonly eventPrefix: string;
  private readonly created = Math.floor(Date.now() / 1000);
  private readonly assembler = new CompletionAssembler();
  private readonly bodyChunks: Uint8Array[] = [];

  /**
   * @param streaming - True when the caller requested server-sent events.
   * @param includeUsage - True when the caller requested a final event with token usage.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly requestId: string,
    private readonly model: string,
    private readonly streaming: boolean,
    private readonly includeUsage: boolean,
  ) {
    const chunkFields = {
      id: this.requestId,
      object: 'chat.completion.chunk',
      created: this.created,
      model,
    };
    this.eventPrefix = `data: ${JSON.stringify(chunkFields).slice(0, -1)},"choices":`;
  }

  head(status: number): void {
    this.status = status;
  }

  events(events: readonly string[]): boolean {
    if (!this.streaming) {
      for (const event of events) this.assembler.add(event);
      return true;
    }
    this.startStream();
    let text = '';
    for (const event of events) text += `${this.eventPrefix}${event}}\n\n`;
    return this.res.write(text);
  }

  data(bytes: Uint8Array): boolean {
    this.bodyChunks.push(bytes);
    return true;
  }

  end(usage: string): void {
    if (this.status !== 200) this.endWithUpstreamError();
    else if (this.streaming) this.endStream(usage);
    else this.endDocument(usage);
  }

  fail(failure: ErrorResponse): void {
    if (!this.hasStarted) {
      sendErrorResponse(this.res, failure, this.requestId);
      return;
    }
    // No [DONE] marker follows, so that the caller cannot mistake the response for a complete one.
    this.res.end(`event: error\ndata: ${errorResponseBody(failure, this.requestId)}\n\n`);
  }

  onDrain(listener: () => void): void {
    this.res.on('drain', listener);
  }

  onDisconnect(listener: () => void): void {
    onCallerDisconnect(this.res, listener);
  }

  private startStream(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    this.res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': this.requestId,
    });
  }

  private endStream(usage: string): void {
    this.startStream();
    const usageEvent =
      this.includeUsage && usage !== '' ? `${this.eventPrefix}[],"usage":${usage}}\n\n` : '';
    this.res.end(`${usageEvent}data: [DONE]\n\n`);
  }

  private endDocument(usage: string): void {
    this.hasStarted = true;
    const body = JSON.stringify({
      id: this.requestId,
      object: 'chat.completion',
      created: this.created,
      model: this.model,
      choices: this.assembler.choices(),
      usage: usage === '' ? undefined : (JSON.parse(usage) as unknown),
    });
    this.writeJson(200, Buffer.from(body));
  }

  private endWithUpstreamError(): void {
    this.hasStarted = true;
    this.writeJson(this.status, Buffer.concat(this.bodyChunks));
  }

  private writeJson(status: number, body: Buffer): void {
    this.res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': String(body.length),
      'x-request-id': this.requestId,
      'x-jasminepost-verdict': 'completed',
    });
    this.res.end(body);
  }
}
