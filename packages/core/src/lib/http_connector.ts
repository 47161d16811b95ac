/** Connections for undici on which a paused response keeps its end. */
import {Socket} from 'node:net';
import {buildConnector} from 'undici';
import {errorMessage, UpstreamError} from './errors.ts';

/**
 * Opens connections like undici's own connector. Every dispatcher must use it: undici handles the
 * end or reset of a connection with an assertion that fails while the response on it is paused.
 *
 * @example
 * const agent = new Agent({connect: httpConnector({timeout: 1000})});
 * @public
 */
export function httpConnector(options: buildConnector.BuildOptions): buildConnector.connector {
  return withDeferredEnd(buildConnector(options));
}

/** Like `httpConnector`, for connections that are opened in another way. @public */
export function withDeferredEnd(connect: buildConnector.connector): buildConnector.connector {
  return (target, callback) =>
    connect(target, (...result: Parameters<buildConnector.Callback>) => {
      const socket: unknown = result[1];
      // A failed connection attempt has no socket.
      if (socket instanceof Socket) {
        deferEnd(socket);
        renameReset(socket);
      }
      callback(...result);
    });
}

/**
 * Emits 'end' only once the reader has taken all data and reads again. Node.js also emits it when the
 * last data is read, and by itself when the end arrives at an empty buffer.
 */
function deferEnd(socket: Socket): void {
  let hasEnded = false;
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket) as (size?: number) => unknown;
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    hasEnded ||= chunk === null;
    return push(chunk, encoding);
  };
  socket.read = (size?: number): unknown => {
    if (!hasEnded) return read(size);
    // The stream reads itself here; its reader may be paused.
    if (size === 0) {
      socket.emit('readable');
      return null;
    }
    // A read of exactly what there is does not emit 'end'.
    return read(size ?? (socket.readableLength || undefined));
  };
}

/** Replaces the error of a reset, which undici takes for a possible end of the response. */
function renameReset(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: Error) => {
    const isReset = (error as {code?: unknown} | undefined)?.code === 'ECONNRESET';
    return destroy(isReset ? new UpstreamError('connection_reset', errorMessage(error)) : error);
  };
}
