/** Replica of a service that stops writing its response at a given byte and ends the connection. */
import type {Socket} from 'node:net';
import {resetConnection} from '@jasminepost/core';
import {RawReplica} from './raw_replica.ts';

export type ResponseForm =
  | 'a length'
  | 'chunks'
  | 'chunks and close'
  | 'trailers'
  | 'trailers and close'
  | 'the connection'
  | 'HTTP/1.0 and a length'
  | 'HTTP/1.0 and the connection'
  | 'an identity coding'
  | 'a gzip coding'
  | 'an empty coding'
  | 'one interim head'
  | 'two interim heads'
  | 'connection options'
  | 'an empty body'
  | 'status 204'
  | 'status 304'
  | 'status 304 with a length';

export type CutEnding = 'a FIN' | 'a FIN after a pause' | 'a reset';

export const CUT_ENDINGS: readonly CutEnding[] = ['a FIN', 'a FIN after a pause', 'a reset'];
export const CUT_BODY = 'seven oysters';

/** Time for the bytes to be read before the connection ends. */
const PAUSE_MS = 12;
const LENGTH = `content-length: ${CUT_BODY.length}`;
const CHUNKS = `5\r\n${CUT_BODY.slice(0, 5)}\r\n8;x=y\r\n${CUT_BODY.slice(5)}\r\n0\r\n`;
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';

interface FormParts {
  readonly before?: string;
  readonly statusLine?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
}

const FORMS: Readonly<Record<ResponseForm, FormParts>> = {
  'a length': {headers: [LENGTH], body: CUT_BODY},
  chunks: {headers: ['transfer-encoding: chunked'], body: `${CHUNKS}\r\n`},
  'chunks and close': {
    headers: ['transfer-encoding: chunked', 'connection: close'],
    body: `${CHUNKS}\r\n`,
  },
  trailers: {headers: ['transfer-encoding: chunked'], body: `${CHUNKS}x-sum: 7\r\n\r\n`},
  'trailers and close': {
    headers: ['transfer-encoding: chunked', 'connection: close'],
    body: `${CHUNKS}x-sum: 7\r\n\r\n`,
  },
  'the connection': {headers: ['connection: close'], body: CUT_BODY},
  'HTTP/1.0 and a length': {statusLine: 'HTTP/1.0 200 OK', headers: [LENGTH], body: CUT_BODY},
  'HTTP/1.0 and the connection': {statusLine: 'HTTP/1.0 200 OK', body: CUT_BODY},
  'an identity coding': {headers: ['transfer-encoding: identity'], body: CUT_BODY},
  'a gzip coding': {headers: ['transfer-encoding: chunked, gzip'], body: CUT_BODY},
  'an empty coding': {headers: ['transfer-encoding:'], body: CUT_BODY},
  'one interim head': {before: INTERIM, headers: [LENGTH], body: CUT_BODY},
  'two interim heads': {
    before: `HTTP/1.1 102 Processing\r\n\r\n${INTERIM}`,
    headers: [LENGTH],
    body: CUT_BODY,
  },
  'connection options': {
    headers: ['connection: x-hop, content-length', 'x-hop: 1', LENGTH],
    body: CUT_BODY,
  },
  'an empty body': {headers: ['content-length: 0']},
  'status 204': {statusLine: 'HTTP/1.1 204 No Content'},
  'status 304': {statusLine: 'HTTP/1.1 304 Not Modified'},
  'status 304 with a length': {statusLine: 'HTTP/1.1 304 Not Modified', headers: [LENGTH]},
};

/** Splits the path of a request: form of the response, position of the cut, ending. */
const REQUEST = /^(\S+) \/\w+\/([^/ ]*)\/(\d+)\/(\S*) HTTP\/1\.1\r\n/;
const REQUEST_ID = /^request-id: (.*)\r$/im;

/** Path of a request whose response is cut after some bytes. */
export function cutPath(prefix: string, form: ResponseForm, at: number, ending: CutEnding): string {
  return `/${prefix}/${encodeURIComponent(form)}/${at}/${encodeURIComponent(ending)}`;
}

/** All bytes of a response in the given form. */
export function responseBytes(method: string, form: ResponseForm, id: string): string {
  const {before = '', statusLine = 'HTTP/1.1 200 OK', headers = [], body = ''} = FORMS[form];
  const own = [`request-id: ${id}`, 'response-signature: sig'];
  return `${before}${[statusLine, ...own, ...headers].join('\r\n')}\r\n\r\n${method === 'HEAD' ? '' : body}`;
}

export class CutReplica extends RawReplica {
  /** Requests that it has answered, by path. */
  readonly paths = new Set<string>();

  protected serve(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    let received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const [, method, form, at, ending] = REQUEST.exec(received) ?? [];
      const id = REQUEST_ID.exec(received)?.[1] ?? '';
      if (method === undefined) {
        // A health check.
        socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${this.id.length}\r\n\r\n${this.id}`);
        return;
      }
      received = '';
      this.paths.add(`/${form}/${at}/${ending}`);
      const bytes = responseBytes(method, decodeURIComponent(form) as ResponseForm, id);
      writeCut(socket, bytes.slice(0, Number(at)), decodeURIComponent(ending) as CutEnding);
    });
  }
}

/** Writes the first bytes of a response and ends the connection. */
function writeCut(socket: Socket, bytes: string, ending: CutEnding): void {
  socket.on('error', () => socket.destroy());
  socket.write(bytes);
  if (ending === 'a FIN') socket.end();
  else if (ending === 'a reset') setTimeout(() => resetConnection(socket), PAUSE_MS);
  else setTimeout(() => socket.end(), PAUSE_MS);
}
