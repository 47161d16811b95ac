/** Time source, injected wherever a decision depends on time. */

/** @public */
export interface Clock {
  /** Monotonic milliseconds; only differences have a meaning. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may step. */
  wallMs(): number;
}

/** The machine's clock. @public */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
