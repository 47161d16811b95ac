/** Reads a request body up to a limit. */
import type {IncomingMessage} from 'node:http';

/** @internal */
export type BodyOutcome =
  | {readonly kind: 'read'; readonly bytes: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'caller_gone'};

/** @internal */
export function readBody(req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
  return new Promise(resolve => {
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
      resolve({kind: 'too_large'});
      return;
    }
    const parts: Buffer[] = [];
    let length = 0;
    req.on('data', (part: Buffer) => {
      length += part.length;
      if (length <= maxBytes) parts.push(part);
      else resolve({kind: 'too_large'});
    });
    req.on('end', () => resolve({kind: 'read', bytes: Buffer.concat(parts)}));
    req.on('error', () => resolve({kind: 'caller_gone'}));
    req.on('close', () => resolve({kind: 'caller_gone'}));
  });
}
