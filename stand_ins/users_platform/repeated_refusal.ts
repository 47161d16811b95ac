/** A replica stand-in's fault: it writes an earlier refusal again on a kept connection. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export type RepeatedRefusalKind = 'with its id' | 'without an id' | 'with a pause';

/** Refuses the first request of each connection, and repeats that before the second response. */
export class RepeatedRefusal {
  private readonly refusals = new WeakMap<Socket, string>();

  constructor(private readonly kind: RepeatedRefusalKind) {}

  /** @returns True when it has refused the request; the request must not run then. */
  refuseOrRepeat(req: IncomingMessage, res: ServerResponse): boolean {
    const refusal = this.refusals.get(req.socket);
    if (refusal !== undefined) {
      req.socket.write(refusal);
      return false;
    }
    const id = String(req.headers['request-id']);
    this.refusals.set(req.socket, this.encode(id));
    res.writeHead(503, {'request-id': id, 'not-executed': '1', 'content-length': '0'}).end();
    return true;
  }

  private encode(id: string): string {
    const idLine = this.kind === 'without an id' ? '' : `request-id: ${id}\r\n`;
    const pauseLine = this.kind === 'with a pause' ? 'retry-after: 5\r\n' : '';
    const head = 'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n';
    return `${head}${idLine}${pauseLine}\r\n`;
  }
}
