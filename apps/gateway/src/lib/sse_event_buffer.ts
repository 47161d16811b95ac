/** Releases complete server-sent events only, so that another attempt can resume the stream. */

const EVENT_ENDS: readonly Buffer[] = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
/** Longer events are taken to be endless: models send a few tokens per event. */
const MAX_EVENT_BYTES = 1_048_576;
const ID_LINE = /^id:\s?([^\r\n]*)/m;

/** @internal */
export class SseEventBuffer {
  /** Id of the last event that was released; empty before the first. */
  lastEventId = '';
  /** True once an event of the current attempt has been released. */
  hasEvents = false;
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
    const end = lastEventEnd(data);
    if (end < 0) {
      this.partial = data;
      return Buffer.alloc(0);
    }
    const completeEvents = data.subarray(0, end);
    this.partial = data.subarray(end);
    const lastStart = lastEventEnd(completeEvents.subarray(0, -1));
    const last = completeEvents.subarray(Math.max(0, lastStart)).toString('utf8');
    this.lastEventId = ID_LINE.exec(last)?.[1] ?? this.lastEventId;
    this.hasEvents = true;
    return completeEvents;
  }

  /** Prepares for the events of another attempt; discards an incomplete event. */
  startAttempt(): void {
    this.partial = Buffer.alloc(0);
    this.hasEvents = false;
  }
}

/** Index after the last complete event; -1 when there is none. */
function lastEventEnd(data: Buffer): number {
  const ends = EVENT_ENDS.map(end => {
    const start = data.lastIndexOf(end);
    return start < 0 ? -1 : start + end.length;
  });
  return Math.max(...ends);
}
