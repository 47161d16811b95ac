/** Stand-in for a replica in trouble, whose responses have a status that no response may have. */
import type {Socket} from 'node:net';
import {RawReplica} from './raw_replica.ts';

const REQUEST_ID = /^request-id: (.*)\r$/im;
const IS_REPORT = /^GET \/-\/report /;
const BODY = 'id: 1\ndata: text\n\n';

export interface OddStatusOptions {
  /** Three characters of the status line. */
  readonly status: string;
  readonly hasBody: boolean;
  readonly isSigned: boolean;
  readonly isStream: boolean;
}

export class OddStatusReplica extends RawReplica {
  /** Responses with the odd status that it has written. */
  oddResponses = 0;
  /** Requests on a connection that get a regular response before one with the odd status. */
  regularFirst = 0;

  constructor(private readonly options: OddStatusOptions) {
    super('i-odd-status');
  }

  protected serve(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    let received = '';
    let answered = 0;
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const id = REQUEST_ID.exec(received)?.[1] ?? '';
      if (IS_REPORT.test(received)) {
        socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${this.id.length}\r\n\r\n${this.id}`);
        return;
      }
      received = '';
      const isOdd = answered >= this.regularFirst;
      answered += 1;
      if (isOdd) this.oddResponses += 1;
      socket.write(this.response(id, isOdd));
    });
  }

  private response(id: string, isOdd: boolean): string {
    const {status, hasBody, isSigned, isStream} = this.options;
    const body = hasBody || !isOdd ? BODY : '';
    const headers = [
      `HTTP/1.1 ${isOdd ? status : '200'} Odd`,
      `request-id: ${id}`,
      `content-length: ${body.length}`,
      ...(isStream ? ['content-type: text/event-stream'] : []),
      ...(isSigned || !isOdd ? ['response-signature: sig'] : []),
    ];
    return `${headers.join('\r\n')}\r\n\r\n${body}`;
  }
}
