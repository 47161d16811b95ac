/** Issues permits to all gateways for requests to rate-limited replicas, one per request. */

/** How far ahead permits are issued, in milliseconds. @internal */
export const PERMIT_HORIZON_MS = 1000;
/** Time for which a permit is valid, in milliseconds. @internal */
export const PERMIT_VALID_MS = 300;
/** Age up to which unclaimed permits may still be issued, in milliseconds. */
const UNCLAIMED_PERMIT_VALID_MS = 250;
/** Share of the rate limit that is issued while another issuer may have been appointed. */
const UNCONFIRMED_SHARE = 0.25;
/** Time without requests after which a replica is removed, in milliseconds. */
const IDLE_EXPIRY_MS = 60_000;

/** @public */
export interface PermitGrant {
  /** Time until each permit becomes valid, in milliseconds. */
  readonly permitsInMs: readonly number[];
  /** Time until the next permit that is still unassigned, in milliseconds. */
  readonly nextInMs: number;
}

/**
 * Spaces the permits of each replica evenly. Handles many gateways that share a rate-limited
 * replica: a fixed share for each could be less than one request, and the shares rounded up would
 * exceed the limit.
 *
 * @public
 */
export class PermitIssuer {
  /** Time of the next unassigned permit of each replica. */
  private readonly nextMs = new Map<string, number>();
  private readonly earliestMs: number;

  /** @param startedMs - When this issuer took over; permits of the previous one expire first. */
  constructor(startedMs: number) {
    this.earliestMs = startedMs + PERMIT_HORIZON_MS + PERMIT_VALID_MS;
  }

  /**
   * Issues up to `count` permits for a replica.
   *
   * @param replica - Incarnation of a replica.
   * @param perS - Its rate limit in requests a second.
   * @param isConfirmed - False when another issuer may have been appointed since.
   * @example
   * const {permitsInMs} = issuer.issue('i-7f3a@1700000000000', 1.5, 1, clock.monotonicMs(), true);
   */
  issue(
    replica: string,
    perS: number,
    count: number,
    nowMs: number,
    isConfirmed: boolean,
  ): PermitGrant {
    const intervalMs = 1000 / (isConfirmed ? perS : UNCONFIRMED_SHARE * perS);
    // The first permit is due one interval after the first request: earlier use is unknown.
    const nextFreeMs = this.nextMs.get(replica) ?? nowMs + intervalMs;
    // Shortens the wait if the rate limit has risen since the last permit was issued.
    const latestMs = nowMs + PERMIT_HORIZON_MS + intervalMs;
    let nextMs = Math.max(
      Math.min(nextFreeMs, latestMs),
      nowMs - UNCLAIMED_PERMIT_VALID_MS,
      this.earliestMs,
    );
    const permitsInMs: number[] = [];
    while (permitsInMs.length < count && nextMs <= nowMs + PERMIT_HORIZON_MS) {
      permitsInMs.push(Math.max(0, nextMs - nowMs));
      nextMs += intervalMs;
    }
    this.nextMs.set(replica, nextMs);
    this.removeIdle(nowMs);
    return {permitsInMs, nextInMs: Math.max(0, nextMs - nowMs)};
  }

  private removeIdle(nowMs: number): void {
    for (const [replica, nextMs] of this.nextMs) {
      if (nextMs < nowMs - IDLE_EXPIRY_MS) this.nextMs.delete(replica);
    }
  }
}
