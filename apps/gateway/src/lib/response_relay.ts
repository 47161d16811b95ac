/** Forwards a replica's response to the caller; a truncated response is visible as truncated. */
import type {ServerResponse} from 'node:http';
import {resetConnection, type BufferBudget} from '@jasminepost/core';
import type {ReplicaResponseHead} from '@jasminepost/platform';
import {SseEventBuffer} from './sse_event_buffer.ts';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const NO_BYTES = Buffer.alloc(0);

/** @internal */
export class ResponseRelay {
  /** True once the response head has been sent to the caller. */
  headSent = false;
  /** True when only the end of the connection marks the end of the current response. */
  isCloseDelimited = false;
  private eventBuffer: SseEventBuffer | undefined;

  /**
   * @param resumable - True when the response may be continued by another attempt.
   * @param eventMemory - Limits the incomplete events of all streams.
   * @param onEvicted - Called when an incomplete event was dropped to keep to that limit.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly method: string,
    private readonly resumable: boolean,
    private readonly eventMemory: BufferBudget,
    private readonly onEvicted: () => void,
  ) {}

  /** True when the response consists of events. */
  get isStream(): boolean {
    return this.eventBuffer !== undefined;
  }

  /** Id of the last event sent to the caller in a resumable stream; empty before the first. */
  get lastEventId(): string {
    return this.resumable ? (this.eventBuffer?.lastEventId ?? '') : '';
  }

  /**
   * True when the response that has just ended was broken off: in the middle of an event, or before
   * the first one where only the end of the connection marks the end of the stream.
   */
  get isBrokenOff(): boolean {
    if (this.eventBuffer === undefined) return false;
    const isEmpty = this.isCloseDelimited && !this.eventBuffer.hasEvents;
    return this.eventBuffer.hasPartial || isEmpty;
  }

  /** Why the events received so far are unusable; undefined while they are usable. */
  get eventFault(): string | undefined {
    if (this.eventBuffer?.isEventTooLong === true) return 'event exceeds the size limit';
    return this.eventBuffer?.isOutOfOrder === true
      ? 'event does not continue the stream'
      : undefined;
  }

  /** Sends the response head; a resumed response keeps the head of an earlier attempt. */
  head(head: ReplicaResponseHead, closeConnection: boolean): void {
    const hasNoBody =
      this.method === 'HEAD' || head.status === NO_CONTENT || head.status === NOT_MODIFIED;
    const isCloseDelimited = head.isCloseDelimited && !hasNoBody;
    this.isCloseDelimited = isCloseDelimited;
    if (this.headSent) return;
    this.headSent = true;
    if (head.status === 200 && (this.resumable || head.isEventStream)) {
      this.eventBuffer = new SseEventBuffer(this.eventMemory, this.onEvicted);
    }
    // Whether the replica's body is complete can't be known. A final chunk would claim that it is,
    // so the response to the caller is delimited by the end of the connection, too.
    if (isCloseDelimited) this.res.useChunkedEncodingByDefault = false;
    // Another replica may finish a resumable response, at another length.
    const isLengthKept = !(this.resumable && this.isStream);
    const headers = isLengthKept ? [...head.headers] : withoutLength(head.headers);
    if (closeConnection || isCloseDelimited) headers.push('Connection', 'close');
    this.res.writeHead(head.status, headers);
    // Sent at once: the first event may take long, and the head tells the caller that a replica has
    // accepted the request. `flushHeaders` would encode it as UTF-8, not byte for byte.
    if (!hasNoBody) this.res.write(NO_BYTES);
  }

  /**
   * Sends body data to the caller.
   *
   * @returns False when the caller reads too slowly; `onDrain` is called once it has caught up.
   */
  data(chunk: Buffer, onDrain: () => void): boolean {
    const data = this.eventBuffer === undefined ? chunk : this.eventBuffer.push(chunk);
    if (data.length === 0) return true;
    const hasCapacity = this.res.write(data);
    if (!hasCapacity) this.res.once('drain', onDrain);
    return hasCapacity;
  }

  /** Prepares for another attempt; discards an event of which the last one sent only a part. */
  startAttempt(): void {
    this.eventBuffer?.startAttempt();
  }

  /** Frees the memory of an incomplete event. */
  dispose(): void {
    this.eventBuffer?.startAttempt();
  }

  end(): void {
    this.res.end();
  }

  /** Aborts a response whose head has been sent and that can't be completed. */
  cut(): void {
    // Where no length is stated, an orderly close would look like the regular end of the response.
    if (this.res.socket !== null) resetConnection(this.res.socket);
  }
}

/** @param headers - Alternating names and values. */
function withoutLength(headers: readonly string[]): string[] {
  return headers.filter((_, i) => headers[i - (i % 2)].toLowerCase() !== 'content-length');
}

/** Sends a response that the gateway itself generates. @internal */
export function sendLocalResponse(
  res: ServerResponse,
  status: number,
  reason: string,
  closeConnection: boolean,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (res.destroyed) return;
  const text = JSON.stringify({error: reason});
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    ...(closeConnection ? {connection: 'close'} : {}),
    ...headers,
  });
  res.end(text);
}
