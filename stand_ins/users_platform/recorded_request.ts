/** A request that a replica stand-in has started to run. */
import type {IncomingMessage} from 'node:http';

export interface RecordedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly arrivedMs: number;
  /** True if the caller closed the connection before the end of the response. */
  abandoned: boolean;
}

/** Ids of all parts of the request's prompt but the last. */
export function sharedParts({headers}: RecordedRequest): string[] {
  const parts = String(headers['prompt-prefix'] ?? '').split(',');
  return parts.slice(0, -1).map(part => part.split(':')[0]);
}
