/** Reads request bodies up to a size limit. */
import type {IncomingMessage} from 'node:http';
import {
  BlockBuffer,
  type BufferBudget,
  type BudgetedBuffer,
  type GarbagePacer,
} from '@jasminepost/core';

/** @public */
export type BodyReadResult =
  | {readonly kind: 'read'; readonly bytes: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'caller_gone'}
  /** The memory was needed for others; only with a budget. */
  | {readonly kind: 'evicted'; readonly bufferedBytes: number};

/** A body over the limit is read and discarded up to this multiple of the limit. */
const MAX_DISCARD_FACTOR = 8;
/** A caller that still sends has at least one segment arrive in this time, also after losses. */
const STALLED_MS = 2000;

/** Memory in which bodies count while they are read. @public */
export interface BodyMemory {
  readonly budget: BufferBudget;
  readonly garbage: GarbagePacer;
}

/** Length that a request announces for its body, in bytes; 0 for none. @public */
export function announcedBytes(req: IncomingMessage): number {
  return Number(req.headers['content-length'] ?? 0);
}

class BodyReader implements BudgetedBuffer {
  private readonly buffer: BlockBuffer;
  private readonly reservedBytes: number;
  private length = 0;
  private lastDataMs = performance.now();
  private isDone = false;

  constructor(
    private readonly req: IncomingMessage,
    private readonly maxBytes: number,
    private readonly memory: BodyMemory | undefined,
    private readonly resolve: (result: BodyReadResult) => void,
  ) {
    const announced = announcedBytes(req);
    const isTooLarge = announced > maxBytes;
    this.reservedBytes = isTooLarge ? 0 : announced;
    this.buffer = new BlockBuffer(this.reservedBytes);
    if (isTooLarge) this.finish({kind: 'too_large'});
    else this.memory?.budget.update(this);
    req.on('data', (chunk: Buffer) => this.onData(chunk));
    req.on('end', () => this.onEnd());
    req.on('error', () => this.finish({kind: 'caller_gone'}));
    req.on('close', () => this.finish({kind: 'caller_gone'}));
  }

  /** The announced length counts from the start, so that what is begun can be finished. */
  get bufferedBytes(): number {
    return this.isDone ? 0 : Math.max(this.reservedBytes, this.buffer.capacity);
  }

  get isStalled(): boolean {
    return performance.now() - this.lastDataMs > STALLED_MS;
  }

  evict(): void {
    this.finish({kind: 'evicted', bufferedBytes: this.length});
  }

  private onData(chunk: Buffer): void {
    this.length += chunk.length;
    this.lastDataMs = performance.now();
    this.memory?.garbage.recordShortLived(chunk.length);
    if (this.length > this.maxBytes) this.finish({kind: 'too_large'});
    if (this.length > MAX_DISCARD_FACTOR * this.maxBytes) this.req.destroy();
    if (this.isDone) return;
    this.buffer.append(chunk);
    this.memory?.budget.update(this);
  }

  private onEnd(): void {
    if (this.isDone) return;
    this.finish({kind: 'read', bytes: this.buffer.take()});
  }

  private finish(result: BodyReadResult): void {
    if (this.isDone) return;
    this.isDone = true;
    // The bytes of a body that has been read stay in use.
    const unusedBytes = result.kind === 'read' ? 0 : this.buffer.capacity;
    this.buffer.clear();
    this.memory?.budget.update(this);
    this.memory?.garbage.recordLongLived(unusedBytes);
    this.resolve(result);
  }
}

/**
 * Reads a body. A body over the limit is still consumed from the socket: closing a connection
 * with unread bytes resets it, and the caller could lose the error response.
 *
 * @param memory - Memory in which the body counts while it is read; unlimited by default.
 * @example
 * const body = await readBody(req, 4 * 1024 * 1024, memory);
 * if (body.kind === 'read') run(body.bytes);
 * @public
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  memory?: BodyMemory,
): Promise<BodyReadResult> {
  return new Promise(resolve => {
    new BodyReader(req, maxBytes, memory, resolve);
  });
}
