/** HTTP server that the stand-ins share. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import type {HostPort} from '@jasminepost/core';

/** One call with its query, parameters and body. */
export interface JsonCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly query: URLSearchParams;
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly text: string;
}

/** Routes calls to handlers, which respond in JSON. */
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

/** Sends a JSON response, unless the response was already sent or its connection closed. */
export function sendJson(res: ServerResponse, status: number, body?: unknown): void {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(body === undefined ? '' : JSON.stringify(body));
}

/** Parses a JSON body; fields may be missing, and an empty body has none. */
export function parseJson<T>(text: string): Partial<T> {
  return JSON.parse(text === '' ? '{}' : text) as Partial<T>;
}
