/** Passes a replica's answer on to the caller, so that a cut answer looks cut. */
import type {ServerResponse} from 'node:http';
import {resetConnection} from '@jasminepost/core';
import type {ReplicaResponseHead} from '@jasminepost/platform';
import {SseEventBuffer} from './sse_event_buffer.ts';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** @internal */
export class ResponseRelay {
  /** True once the head has gone to the caller. */
  headSent = false;
  private eventBuffer: SseEventBuffer | undefined;

  /**
   * @param resumable - True when the answer may go on from another run.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly method: string,
    private readonly resumable: boolean,
  ) {}

  /** Last event that the caller has of a resumable stream; empty before the first. */
  get lastEventId(): string {
    return this.eventBuffer?.lastEventId ?? '';
  }

  /** True when the run ended inside an event. */
  get endsMidEvent(): boolean {
    return this.eventBuffer?.hasPartial === true;
  }

  /** True when the run sends an event without end. */
  get isEventTooLong(): boolean {
    return this.eventBuffer?.isEventTooLong === true;
  }

  /** A resumed answer goes on under the head that the caller already has. */
  head(head: ReplicaResponseHead, closeConnection: boolean): void {
    if (this.headSent) return;
    this.headSent = true;
    if (this.resumable && head.status === 200) this.eventBuffer = new SseEventBuffer();
    const hasNoBody =
      this.method === 'HEAD' || head.status === NO_CONTENT || head.status === NOT_MODIFIED;
    const unframed = head.isCloseDelimited && !hasNoBody;
    // Whether the replica's body is whole is not known, so the framing must not vouch for it.
    if (unframed) this.res.useChunkedEncodingByDefault = false;
    const headers = [...head.headers];
    if (closeConnection || unframed) headers.push('Connection', 'close');
    this.res.writeHead(head.status, headers);
    // The first event may be far off; the head says that the replica has taken the request.
    this.res.flushHeaders();
  }

  /** @returns False when the caller is behind; `onFlowing` is called once it has caught up. */
  data(chunk: Buffer, onDrain: () => void): boolean {
    const data = this.eventBuffer === undefined ? chunk : this.eventBuffer.push(chunk);
    if (data.length === 0) return true;
    const hasCapacity = this.res.write(data);
    if (!hasCapacity) this.res.once('drain', onDrain);
    return hasCapacity;
  }

  /** Forgets the event that a run did not finish. */
  discardPartial(): void {
    this.eventBuffer?.discardPartial();
  }

  end(): void {
    this.res.end();
  }

  /** Ends an answer that has begun and can't be finished. */
  cut(): void {
    // Without a length an orderly close would look like the end of the answer.
    if (this.res.socket !== null) resetConnection(this.res.socket);
  }
}

/** Answers a request without a replica. @internal */
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
