/** Memory that a gateway holds for its callers: what they send, and what they have not read. */
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {BodyMemory} from '@jasminepost/caller';
import {
  BufferBudget,
  GarbagePacer,
  resetConnection,
  type BudgetedBuffer,
  type CounterFamily,
  type Logger,
} from '@jasminepost/core';

/**
 * Share of the process's memory for bodies, incomplete events, and connections of callers. Of 210 MB,
 * an idle gateway takes 103 MB, and buffers that are not yet collected up to 50 MB.
 */
const MEMORY_SHARE = 0.125;
/** Share of the process's memory for incomplete events. */
const EVENT_SHARE = 0.1;
/** Heap that a parsed request takes before it is handled. */
const PARSED_REQUEST_BYTES = 4096;
/** A connection that has not taken a byte of its response for this time is reset. */
const MAX_UNREAD_MS = 30_000;
/** From here on, a connection that has taken nothing is reset first when memory is needed. */
const STALLED_MS = 2000;
/** A caller fills about 20 MB in this time over a link of 1 Gbit/s, within the rest of the memory. */
const SWEEP_INTERVAL_MS = 250;

/** What was ended to free memory. @internal */
export type MemoryEviction = 'body' | 'connection' | 'unread' | 'pipelined';

/** @internal */
export interface CallerMemoryDeps {
  readonly memoryBytes: number;
  readonly log: Logger;
  readonly evictions: CounterFamily<MemoryEviction>;
}

/** @internal */
export class CallerMemory implements BodyMemory {
  /** All memory for callers. */
  readonly budget: BufferBudget;
  /** Incomplete events of all streams; held in `budget`, too. */
  readonly events: BufferBudget;
  readonly garbage = new GarbagePacer();
  private readonly connections = new Set<CallerConnection>();

  constructor(private readonly deps: CallerMemoryDeps) {
    this.budget = new BufferBudget(deps.memoryBytes * MEMORY_SHARE);
    this.events = new BufferBudget(deps.memoryBytes * EVENT_SHARE, this.budget);
  }

  /**
   * Counts the connections of a server from now on.
   *
   * @param parsedOn - Number of parsed requests that wait on a connection.
   */
  watch(server: Server, parsedOn: (socket: Socket) => number): void {
    server.on('connection', (socket: Socket) => {
      const connection = new CallerConnection(socket, parsedOn, (kind, bytes) =>
        this.recordEviction(kind, {bytes, remote: socket.remoteAddress}),
      );
      this.connections.add(connection);
      socket.once('close', () => {
        this.connections.delete(connection);
        this.budget.update(connection);
      });
    });
    setInterval(() => this.sweep(), SWEEP_INTERVAL_MS).unref();
  }

  /** Holds the memory of a request's body until its response has ended. */
  holdUntilClosed(res: ServerResponse, bytes: number): void {
    if (bytes === 0) return;
    this.budget.hold(bytes);
    res.once('close', () => {
      this.budget.release(bytes);
      this.garbage.recordLongLived(bytes);
    });
  }

  /** Counts and logs something that was ended to free memory; `bytes` is what it took. */
  recordEviction(kind: MemoryEviction, logFields: Readonly<Record<string, unknown>>): void {
    const {evictions, log} = this.deps;
    const {usedBytes, maxBytes} = this.budget;
    evictions.increment(kind);
    log.info('ended to free memory', {kind, ...logFields, usedBytes, maxBytes});
  }

  private sweep(): void {
    const nowMs = performance.now();
    for (const connection of this.connections) {
      connection.observe(nowMs);
      this.budget.update(connection);
    }
  }
}

class CallerConnection implements BudgetedBuffer {
  bufferedBytes = 0;
  private unreadMs = 0;
  private lastProgressMs = performance.now();
  private takenBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly parsedOn: (socket: Socket) => number,
    private readonly onEvicted: (kind: MemoryEviction, bytes: number) => void,
  ) {
    socket.once('close', () => (this.bufferedBytes = 0));
  }

  get isStalled(): boolean {
    return this.unreadMs > STALLED_MS;
  }

  /** Updates its size; resets a connection that leaves a response unread for too long. */
  observe(nowMs: number): void {
    const {socket} = this;
    if (socket.destroyed) return;
    const takenBytes = socket.bytesWritten - socket.writableLength;
    if (takenBytes !== this.takenBytes || socket.writableLength === 0) this.lastProgressMs = nowMs;
    this.takenBytes = takenBytes;
    this.unreadMs = nowMs - this.lastProgressMs;
    this.bufferedBytes = socket.writableLength + this.parsedOn(socket) * PARSED_REQUEST_BYTES;
    if (this.unreadMs > MAX_UNREAD_MS) this.end('unread');
  }

  evict(): void {
    this.end('connection');
  }

  private end(kind: MemoryEviction): void {
    const {bufferedBytes} = this;
    this.bufferedBytes = 0;
    this.onEvicted(kind, bufferedBytes);
    resetConnection(this.socket);
  }
}
