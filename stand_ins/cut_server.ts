/** Server that writes the first bytes of one response to each request and ends the connection. */
import {createServer, type AddressInfo, type Server} from 'node:net';
import {resetConnection} from '@jasminepost/core';

export type CutEnding = 'a FIN' | 'a FIN after a pause' | 'a reset';

export const CUT_ENDINGS: readonly CutEnding[] = ['a FIN', 'a FIN after a pause', 'a reset'];
const PAUSE_MS = 2;

/** One response in each framing. */
export function framedResponses(status: string, body: string): string[] {
  const chunks = `${body.length.toString(16)}\r\n${body}\r\n0\r\nx-sum: 7\r\n\r\n`;
  const withLength = `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  return [
    withLength,
    `HTTP/1.1 ${status}\r\ntransfer-encoding: chunked\r\n\r\n${chunks}`,
    `HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n${body}`,
    `HTTP/1.0 ${status}\r\n\r\n${body}`,
    `HTTP/1.1 103 Early Hints\r\n\r\n${withLength}`,
  ];
}

export class CutServer {
  /** Bytes of the response that are written. */
  bytes = '';
  ending: CutEnding = 'a FIN';
  private readonly server: Server = createServer(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      socket.write(this.bytes);
      if (this.ending === 'a FIN') socket.end();
      else if (this.ending === 'a reset') setTimeout(() => resetConnection(socket), PAUSE_MS);
      else setTimeout(() => socket.end(), PAUSE_MS);
    });
  });

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  async listen(host: string): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve));
  }

  close(): void {
    this.server.close();
  }
}
