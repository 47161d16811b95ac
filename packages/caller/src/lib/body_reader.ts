/** Reads request bodies up to a size limit. */
import type {IncomingMessage} from 'node:http';

/** @public */
export type BodyReadResult =
  | {readonly kind: 'read'; readonly bytes: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'caller_gone'};

/** A body over the limit is read and discarded up to this multiple of the limit. */
const MAX_DISCARD_FACTOR = 8;

/**
 * Reads a body. A body over the limit is still consumed from the socket: closing a connection
 * with unread bytes resets it, and the caller could lose the error response.
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
