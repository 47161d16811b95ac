/** Measures one request's latency against its organisation's targets. */
import type {Clock} from '@jasminepost/core';

/** @internal */
export class LatencyTracker {
  private readonly startedMs: number;
  private firstTokenAtMs = Number.NaN;
  private lastTokenAtMs = Number.NaN;
  private tokens = 0;

  constructor(
    private readonly clock: Clock,
    private readonly targets: {readonly firstTokenMs: number; readonly betweenTokensMs: number},
  ) {
    this.startedMs = clock.monotonicMs();
  }

  onTokens(count: number): void {
    const nowMs = this.clock.monotonicMs();
    if (this.tokens === 0) this.firstTokenAtMs = nowMs;
    this.lastTokenAtMs = nowMs;
    this.tokens += count;
  }

  elapsedMs(): number {
    return this.clock.monotonicMs() - this.startedMs;
  }

  /** Time to the first token, or the time so far if there was none. */
  firstTokenMs(): number {
    return this.tokens === 0 ? this.elapsedMs() : this.firstTokenAtMs - this.startedMs;
  }

  /** Whether the time to the first token and the mean time between tokens met the targets. */
  metTargets(): boolean {
    const intervals = Math.max(1, this.tokens - 1);
    const meanIntervalMs =
      this.tokens < 2 ? 0 : (this.lastTokenAtMs - this.firstTokenAtMs) / intervals;
    return (
      this.firstTokenMs() <= this.targets.firstTokenMs &&
      meanIntervalMs <= this.targets.betweenTokensMs
    );
  }
}
