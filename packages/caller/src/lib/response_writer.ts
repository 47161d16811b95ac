/** Parts that every answer shares: headers, failures, drain and departure of the caller. */
import type {ServerResponse} from 'node:http';
import type {CallerFailure} from './caller_failure.ts';

/** JSON body of a failure. @internal */
export function failureBody(failure: CallerFailure, requestId: string): string {
  return JSON.stringify({
    error: {
      message: failure.message,
      type: failure.status < 500 ? 'invalid_request_error' : 'server_error',
      code: failure.code,
      verdict: failure.verdict,
      request_id: requestId,
      ...(failure.retryAfterMs === undefined ? {} : {retry_after_ms: failure.retryAfterMs}),
    },
  });
}

/** Sends a failure before any byte of an answer. @internal */
export function sendFailure(res: ServerResponse, failure: CallerFailure, requestId: string): void {
  if (res.destroyed || res.headersSent) return;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-jasminepost-verdict': failure.verdict,
  };
  if (failure.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000)));
  }
  res.writeHead(failure.status, headers);
  res.end(failureBody(failure, requestId));
}

/** Calls `listener` when the caller goes away before the answer has ended. @public */
export function whenGone(res: ServerResponse, listener: () => void): void {
  res.on('close', () => {
    if (!res.writableFinished) listener();
  });
}
