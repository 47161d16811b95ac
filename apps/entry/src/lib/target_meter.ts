/** Measures one request against its organisation's targets. */
import type {Clock} from '@jasminepost/core';

/** @internal */
export class TargetMeter {
  private readonly startedMs: number;
  private firstMs = Number.NaN;
  private lastMs = Number.NaN;
  private tokens = 0;

  constructor(
    private readonly clock: Clock,
    private readonly targets: {readonly firstTokenMs: number; readonly betweenTokensMs: number},
  ) {
    this.startedMs = clock.monotonicMs();
  }

  onTokens(count: number): void {
    const nowMs = this.clock.monotonicMs();
    if (this.tokens === 0) this.firstMs = nowMs;
    this.lastMs = nowMs;
    this.tokens += count;
  }

  elapsedMs(): number {
    return this.clock.monotonicMs() - this.startedMs;
  }

  /** Time to the first token, or to the end of an answer without tokens. */
  firstTokenMs(): number {
    return this.tokens === 0 ? this.elapsedMs() : this.firstMs - this.startedMs;
  }

  /** True when the first token and the mean time between tokens were within the targets. */
  metTargets(): boolean {
    const gaps = Math.max(1, this.tokens - 1);
    const betweenMs = this.tokens < 2 ? 0 : (this.lastMs - this.firstMs) / gaps;
    return (
      this.firstTokenMs() <= this.targets.firstTokenMs && betweenMs <= this.targets.betweenTokensMs
    );
  }
}
