/** Releases complete server-sent events only, so that another attempt can resume the stream. */
import {GrowingBuffer, type BudgetedBuffer, type BufferBudget} from '@jasminepost/core';

const EVENT_ENDS: readonly Buffer[] = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
/** Longer events are taken to be endless: models send a few tokens per event. */
const MAX_EVENT_BYTES = 1_048_576;
/** The longest end of an event, less one byte: an end may begin this far before a new chunk. */
const END_OVERLAP_BYTES = 3;
const ID_LINE = /^id:\s?([^\r\n]*)/m;

/** @internal */
export class SseEventBuffer implements BudgetedBuffer {
  /** Id of the last event that was released; empty before the first. */
  lastEventId = '';
  /** True once an event of the current attempt has been released. */
  hasEvents = false;
  /** True when the first event of the current attempt does not follow the last one released. */
  isOutOfOrder = false;
  private readonly partial = new GrowingBuffer();
  private isEvicted = false;

  /** @param onEvicted - Called when the incomplete event is dropped in favour of other streams. */
  constructor(
    private readonly budget: BufferBudget,
    private readonly onEvicted: () => void,
  ) {}

  get bufferedBytes(): number {
    return this.partial.capacity;
  }

  evict(): void {
    this.partial.clear();
    this.isEvicted = true;
    this.onEvicted();
  }

  /** True when the data so far ends in the middle of an event. */
  get hasPartial(): boolean {
    return this.partial.length > 0;
  }

  /** True when the incomplete event exceeds the size limit, or the memory left for all streams. */
  get isEventTooLong(): boolean {
    return this.isEvicted || this.partial.length > MAX_EVENT_BYTES;
  }

  /**
   * Adds received data and returns the events that are now complete. Searches only what is new, so
   * that a long event costs the same in chunks of any size.
   */
  push(chunk: Buffer): Buffer {
    const events = this.takeEvents(chunk);
    this.budget.update(this);
    return events;
  }

  private takeEvents(chunk: Buffer): Buffer {
    const searchedBytes = Math.max(0, this.partial.length - END_OVERLAP_BYTES);
    this.partial.append(chunk);
    const end = lastEventEnd(this.partial.bytes.subarray(searchedBytes));
    if (end < 0) return Buffer.alloc(0);
    const completeEvents = this.partial.take(searchedBytes + end);
    if (!this.hasEvents && this.lastEventId !== '' && !this.continues(completeEvents)) {
      this.isOutOfOrder = true;
      return Buffer.alloc(0);
    }
    const lastStart = lastEventEnd(completeEvents.subarray(0, -1));
    const last = completeEvents.subarray(Math.max(0, lastStart)).toString('utf8');
    this.lastEventId = ID_LINE.exec(last)?.[1] ?? this.lastEventId;
    this.hasEvents = true;
    return completeEvents;
  }

  /** True when the first of the events comes after the last one that was released. */
  private continues(events: Buffer): boolean {
    const id = ID_LINE.exec(events.subarray(0, firstEventEnd(events)).toString('utf8'))?.[1];
    if (id === undefined || id === this.lastEventId) return false;
    const [next, last] = [Number(id), Number(this.lastEventId)];
    // Ids that are no numbers have no known order.
    return Number.isNaN(next) || Number.isNaN(last) || next > last;
  }

  /** Prepares for the events of another attempt; discards an incomplete event. */
  startAttempt(): void {
    this.partial.clear();
    this.budget.update(this);
    this.hasEvents = false;
    this.isOutOfOrder = false;
    this.isEvicted = false;
  }
}

/** Index after the first complete event; the data must contain one. */
function firstEventEnd(data: Buffer): number {
  const ends = EVENT_ENDS.map(end => ({start: data.indexOf(end), length: end.length}));
  return Math.min(...ends.filter(({start}) => start >= 0).map(({start, length}) => start + length));
}

/** Index after the last complete event; -1 when there is none. */
function lastEventEnd(data: Buffer): number {
  const ends = EVENT_ENDS.map(end => {
    const start = data.lastIndexOf(end);
    return start < 0 ? -1 : start + end.length;
  });
  return Math.max(...ends);
}
