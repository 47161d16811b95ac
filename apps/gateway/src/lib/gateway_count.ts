/** Estimates how many gateways share the fleet-wide limits. */
import type {Logger} from '@jasminepost/core';

/** A count that drops because links are lost must not enlarge a gateway's share of the limits. */
const WINDOW_MS = 30_000;

/** @internal */
export class GatewayCount {
  private readonly counts: Array<{readonly count: number; readonly atMs: number}> = [];
  private lastLogged = 0;

  /** Largest count within the window, without the lower bound; 0 before the first. */
  get known(): number {
    return this.counts.at(0)?.count ?? 0;
  }

  /** @param minimum - Lower bound, also returned before there is any count. */
  constructor(
    private readonly minimum: number,
    private readonly log: Logger,
  ) {}

  /** Records a count and returns the largest one within the window. */
  record(count: number, nowMs: number): number {
    const {counts} = this;
    while (counts.length > 0 && counts[0].atMs < nowMs - WINDOW_MS) counts.shift();
    // Smaller counts before this one can't become the maximum any more.
    while (counts.length > 0 && counts.at(-1)!.count <= count) counts.pop();
    counts.push({count, atMs: nowMs});
    const maximum = Math.max(this.minimum, counts[0].count);
    if (maximum !== this.lastLogged)
      this.log.info('gateways counted', {count: maximum, before: this.lastLogged});
    this.lastLogged = maximum;
    return maximum;
  }
}
