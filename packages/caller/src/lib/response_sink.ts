/** What the dispatcher needs of a caller: the call, and where its answer goes. */
import type {RequestClass, UpstreamKind} from '@jasminepost/core';
import type {ErrorResponse} from './error_response.ts';

/** One request of a caller, checked. @public */
export interface ValidatedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly class: RequestClass;
  readonly kind: UpstreamKind;
  /** Model or service name. */
  readonly target: string;
  readonly adapter: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly fingerprint: string;
  /** Hash of the prompt's prefix; 0 for none. */
  readonly prefixHash: number;
  readonly deadlineMs: number;
  /** Empty when the request is idempotent. */
  readonly idempotencyKey: string;
  /** True when a cut answer can be continued from the tokens already sent. */
  readonly resumable: boolean;
}

/** Receives one answer; after `end` or `fail` nothing more. @public */
export interface ResponseSink {
  /** True once a byte of the answer has been sent. */
  readonly hasStarted: boolean;
  head(status: number, headers: Readonly<Record<string, string>>, replayed: boolean): void;
  /** Relays completion events; false when the caller reads too slowly. */
  events(events: readonly string[]): boolean;
  /** Relays raw bytes; false when the caller reads too slowly. */
  data(bytes: Uint8Array): boolean;
  end(usage: string): void;
  fail(failure: ErrorResponse): void;
  onDrain(listener: () => void): void;
  /** Called when the caller goes away before the end. */
  onDisconnect(listener: () => void): void;
}
