/** Ends a TCP connection with a reset, which a peer cannot mistake for an orderly close. */
import type {Socket} from 'node:net';

/**
 * Sends a reset immediately. `resetAndDestroy` alone first closes the writing side in an orderly
 * way, which looks like the end of a response without a content length.
 *
 * @example
 * if (isTruncated && res.socket !== null) resetConnection(res.socket);
 * @public
 */
export function resetConnection(socket: Socket): void {
  socket.destroySoon = () => {
    socket.destroy();
  };
  socket.resetAndDestroy();
}
