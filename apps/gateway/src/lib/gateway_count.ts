/** Gateways that share what is allowed to the fleet, as far as anybody has counted them. */
import type {Logger} from '@jasminepost/core';

/** A count that falls because links are lost must not enlarge the shares of those that count. */
const WINDOW_MS = 30_000;

/** @internal */
export class GatewayCount {
  private readonly counts: Array<{readonly count: number; readonly atMs: number}> = [];
  private lastLogged = 0;

  /** @param minimum - Taken to be there before anybody has counted. */
  constructor(
    private readonly minimum: number,
    private readonly log: Logger,
  ) {}

  /** Takes in a count; returns the largest of the last while. */
  record(count: number, nowMs: number): number {
    const {counts} = this;
    while (counts.length > 0 && counts[0].atMs < nowMs - WINDOW_MS) counts.shift();
    // Smaller counts before this one will never be the largest.
    while (counts.length > 0 && counts.at(-1)!.count <= count) counts.pop();
    counts.push({count, atMs: nowMs});
    const maximum = Math.max(this.minimum, counts[0].count);
    if (maximum !== this.lastLogged)
      this.log.info('gateways counted', {count: maximum, before: this.lastLogged});
    this.lastLogged = maximum;
    return maximum;
  }
}
