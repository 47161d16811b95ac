/** Handles the requests of each connection one after the other. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {resetConnection} from '@jasminepost/core';

/** Requests ahead on a connection from which on no more are read. */
const PAUSE_REQUESTS = 16;
/**
 * Requests ahead for which a connection is closed: those in one read of 64 KiB are parsed in any
 * case, up to 2,500 requests of about 4 KB of heap each. Ordinary callers send a few ahead.
 */
const MAX_REQUESTS = 128;

interface PendingRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly arrivedMs: number;
}

interface Connection {
  current: ServerResponse;
  readonly pending: PendingRequest[];
}

/** @public */
export interface RequestSequenceEvents {
  /** @param arrivedMs - Monotonic time at which the head had arrived. */
  onRequest(req: IncomingMessage, res: ServerResponse, arrivedMs: number): void;
  /** Called when another request follows on the connection of a response. */
  onFollowed(current: ServerResponse): void;
  /** Called when a connection is closed because of too many requests ahead. */
  onTooManyAhead(requests: number): void;
}

/**
 * A response may close its connection. A request that has arrived behind it (pipelining) would
 * then have run without an answer, so it is not handled before the response has ended.
 *
 * @example
 * const sequence = new RequestSequence({onRequest, onFollowed, onTooManyAhead});
 * const server = createServer((req, res) => sequence.accept(req, res));
 * @public
 */
export class RequestSequence {
  /** Number of requests that wait for an earlier one on their connection. */
  waiting = 0;
  private readonly connections = new Map<Socket, Connection>();

  constructor(private readonly events: RequestSequenceEvents) {}

  accept(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    // The parser still delivers the requests that were read together with the last one.
    if (socket.destroyed) return;
    const arrivedMs = performance.now();
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.pending.push({req, res, arrivedMs});
      this.waiting += 1;
      this.events.onFollowed(connection.current);
      this.limitAhead(socket, connection.pending.length);
      return;
    }
    this.connections.set(socket, {current: res, pending: []});
    this.handle({req, res, arrivedMs});
  }

  /** Number of requests whose response is not written completely; not those that wait. */
  get unwritten(): number {
    return this.connections.size;
  }

  /**
   * Lets the server close idle connections only once their last response is written. Node.js closes
   * them as soon as it has all of the response.
   */
  protectUnwritten(server: Server): void {
    const closeIdle = server.closeIdleConnections.bind(server);
    server.closeIdleConnections = () => {
      const sockets = [...this.connections.keys()];
      for (const socket of sockets) socket.destroy = () => socket;
      closeIdle();
      for (const socket of sockets) delete (socket as Partial<Socket>).destroy;
    };
  }

  /** Resets the connections of responses that are not written, which makes them visibly incomplete. */
  cutUnwritten(): void {
    for (const socket of this.connections.keys()) resetConnection(socket);
  }

  /** Number of requests that wait on a connection. */
  waitingOn(socket: Socket): number {
    return this.connections.get(socket)?.pending.length ?? 0;
  }

  /** True when another request waits on the connection of the request. */
  isFollowed({socket}: IncomingMessage): boolean {
    return this.waitingOn(socket) > 0;
  }

  private handle({req, res, arrivedMs}: PendingRequest): void {
    res.once('close', () => this.handleNext(req.socket));
    this.events.onRequest(req, res, arrivedMs);
  }

  private handleNext(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    if (socket.destroyed || socket.writableEnded) {
      this.waiting -= connection.pending.length;
      this.connections.delete(socket);
      return;
    }
    const next = connection.pending.shift();
    if (next === undefined) {
      this.connections.delete(socket);
      return;
    }
    this.waiting -= 1;
    if (connection.pending.length === PAUSE_REQUESTS - 1) socket.resume();
    connection.current = next.res;
    this.handle(next);
  }

  private limitAhead(socket: Socket, requests: number): void {
    if (requests >= PAUSE_REQUESTS) socket.pause();
    if (requests <= MAX_REQUESTS) return;
    this.events.onTooManyAhead(requests);
    socket.destroy();
  }
}
