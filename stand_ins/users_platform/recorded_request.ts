/** A request that a replica stand-in has started to run. */
import type {IncomingMessage, ServerResponse} from 'node:http';

export interface RecordedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly arrivedMs: number;
  /** True if the caller closed the connection before the end of the response. */
  abandoned: boolean;
  /** Time of this, or of the end of the response. */
  closedMs?: number;
}

/** Records that the connection of its response was closed, or the response complete. */
export function noteClosed(request: RecordedRequest, res: ServerResponse): void {
  request.abandoned = !res.writableFinished;
  request.closedMs = performance.now();
}

/** Ids of all parts of the request's prompt but the last. */
export function sharedParts({headers}: RecordedRequest): string[] {
  const parts = String(headers['prompt-prefix'] ?? '').split(',');
  return parts.slice(0, -1).map(part => part.split(':')[0]);
}
