/** Starts a server and waits until it listens. */
import type {Server} from 'node:net';
import type {HostPort} from './settings.ts';

/**
 * @param backlog - Limit of connections not yet accepted; the system's default when omitted.
 * @throws The server's error, such as an address in use.
 * @example
 * await listenOn(createServer(handle), {host: '127.0.0.1', port: 8080});
 * @public
 */
export async function listenOn(server: Server, address: HostPort, backlog?: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: address.host, port: address.port, backlog}, resolve);
  });
}
