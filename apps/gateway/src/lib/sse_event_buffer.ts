/** Passes on whole events only, so that a stream can go on from another run. */

const EVENT_END = Buffer.from('\n\n');
/** A longer event has no end: models send a few tokens in each. */
const MAX_EVENT_BYTES = 1_048_576;
const ID_LINE = /^id:\s?(.*)$/m;

/** @internal */
export class SseEventBuffer {
  /** Id of the last event that was passed on; empty before the first. */
  lastEventId = '';
  private partial: Buffer = Buffer.alloc(0);

  /** True when the bytes so far end inside an event. */
  get hasPartial(): boolean {
    return this.partial.length > 0;
  }

  /** True when the event that has begun is too long to have an end. */
  get isEventTooLong(): boolean {
    return this.partial.length > MAX_EVENT_BYTES;
  }

  /** Takes bytes of a run and returns the whole events among them. */
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

  /** Forgets the bytes of an event that its run did not finish. */
  discardPartial(): void {
    this.partial = Buffer.alloc(0);
  }
}
