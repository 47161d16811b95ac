/** Replica of a service that records the heads of its requests byte for byte. */
import type {Socket} from 'node:net';
import {RawReplica} from './raw_replica.ts';

export class HeadReplica extends RawReplica {
  /** Head of each request, one character for each byte, by request id. */
  readonly heads = new Map<string, string>();
  /** Header lines that each response has besides its own. */
  responseLines: readonly string[] = [];

  protected serve(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    let received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      const end = received.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = received.slice(0, end);
      received = '';
      const id = /^request-id: (.*)$/im.exec(head)?.[1] ?? '';
      this.heads.set(id, head);
      const own = [`request-id: ${id}`, 'response-signature: sig', 'content-length: 0'];
      const lines = ['HTTP/1.1 200 OK', ...this.responseLines, ...own];
      socket.write(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
    });
  }
}
