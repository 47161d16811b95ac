/** Writes the answer of a plain service to its caller, byte for byte. */
import type {ServerResponse} from 'node:http';
import type {AnswerSink} from './answer_sink.ts';
import type {CallerFailure} from './caller_failure.ts';
import {sendFailure, whenGone} from './response_writer.ts';

/** @public */
export class ServiceSink implements AnswerSink {
  started = false;

  constructor(
    private readonly res: ServerResponse,
    private readonly requestId: string,
  ) {}

  head(status: number, headers: Readonly<Record<string, string>>, replayed: boolean): void {
    this.started = true;
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

  fail(failure: CallerFailure): void {
    if (!this.started) {
      sendFailure(this.res, failure, this.requestId);
      return;
    }
    // The body has no place for an error; cutting the connection keeps it from looking whole.
    this.res.destroy();
  }

  onDrain(listener: () => void): void {
    this.res.on('drain', listener);
  }

  onGone(listener: () => void): void {
    whenGone(this.res, listener);
  }
}
