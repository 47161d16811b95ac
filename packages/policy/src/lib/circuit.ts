/** Keeps new work away from a replica that keeps failing, and probes it from time to time. */

/** Failures in a row after which a replica gets no work for a while. @internal */
export const FAILURES_TO_OPEN = 5;
const OPEN_BASE_MS = 1000;
const OPEN_CAP_MS = 15_000;

/** Time without work after the given number of earlier ones. @internal */
export function openTimeMs(openings: number): number {
  return Math.min(OPEN_CAP_MS, OPEN_BASE_MS * 2 ** openings);
}

/** State of one replica as one entry sees it. @public */
export class Circuit {
  private failures = 0;
  private openings = 0;
  private openUntilMs = 0;

  /** True while the replica should get no work. After the wait one request may probe it. */
  isOpen(nowMs: number): boolean {
    return this.openUntilMs > nowMs;
  }

  /** Counts an attempt that the replica could not take or broke. */
  onFailure(nowMs: number): void {
    this.failures += 1;
    if (this.failures < FAILURES_TO_OPEN) return;
    this.openUntilMs = nowMs + openTimeMs(this.openings);
    this.openings += 1;
    // The next failure, that of the probe, opens it again at once.
    this.failures = FAILURES_TO_OPEN - 1;
  }

  onSuccess(): void {
    this.failures = 0;
    this.openings = 0;
  }
}
