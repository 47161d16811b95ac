/** Small HTTP server that all stand-ins share. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import type {HostPort} from '@jasminepost/core';

/** One call with its parts read. */
export interface JsonCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly query: URLSearchParams;
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly text: string;
}

/** Routes calls and answers in JSON. */
export class JsonServer {
  readonly server: Server;
  private readonly router = findMyWay<findMyWay.HTTPVersion.V1>({
    defaultRoute: (_req, res) => sendJson(res, 404, {error: 'no such route'}),
  });

  constructor() {
    this.server = createServer((req, res) => {
      this.router.lookup(req, res);
    });
  }

  on(method: 'GET' | 'PUT' | 'POST', path: string, handler: (call: JsonCall) => void): void {
    this.router.on(method, path, (req, res, params) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const query = new URL(req.url ?? '', 'http://stand-in').searchParams;
        handler({req, res, query, params, text: Buffer.concat(chunks).toString('utf8')});
      });
    });
  }

  async listen(address: HostPort): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(address.port, address.host, resolve));
  }
}

/** Sends a JSON answer; a response that is already gone is ignored. */
export function sendJson(res: ServerResponse, status: number, body?: unknown): void {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(body === undefined ? '' : JSON.stringify(body));
}

/** Reads a field of a JSON body. */
export function parseJson<T>(text: string): Partial<T> {
  return JSON.parse(text === '' ? '{}' : text) as Partial<T>;
}
