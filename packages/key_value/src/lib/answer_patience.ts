/** How long a call waits for an answer whose length is not known before. */

/** An answer that has begun may pause for this long. */
const ANSWER_PAUSE_MS = 1000;
/** Ends an answer that comes in dribs and drabs; the largest takes a few seconds on a small link. */
const WHOLE_ANSWER_MS = 15_000;

/**
 * Ends a call whose answer does not begin, stands still after that, or does not come to an end.
 *
 * @example
 * const patience = new AnswerPatience(1500, callerSignal);
 * const res = await request(url, {signal: patience.signal});
 * patience.onBegun();
 * @internal
 */
export class AnswerPatience {
  private readonly abort = new AbortController();
  private readonly beganMs = performance.now();
  private bytes = 0;
  private timer: NodeJS.Timeout;
  private wholeTimer: NodeJS.Timeout | undefined;
  private readonly onAbort = () => this.abort.abort(this.caller?.reason);

  constructor(
    startMs: number,
    private readonly caller: AbortSignal | undefined,
  ) {
    this.timer = this.expireAfter(startMs, `no answer within ${Math.round(startMs)} ms`);
    if (caller?.aborted === true) this.onAbort();
    caller?.addEventListener('abort', this.onAbort);
  }

  get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** How far the answer has come. */
  get progress(): string {
    return `${this.bytes} bytes after ${Math.round(performance.now() - this.beganMs)} ms`;
  }

  onBegun(): void {
    clearTimeout(this.timer);
    this.timer = this.expireAfter(ANSWER_PAUSE_MS, `no byte within ${ANSWER_PAUSE_MS} ms`);
    this.wholeTimer = this.expireAfter(WHOLE_ANSWER_MS, `no end within ${WHOLE_ANSWER_MS} ms`);
  }

  onBytes(bytes: number): void {
    this.bytes += bytes;
    this.timer.refresh();
  }

  dispose(): void {
    clearTimeout(this.timer);
    clearTimeout(this.wholeTimer);
    this.caller?.removeEventListener('abort', this.onAbort);
  }

  private expireAfter(delayMs: number, reason: string): NodeJS.Timeout {
    return setTimeout(() => this.abort.abort(new Error(reason)), delayMs);
  }
}
