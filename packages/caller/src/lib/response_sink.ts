/** Interface between HTTP and the dispatcher: a validated request and the sink for its response. */
import type {RequestClass, UpstreamKind} from '@jasminepost/core';
import type {ErrorResponse} from './error_response.ts';

/** Authenticated and validated request of a caller. @public */
export interface ValidatedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly class: RequestClass;
  readonly kind: UpstreamKind;
  /** Name of the model or service. */
  readonly target: string;
  readonly adapter: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly fingerprint: string;
  /** Hash of the beginning of the prompt, for prefix affinity; 0 for none. */
  readonly prefixHash: number;
  readonly deadlineMs: number;
  /** Empty for an idempotent request. */
  readonly idempotencyKey: string;
  /** True when an interrupted response can be resumed after the tokens already sent. */
  readonly resumable: boolean;
}

/** Receives one response; `end` or `fail` is the last call. @public */
export interface ResponseSink {
  /** True once any byte of the response has been sent. */
  readonly hasStarted: boolean;
  head(status: number, headers: Readonly<Record<string, string>>, replayed: boolean): void;
  /** Writes completion events; returns false when the caller applies backpressure. */
  events(events: readonly string[]): boolean;
  /** Writes raw bytes; returns false when the caller applies backpressure. */
  data(bytes: Uint8Array): boolean;
  end(usage: string): void;
  fail(failure: ErrorResponse): void;
  onDrain(listener: () => void): void;
  /** Registers a listener that is called when the caller disconnects before the end. */
  onDisconnect(listener: () => void): void;
}
