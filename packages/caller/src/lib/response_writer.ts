/** Error responses and disconnect detection, shared by all sinks. */
import type {ServerResponse} from 'node:http';
import type {ErrorResponse} from './error_response.ts';

/** JSON body of an error response. @internal */
export function errorResponseBody(errorResponse: ErrorResponse, requestId: string): string {
  return JSON.stringify({
    error: {
      message: errorResponse.message,
      type: errorResponse.status < 500 ? 'invalid_request_error' : 'server_error',
      code: errorResponse.code,
      verdict: errorResponse.verdict,
      request_id: requestId,
      ...(errorResponse.retryAfterMs === undefined
        ? {}
        : {retry_after_ms: errorResponse.retryAfterMs}),
    },
  });
}

/** Sends an error response, unless a response has already started. @internal */
export function sendErrorResponse(
  res: ServerResponse,
  errorResponse: ErrorResponse,
  requestId: string,
): void {
  if (res.destroyed || res.headersSent) return;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-jasminepost-verdict': errorResponse.verdict,
  };
  if (errorResponse.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(errorResponse.retryAfterMs / 1000)));
  }
  res.writeHead(errorResponse.status, headers);
  res.end(errorResponseBody(errorResponse, requestId));
}

/** Calls `listener` when the caller disconnects before the response has ended. @public */
export function onCallerDisconnect(res: ServerResponse, listener: () => void): void {
  res.on('close', () => {
    if (!res.writableFinished) listener();
  });
}
