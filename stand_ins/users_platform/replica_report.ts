/** Report of the replica stand-in about itself. */
import type {ServerResponse} from 'node:http';
import {sendJson} from '../json_server.ts';

interface ReportedState {
  readonly born: number;
  readonly models: unknown;
  readonly busy: boolean;
  readonly sequence: number;
  readonly loadingAdapters: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
}

/** @param bytesAfter - Bytes behind the report, in the same segment. */
export function sendReport(res: ServerResponse, state: ReportedState, bytesAfter: string): void {
  const report = {
    stage: 'unified',
    born: state.born,
    models: state.models,
    busy: state.busy,
    sequence: state.sequence,
    queueDepth: 0,
    activeRequests: 0,
    kvUsed: 0,
    kvTotal: 100_000,
    handles: 0,
    incoming: [...state.loadingAdapters],
    available: {inMemory: [], onDisk: [...state.onDisk]},
    runs: [],
  };
  if (bytesAfter === '') return sendJson(res, 200, report);
  const body = JSON.stringify(report);
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n`;
  res.socket?.write(head + body + bytesAfter);
}
