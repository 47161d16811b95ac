/** A caller's connection that a test writes to byte by byte. */
import {connect, type Socket} from 'node:net';

export class RawConnection {
  /** All that has been received, one character for each byte. */
  text = '';
  readonly closed: Promise<void>;
  private readonly socket: Socket;

  constructor(host: string, port: number) {
    this.socket = connect({host, port});
    this.socket.on('data', (chunk: Buffer) => (this.text += chunk.toString('latin1')));
    // The end of the connection is what tests look at, whatever caused it.
    this.socket.on('error', () => this.socket.destroy());
    this.closed = new Promise(resolve => this.socket.once('close', () => resolve()));
  }

  write(text: string): void {
    this.socket.write(text, 'latin1');
  }

  end(): void {
    this.socket.destroy();
  }

  /** Status of each response. */
  statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => Number(status));
  }
}
