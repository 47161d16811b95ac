/** Event streams of the replica stand-in, and what can go wrong with them. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sleep} from '@jasminepost/core';

/** The second group affects only streams that resume after an event. */
export type StreamFault =
  | 'none'
  | 'no length'
  | 'no length, at once'
  | 'no length, ends in an event'
  | 'chunks, ends in an event'
  | 'a shorter length, cut after an event'
  | 'resumes with status 500'
  | 'resumes with status 500, no body'
  | 'resumes with status 404'
  | 'resumes with a text'
  | 'resumes unsigned'
  | 'resumes at the first event'
  | 'resumes with events without ids';

const STREAM_EVENTS = 4;
/** Length of three events. */
const SHORT_LENGTH = '66';
const ERROR_TEXT = 'id: 3\ndata: internal error\n\n';
const EVENT_STREAM = {'content-type': 'text/event-stream'};

interface StreamOptions {
  readonly fault: StreamFault;
  /** True if the connection of a new stream ends in the middle of the third event. */
  readonly cutsEvent: boolean;
  /** Version of the software; the events of all but v1 name it. */
  readonly version: string;
  /** Interval between two events. */
  readonly eventMs: number;
  readonly pauseAfterFirstMs: number;
}

/** Writes the head of a stream that has neither a length nor chunks. */
export async function writeStreamHead(
  headers: Record<string, string>,
  res: ServerResponse,
): Promise<void> {
  writeUnframedHead(res, headers);
  res.flushHeaders();
  await sleep(1);
}

/** @param headers - Headers that every response of the replica has. */
export async function streamEvents(
  {fault, cutsEvent, eventMs, pauseAfterFirstMs, version}: StreamOptions,
  headers: Record<string, string>,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const lastEventId = Number(req.headers['last-event-id'] ?? 0);
  if (lastEventId > 0 && writeFaultyResume(fault, headers, res)) return;
  const isShort = fault === 'a shorter length, cut after an event' && lastEventId === 0;
  if (isShort) res.writeHead(200, {...headers, ...EVENT_STREAM, 'content-length': SHORT_LENGTH});
  else if (fault.startsWith('no length')) writeUnframedHead(res, headers);
  else res.writeHead(200, {...headers, ...EVENT_STREAM});
  const firstId = fault === 'resumes at the first event' ? 1 : lastEventId + 1;
  for (let id = firstId; id <= STREAM_EVENTS; id++) {
    if (res.destroyed) return;
    const idLine =
      fault === 'resumes with events without ids' && lastEventId > 0 ? '' : `id: ${id}\n`;
    const event = `${idLine}data: ${version === 'v1' ? '' : `${version} `}piece ${id}\n\n`;
    if (cutsEvent && lastEventId === 0 && id === 3) {
      res.write(event.slice(0, 8));
      setTimeout(() => req.socket.destroy(), 10);
      return;
    }
    if (isShort && id === 2) {
      req.socket.destroy();
      return;
    }
    if (fault.endsWith('ends in an event') && id === 3) {
      res.end(event.slice(0, 8));
      return;
    }
    res.write(event);
    if (fault !== 'no length, at once')
      await sleep(id === 1 ? eventMs + pauseAfterFirstMs : eventMs);
  }
  res.end();
}

/** @returns False when the fault does not affect the head of a resumed stream. */
function writeFaultyResume(
  fault: StreamFault,
  headers: Record<string, string>,
  res: ServerResponse,
): boolean {
  switch (fault) {
    case 'resumes with status 500':
      res.writeHead(500, headers).end(ERROR_TEXT);
      return true;
    case 'resumes with status 500, no body':
      res.writeHead(500, {...headers, 'content-length': '0'}).end();
      return true;
    case 'resumes with status 404':
      res.writeHead(404, headers).end(ERROR_TEXT);
      return true;
    case 'resumes with a text':
      res.writeHead(200, {...headers, 'content-type': 'text/plain'}).end(ERROR_TEXT);
      return true;
    case 'resumes unsigned': {
      const {'request-id': id} = headers;
      res.writeHead(200, {'request-id': id, ...EVENT_STREAM}).end(ERROR_TEXT);
      return true;
    }
    default:
      return false;
  }
}

function writeUnframedHead(res: ServerResponse, headers: Record<string, string>): void {
  res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {...headers, ...EVENT_STREAM, connection: 'close'});
}
