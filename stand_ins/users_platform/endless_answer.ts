/** Bytes that a replica in trouble sends without end, until its caller closes the connection. */
import type {Socket} from 'node:net';

export type EndlessAnswer =
  | 'bytes that are no answer'
  | 'a status line'
  | 'a header'
  | 'headers'
  | 'interim answers'
  | 'a body in chunks'
  | 'a body without a length'
  | 'a chunk extension'
  | 'trailers'
  | 'an event';

const INTERVAL_MS = 1;

/** @param head - Status line and headers of a good answer, without the empty line. */
export function writeWithoutEnd(
  socket: Socket,
  kind: EndlessAnswer,
  head: string,
  bytesPerMs: number,
  onClosed: () => void = () => undefined,
): void {
  const filler = 'x'.repeat(bytesPerMs);
  const [start, piece] = partsOf(kind, head, filler);
  socket.on('error', () => socket.destroy());
  socket.write(start);
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer);
    else if (socket.writableLength < bytesPerMs) socket.write(piece);
  }, INTERVAL_MS);
  socket.on('close', () => {
    clearInterval(timer);
    onClosed();
  });
}

/** What comes first, and what comes again and again. */
function partsOf(kind: EndlessAnswer, head: string, filler: string): [string, string] {
  const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;
  const chunk = `${filler.length.toString(16)}\r\n${filler}\r\n`;
  const lines = filler.replaceAll('xxxxxxxx', 'x: xxx\r\n');
  switch (kind) {
    case 'bytes that are no answer':
      return [filler, filler];
    case 'a status line':
      return ['HTTP/1.1 200 ', filler];
    case 'a header':
      return [`${head}filler: `, filler];
    case 'headers':
      return [head, lines];
    case 'interim answers':
      return ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(4096)];
    case 'a body in chunks':
      return [chunked, chunk];
    case 'a body without a length':
      return [`${head}\r\n`, filler];
    case 'a chunk extension':
      return [`${chunked}5;x=`, filler];
    case 'trailers':
      return [`${chunked}0\r\n`, lines];
    case 'an event':
      return [`${chunked}`, chunk];
  }
}
