/** Reads a request body up to a limit. */
import type {IncomingMessage} from 'node:http';

/** @public */
export type BodyReadResult =
  | {readonly kind: 'read'; readonly bytes: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'caller_gone'};

/** The rest of a body over the limit is read and dropped up to this many times the limit. */
const MAX_DISCARD_FACTOR = 8;

/**
 * Reads a body. One over the limit is still taken from the socket, since closing a connection
 * with unread bytes could destroy the refusal before the caller has read it.
 *
 * @public
 */
export function readBody(req: IncomingMessage, maxBytes: number): Promise<BodyReadResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) resolve({kind: 'too_large'});
    req.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      resolve({kind: 'too_large'});
      if (length > MAX_DISCARD_FACTOR * maxBytes) req.destroy();
    });
    req.on('end', () => resolve({kind: 'read', bytes: Buffer.concat(chunks)}));
    req.on('error', () => resolve({kind: 'caller_gone'}));
    req.on('close', () => resolve({kind: 'caller_gone'}));
  });
}
