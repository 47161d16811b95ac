/** Time source, injected wherever behaviour depends on time. */

/** @public */
export interface Clock {
  /** Monotonic milliseconds; only differences are meaningful. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump when the system clock is adjusted. */
  wallMs(): number;
}

/** @public */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
