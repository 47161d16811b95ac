/** Callers that read their responses late. */
import {connect} from 'node:net';
import {sleep} from '@jasminepost/core';
import {wasResetAtEnd, watchForReset} from './reset_watch.ts';

export interface LateResponse {
  readonly text: string;
  /** True when the connection ended with an error. */
  readonly wasReset: boolean;
}

/**
 * Sends a request and reads nothing of its response for a time.
 *
 * @param head - Head of the request, which asks for the connection to be closed.
 */
export async function readLate(
  host: string,
  port: number,
  pauseMs: number,
  head: string,
): Promise<LateResponse> {
  const socket = connect({host, port});
  watchForReset(socket);
  socket.pause();
  socket.write(head, 'latin1');
  await sleep(pauseMs);
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let hasFailed = false;
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => (hasFailed = true));
    socket.on('close', () => {
      const text = Buffer.concat(chunks).toString('latin1');
      void wasResetAtEnd(socket).then(wasReset => resolve({text, wasReset: hasFailed || wasReset}));
    });
    socket.resume();
  });
}

/** Bytes of the body, without the framing of chunks. */
export function bodyLength(text: string): number {
  const body = text.slice(text.indexOf('\r\n\r\n') + 4);
  return body.match(/x/g)?.length ?? 0;
}

/** True when the caller can't tell the response from a complete one. */
export function looksComplete({text, wasReset}: LateResponse): boolean {
  if (wasReset) return false;
  const [head] = text.split('\r\n\r\n', 1);
  const length = /^content-length: (\d+)\r?$/im.exec(head)?.[1];
  if (length !== undefined) return text.length - head.length - 4 === Number(length);
  return !/^transfer-encoding: chunked\r?$/im.test(head) || text.endsWith('0\r\n\r\n');
}
