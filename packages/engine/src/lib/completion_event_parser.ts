/** Parses the server-sent events of a completion into the parts that are forwarded. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';

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
  private readonly parser = createParser({onEvent: event => this.handleEvent(event)});

  /** Parses a chunk of the body; returns complete events and buffers an incomplete one. */
  push(bytes: Uint8Array): ParsedEvents {
    this.parser.feed(this.decoder.decode(bytes, {stream: true}));
    const batch = {events: this.events, usage: this.usage, done: this.done, error: this.error};
    this.events = [];
    return batch;
  }

  private handleEvent(event: EventSourceMessage): void {
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
