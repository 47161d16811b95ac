/** Stops sending requests to a replica that keeps failing, and probes it from time to time. */

/** Consecutive failures after which a replica gets no requests for a while. @internal */
export const FAILURES_TO_OPEN_CIRCUIT = 5;
const BASE_OPEN_MS = 1000;
const MAX_OPEN_MS = 15_000;

/** Time without requests, which doubles with each previous opening. @internal */
export function openDurationMs(previousOpenings: number): number {
  return Math.min(MAX_OPEN_MS, BASE_OPEN_MS * 2 ** previousOpenings);
}

/** Circuit breaker of one entry for one replica. @public */
export class CircuitBreaker {
  private consecutiveFailures = 0;
  private consecutiveOpenings = 0;
  private openUntilMs = 0;

  /** True while the replica should get no requests. After that, one request may probe it. */
  isOpen(nowMs: number): boolean {
    return this.openUntilMs > nowMs;
  }

  /** Counts an attempt that the replica could not accept or did not complete. */
  onFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < FAILURES_TO_OPEN_CIRCUIT) return;
    this.openUntilMs = nowMs + openDurationMs(this.consecutiveOpenings);
    this.consecutiveOpenings += 1;
    // A failed probe opens the circuit again at once.
    this.consecutiveFailures = FAILURES_TO_OPEN_CIRCUIT - 1;
  }

  onSuccess(): void {
    this.consecutiveFailures = 0;
    this.consecutiveOpenings = 0;
  }
}
