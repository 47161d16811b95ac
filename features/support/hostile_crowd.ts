/** Callers that send as fast as the gateway reads, and read no response. */
import {connect, type Socket} from 'node:net';
import {resetConnection} from '@jasminepost/core';
import {HOST} from './users_fleet.ts';

export const MIB = 1_048_576;
/** Largest body that the gateway's configuration allows. */
export const BODY_BYTES = 4 * MIB;
const PIECE_BYTES = 65_536;
/** Time after which a connection that the gateway has ended is opened again. */
const RECONNECT_MS = 50;
const RESET_AFTER_MS = 400;

interface Input {
  readonly head: string;
  /** Sent again and again behind the head; empty for nothing. */
  readonly piece: string;
  /** Number of pieces; without end by default. */
  readonly pieces?: number;
  /** True resets the connection after a time and opens another. */
  readonly isReset?: boolean;
}

const requestHead = (method: string, ...fields: string[]) =>
  [`${method} /order/7 HTTP/1.1`, `host: ${HOST}`, ...fields, '', ''].join('\r\n');
const chunkedHead = requestHead('POST', 'transfer-encoding: chunked');
const chunk = `${PIECE_BYTES.toString(16)}\r\n${'x'.repeat(PIECE_BYTES)}\r\n`;
const filledTo = (text: string) => text.repeat(Math.ceil(PIECE_BYTES / text.length));
const xs = 'x'.repeat(PIECE_BYTES);

/** What a caller sends, by the name in the feature. */
const INPUTS: Readonly<Record<string, Input>> = {
  'announced bodies far over the limit': {
    head: requestHead('POST', `content-length: ${1024 * MIB}`),
    piece: xs,
  },
  'bodies far over the limit': {head: chunkedHead, piece: chunk},
  'pipelined requests': {head: '', piece: filledTo(requestHead('GET'))},
  'pipelined requests with bodies': {
    head: '',
    piece: filledTo(`${requestHead('POST', 'content-length: 600')}${'x'.repeat(600)}`),
  },
  'trailers without end': {
    head: `${chunkedHead}${chunk.repeat(32)}0\r\n`,
    piece: filledTo('x-trailer: some value\r\n'),
  },
  'bodies whose last byte never comes': {
    head: requestHead('POST', `content-length: ${BODY_BYTES}`),
    piece: xs,
    pieces: BODY_BYTES / PIECE_BYTES - 1,
  },
  'a body in chunks of one byte': {head: chunkedHead, piece: filledTo('1\r\nx\r\n')},
  'chunk extensions without end': {head: `${chunkedHead}1;`, piece: xs},
  'bodies that are reset before the end': {
    head: requestHead('POST', `content-length: ${BODY_BYTES}`),
    piece: xs,
    pieces: BODY_BYTES / PIECE_BYTES - 1,
    isReset: true,
  },
  'request heads that never end': {
    head: `GET /order/7 HTTP/1.1\r\nhost: ${HOST}\r\n${'x-head: some value\r\n'.repeat(3000)}`,
    piece: '',
  },
};

export class HostileCrowd {
  private readonly sockets = new Set<Socket>();
  private readonly input: Input;
  private readonly piece: Buffer;
  private isOver = false;

  constructor(
    private readonly host: string,
    private readonly port: number,
    what: string,
  ) {
    const input = INPUTS[what];
    if (input === undefined) throw new Error(`unknown input: ${what}`);
    this.input = input;
    this.piece = Buffer.from(input.piece, 'latin1');
  }

  start(callers: number): void {
    for (let i = 0; i < callers; i++) this.open();
  }

  /** Resets all connections. */
  end(): void {
    this.isOver = true;
    for (const socket of this.sockets) resetConnection(socket);
  }

  private open(): void {
    if (this.isOver) return;
    const {host, port, input} = this;
    const socket = connect({host, port});
    // Responses stay unread.
    socket.pause();
    this.sockets.add(socket);
    let left = input.piece === '' ? 0 : (input.pieces ?? Number.POSITIVE_INFINITY);
    const write = () => {
      while (left > 0 && !socket.destroyed) {
        left -= 1;
        if (!socket.write(this.piece)) return;
      }
    };
    socket.on('drain', write);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.open(), RECONNECT_MS);
    });
    socket.on('connect', () => {
      if (socket.write(input.head, 'latin1')) write();
      if (input.isReset === true) setTimeout(() => resetConnection(socket), RESET_AFTER_MS);
    });
  }
}
