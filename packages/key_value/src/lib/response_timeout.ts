/** How long a call waits for an answer whose length is not known before. */

/** An answer that has begun may pause for this long. */
const BODY_PAUSE_TIMEOUT_MS = 1000;
/** Ends an answer that comes in dribs and drabs; the largest takes a few seconds on a small link. */
const BODY_TIMEOUT_MS = 15_000;

/**
 * Ends a call whose answer does not begin, stands still after that, or does not come to an end.
 *
 * @example
 * const patience = new AnswerPatience(1500, callerSignal);
 * const res = await request(url, {signal: patience.signal});
 * patience.onBegun();
 * @internal
 */
export class ResponseTimeout {
  private readonly controller = new AbortController();
  private readonly startedAtMs = performance.now();
  private bytes = 0;
  private timer: NodeJS.Timeout;
  private bodyTimer: NodeJS.Timeout | undefined;
  private readonly onAbort = () => this.controller.abort(this.callerSignal?.reason);

  constructor(
    responseTimeoutMs: number,
    private readonly callerSignal: AbortSignal | undefined,
  ) {
    this.timer = this.abortAfter(
      responseTimeoutMs,
      `no answer within ${Math.round(responseTimeoutMs)} ms`,
    );
    if (callerSignal?.aborted === true) this.onAbort();
    callerSignal?.addEventListener('abort', this.onAbort);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** How far the answer has come. */
  get progress(): string {
    return `${this.bytes} bytes after ${Math.round(performance.now() - this.startedAtMs)} ms`;
  }

  onHeaders(): void {
    clearTimeout(this.timer);
    this.timer = this.abortAfter(
      BODY_PAUSE_TIMEOUT_MS,
      `no byte within ${BODY_PAUSE_TIMEOUT_MS} ms`,
    );
    this.bodyTimer = this.abortAfter(BODY_TIMEOUT_MS, `no end within ${BODY_TIMEOUT_MS} ms`);
  }

  onBytes(bytes: number): void {
    this.bytes += bytes;
    this.timer.refresh();
  }

  dispose(): void {
    clearTimeout(this.timer);
    clearTimeout(this.bodyTimer);
    this.callerSignal?.removeEventListener('abort', this.onAbort);
  }

  private abortAfter(delayMs: number, reason: string): NodeJS.Timeout {
    return setTimeout(() => this.controller.abort(new Error(reason)), delayMs);
  }
}
