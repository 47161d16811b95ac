/** Releases complete server-sent events only, so that another attempt can resume the stream. */

const EVENT_END = Buffer.from('\n\n');
/** Longer events are taken to be endless: models send a few tokens per event. */
const MAX_EVENT_BYTES = 1_048_576;
const ID_LINE = /^id:\s?(.*)$/m;

/** @internal */
export class SseEventBuffer {
  /** Id of the last event that was released; empty before the first. */
  lastEventId = '';
  private partial: Buffer = Buffer.alloc(0);

  /** True when the data so far ends in the middle of an event. */
  get hasPartial(): boolean {
    return this.partial.length > 0;
  }

  /** True when the incomplete event exceeds the size limit. */
  get isEventTooLong(): boolean {
    return this.partial.length > MAX_EVENT_BYTES;
  }

  /** Adds received data and returns the events that are now complete. */
  push(chunk: Buffer): Buffer {
    const data = this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
    const end = data.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.partial = data;
      return Buffer.alloc(0);
    }
    const completeEvents = data.subarray(0, end + EVENT_END.length);
    this.partial = data.subarray(end + EVENT_END.length);
    const start = completeEvents.lastIndexOf(
      EVENT_END,
      completeEvents.length - EVENT_END.length - 1,
    );
    const last = completeEvents.subarray(start < 0 ? 0 : start + EVENT_END.length).toString('utf8');
    this.lastEventId = ID_LINE.exec(last)?.[1] ?? this.lastEventId;
    return completeEvents;
  }

  /** Discards the incomplete event. */
  discardPartial(): void {
    this.partial = Buffer.alloc(0);
  }
}
