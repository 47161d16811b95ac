/** Readiness endpoint: tells the platform whether this gateway accepts new connections. */
import {createServer} from 'node:http';
import {listenOn, type Disposable, type HostPort} from '@jasminepost/core';

/**
 * Responds with 200 while `notReadyReason` is undefined, otherwise 503 with the reason.
 *
 * @example
 * const server = await serveReadiness(settings.readiness, () => reason);
 * @internal
 */
export async function serveReadiness(
  address: HostPort,
  notReadyReason: () => string | undefined,
): Promise<Disposable> {
  const server = createServer((_req, res) => {
    const reason = notReadyReason();
    res.writeHead(reason === undefined ? 200 : 503, {'content-type': 'text/plain'});
    res.end(reason ?? 'ready');
  });
  await listenOn(server, address);
  return {
    dispose: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
