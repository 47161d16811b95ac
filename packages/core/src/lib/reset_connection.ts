/** Ends a TCP connection so that its end can't be taken for an orderly one. */
import type {Socket} from 'node:net';

/**
 * Sends a reset at once. `resetAndDestroy` alone closes the writing side in good order first,
 * which looks like the end of an answer that has no length.
 *
 * @example
 * if (answerIsCut && res.socket !== null) resetNow(res.socket);
 * @public
 */
export function resetConnection(socket: Socket): void {
  socket.destroySoon = () => {
    socket.destroy();
  };
  socket.resetAndDestroy();
}
