/** Writes the response of a plain service to its caller, with the body unchanged. */
import type {ServerResponse} from 'node:http';
import {resetConnection} from '@jasminepost/core';
import type {ResponseSink} from './response_sink.ts';
import type {ErrorResponse} from './error_response.ts';
import {sendErrorResponse, onCallerDisconnect} from './response_writer.ts';

/** @public */
export class ServiceSink implements ResponseSink {
  hasStarted = false;

  constructor(
    private readonly res: ServerResponse,
    private readonly requestId: string,
  ) {}

  head(status: number, headers: Readonly<Record<string, string>>, replayed: boolean): void {
    this.hasStarted = true;
    // A final chunk would claim that the body is complete, which isn't known.
    if (headers['connection'] === 'close') this.res.useChunkedEncodingByDefault = false;
    this.res.writeHead(status, {
      ...headers,
      'x-request-id': this.requestId,
      'x-jasminepost-verdict': 'completed',
      ...(replayed ? {'x-jasminepost-replayed': 'true'} : {}),
    });
    this.res.flushHeaders();
  }

  events(): boolean {
    return true;
  }

  data(bytes: Uint8Array): boolean {
    return this.res.write(bytes);
  }

  end(): void {
    this.res.end();
  }

  fail(failure: ErrorResponse): void {
    if (!this.hasStarted) {
      sendErrorResponse(this.res, failure, this.requestId);
      return;
    }
    // The body has no room for an error. Where no length is stated, an orderly close would look like
    // the regular end of the response.
    if (this.res.socket !== null) resetConnection(this.res.socket);
  }

  onDrain(listener: () => void): void {
    this.res.on('drain', listener);
  }

  onDisconnect(listener: () => void): void {
    onCallerDisconnect(this.res, listener);
  }
}
