/** Tells whether an apparently regular end of a caller's connection was a reset; see `ResetDetector`. */
import type {Socket} from 'node:net';

const resetResults = new WeakMap<Socket, Promise<boolean>>();
const watched = new WeakSet<Socket>();

export function watchForReset(socket: Socket): void {
  if (watched.has(socket)) return;
  watched.add(socket);
  socket.prependListener('end', () => {
    const wasReset = new Promise<boolean>(resolve => {
      socket.write('', error => resolve(error instanceof Error));
    });
    resetResults.set(socket, wasReset);
  });
}

export function wasResetAtEnd(socket: Socket): Promise<boolean> {
  return resetResults.get(socket) ?? Promise.resolve(false);
}
