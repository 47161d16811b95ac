/** Timeouts for a response whose length is not known in advance. */
import {PolledTimeout} from '@jasminepost/core';

/** Longest pause within a response body. */
const BODY_PAUSE_TIMEOUT_MS = 1000;
/** Ends a response that trickles in; the largest takes a few seconds over a slow link. */
const BODY_TIMEOUT_MS = 15_000;

/**
 * Aborts a call whose response does not begin in time, pauses for too long or takes too long in
 * total.
 *
 * @example
 * const timeout = new ResponseTimeout(1500, callerSignal);
 * const res = await request(url, {signal: timeout.signal});
 * timeout.onHeaders();
 * @internal
 */
export class ResponseTimeout {
  private readonly controller = new AbortController();
  private readonly startedAtMs = performance.now();
  private bytes = 0;
  private timer: PolledTimeout;
  private bodyTimer: PolledTimeout | undefined;
  private readonly onAbort = () => this.controller.abort(this.callerSignal?.reason);

  constructor(
    responseTimeoutMs: number,
    private readonly callerSignal: AbortSignal | undefined,
  ) {
    this.timer = this.abortAfter(
      responseTimeoutMs,
      `no response within ${Math.round(responseTimeoutMs)} ms`,
    );
    if (callerSignal?.aborted === true) this.onAbort();
    callerSignal?.addEventListener('abort', this.onAbort);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Bytes received so far and elapsed time, for error messages. */
  get progress(): string {
    return `${this.bytes} bytes after ${Math.round(performance.now() - this.startedAtMs)} ms`;
  }

  onHeaders(): void {
    this.timer.clear();
    this.timer = this.abortAfter(
      BODY_PAUSE_TIMEOUT_MS,
      `no further data within ${BODY_PAUSE_TIMEOUT_MS} ms`,
    );
    this.bodyTimer = this.abortAfter(
      BODY_TIMEOUT_MS,
      `response incomplete after ${BODY_TIMEOUT_MS} ms`,
    );
  }

  onBytes(bytes: number): void {
    this.bytes += bytes;
    this.timer.refresh();
  }

  dispose(): void {
    this.timer.clear();
    this.bodyTimer?.clear();
    this.callerSignal?.removeEventListener('abort', this.onAbort);
  }

  private abortAfter(delayMs: number, reason: string): PolledTimeout {
    return new PolledTimeout(delayMs, () => this.controller.abort(new Error(reason)));
  }
}
