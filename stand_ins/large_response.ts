/** Server whose responses are larger than what a caller that reads late leaves room for. */
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {resetConnection} from '@jasminepost/core';

export type LargeFraming =
  'a length' | 'a length and close' | 'chunks and close' | 'the connection';
/** How the connection ends after the last byte. */
export type LargeEnding = 'a FIN' | 'a late FIN' | 'a reset';

/** By then a reader that is paused has read what it takes. */
const LATE_MS = 150;
const CHUNK_BYTES = 10_000;

const HEADERS: Readonly<Record<LargeFraming, (body: string) => readonly string[]>> = {
  'a length': body => [`content-length: ${body.length}`],
  'a length and close': body => [`content-length: ${body.length}`, 'connection: close'],
  'chunks and close': () => ['transfer-encoding: chunked', 'connection: close'],
  'the connection': () => ['connection: close'],
};

export class LargeServer {
  /** Requests that it has answered. */
  answered = 0;
  private readonly server: Server = createServer(socket => this.serve(socket));

  /** @param body - Body of the responses, except where a path ends with the length of its own. */
  constructor(
    readonly framing: LargeFraming,
    readonly ending: LargeEnding,
    readonly body: string,
  ) {}

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** @param port - 0 for any free one. */
  async listen(host: string, port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, host, resolve));
  }

  close(): void {
    this.server.close();
  }

  /** The registration record in the users' store of a replica that this server stands for. */
  registration(host: string): unknown {
    const address = `${host}:${this.port}`;
    return {service: 'orders', address, zone: 'zone-a', version: 'v1', slots: 64, state: 'ready'};
  }

  private serve(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    let received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const id = /^request-id: (.*)\r$/im.exec(received)?.[1] ?? '';
      const length = /^\S+ \S*\/(\d+) /.exec(received)?.[1];
      const body = length === undefined ? this.body : 'x'.repeat(Number(length));
      received = '';
      this.answered += 1;
      const own = [`request-id: ${id}`, 'response-signature: sig', 'content-type: text/plain'];
      const head = ['HTTP/1.1 200 OK', ...own, ...HEADERS[this.framing](body)];
      socket.write(`${head.join('\r\n')}\r\n\r\n${this.framed(body)}`, () => this.end(socket));
    });
  }

  private framed(body: string): string {
    if (this.framing !== 'chunks and close') return body;
    const chunks: string[] = [];
    for (let at = 0; at < body.length; at += CHUNK_BYTES) {
      const data = body.slice(at, at + CHUNK_BYTES);
      chunks.push(`${data.length.toString(16)}\r\n${data}\r\n`);
    }
    return `${chunks.join('')}0\r\n\r\n`;
  }

  private end(socket: Socket): void {
    if (this.ending === 'a FIN') socket.end();
    else if (this.ending === 'a late FIN') setTimeout(() => socket.end(), LATE_MS);
    else setTimeout(() => resetConnection(socket), LATE_MS);
  }
}
