/** Responses of a faulty replica that never end until the caller closes the connection. */
import type {Socket} from 'node:net';

export type EndlessResponse =
  | 'bytes that are no answer'
  | 'a status line'
  | 'a header'
  | 'headers'
  | 'interim answers'
  | 'a body in chunks'
  | 'a body without a length'
  | 'a chunk extension'
  | 'trailers'
  | 'an event'
  | 'an event in small chunks';

/** Head and send rate of an endless response. */
export interface EndlessOptions {
  readonly status: string;
  /** Replace headers of the replica; an empty value omits the header. */
  readonly headers: Readonly<Record<string, string>>;
  readonly bytesPerMs: number;
}

export const DEFAULT_ENDLESS_OPTIONS: EndlessOptions = {
  status: '200 OK',
  headers: {},
  bytesPerMs: 128 * 1024,
};

const INTERVAL_MS = 1;
/** Small chunks that are written at once. */
const SMALL_CHUNKS = 8000;

/** Status line and headers of an endless response, without the empty line. */
export function endlessHead(
  ownHeaders: Readonly<Record<string, string>>,
  {status, headers}: EndlessOptions,
): string {
  const lines = Object.entries({...ownHeaders, ...headers}).map(([name, value]) =>
    value === '' ? '' : `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status}\r\n${lines.join('')}`;
}

/** @param head - Status line and headers of a valid response, without the empty line. */
export function writeEndless(
  socket: Socket,
  kind: EndlessResponse,
  head: string,
  bytesPerMs: number,
  onClosed: () => void = () => undefined,
): void {
  const padding = 'x'.repeat(bytesPerMs);
  const [start, repeated] = endlessResponseParts(kind, head, padding);
  socket.on('error', () => socket.destroy());
  socket.write(start);
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer);
    else if (socket.writableLength < bytesPerMs) socket.write(repeated);
  }, INTERVAL_MS);
  socket.on('close', () => {
    clearInterval(timer);
    onClosed();
  });
}

/** The start of the response, and the part that is repeated. */
function endlessResponseParts(
  kind: EndlessResponse,
  head: string,
  padding: string,
): [string, string] {
  const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;
  const chunk = `${padding.length.toString(16)}\r\n${padding}\r\n`;
  const headerLines = padding.replaceAll('xxxxxxxx', 'x: xxx\r\n');
  switch (kind) {
    case 'bytes that are no answer':
      return [padding, padding];
    case 'a status line':
      return ['HTTP/1.1 200 ', padding];
    case 'a header':
      return [`${head}filler: `, padding];
    case 'headers':
      return [head, headerLines];
    case 'interim answers':
      return ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(4096)];
    case 'a body in chunks':
      return [chunked, chunk];
    case 'a body without a length':
      return [`${head}\r\n`, padding];
    case 'a chunk extension':
      return [`${chunked}5;x=`, padding];
    case 'trailers':
      return [`${chunked}0\r\n`, headerLines];
    case 'an event':
      return [`${chunked}`, chunk];
    case 'an event in small chunks':
      return [chunked, '8\r\nxxxxxxxx\r\n'.repeat(SMALL_CHUNKS)];
  }
}
