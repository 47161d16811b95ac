/** Parses the server-sent events of a completion into the parts that are forwarded. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {GrowingBuffer, UpstreamError} from '@jasminepost/core';

const NEWLINE = 0x0a;
/** Longer events are taken to be endless: engines send a few tokens per event. */
const MAX_EVENT_BYTES = 1_048_576;

interface CompletionEvent {
  readonly choices?: readonly unknown[];
  readonly usage?: object | null;
  readonly error?: object;
}

/** Events completed by one chunk of the body. @public */
export interface ParsedEvents {
  /** The `choices` array of each event, as JSON. */
  readonly events: string[];
  /** JSON of the usage object; empty until received. */
  readonly usage: string;
  readonly done: boolean;
  /** JSON of an error event; empty without one. */
  readonly error: string;
}

/** @public */
export class CompletionEventParser {
  private readonly decoder = new TextDecoder();
  private events: string[] = [];
  private usage = '';
  private done = false;
  private error = '';
  /** The incomplete last line. */
  private readonly partialLine = new GrowingBuffer();
  /** Bytes received since the last complete event. */
  private bytesSinceEvent = 0;
  private readonly parser = createParser({onEvent: event => this.handleEvent(event)});

  /**
   * Parses a chunk of the body; returns complete events and buffers an incomplete one.
   *
   * @throws UpstreamError when an event exceeds the size limit.
   */
  push(bytes: Uint8Array): ParsedEvents {
    this.bytesSinceEvent += bytes.length;
    const lineEnd = bytes.lastIndexOf(NEWLINE) + 1;
    const partialBytes = this.partialLine.length;
    this.partialLine.append(bytes);
    // The parser searches an incomplete line again with each chunk, so it gets whole lines only.
    if (lineEnd > 0) {
      const lines = this.partialLine.take(partialBytes + lineEnd);
      this.parser.feed(this.decoder.decode(lines, {stream: true}));
    }
    if (this.bytesSinceEvent > MAX_EVENT_BYTES)
      throw new UpstreamError('endless_event', `no end after ${this.bytesSinceEvent} bytes`);
    const batch = {events: this.events, usage: this.usage, done: this.done, error: this.error};
    this.events = [];
    return batch;
  }

  private handleEvent(event: EventSourceMessage): void {
    this.bytesSinceEvent = 0;
    if (event.data === '[DONE]') {
      this.done = true;
      return;
    }
    const parsed = JSON.parse(event.data) as CompletionEvent;
    if (parsed.error !== undefined) this.error = JSON.stringify(parsed.error);
    if (parsed.usage !== undefined && parsed.usage !== null) {
      this.usage = JSON.stringify(parsed.usage);
    }
    if (parsed.choices !== undefined && parsed.choices.length > 0) {
      this.events.push(JSON.stringify(parsed.choices));
    }
  }
}
