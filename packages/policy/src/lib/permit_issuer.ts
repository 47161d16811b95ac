/** Deals the requests that replicas with a limit take, one permit a request, to all gateways. */

/** How far ahead permits are dealt, in milliseconds. @internal */
export const PERMIT_HORIZON_MS = 1000;
/** A permit may be used so long after its time, in milliseconds. @internal */
export const PERMIT_VALID_MS = 300;
/** Permits that nobody asked for in this time, in milliseconds, may still be dealt. */
const UNCLAIMED_PERMIT_VALID_MS = 250;
/** Part of the limit that is dealt while another dealer may have been appointed. */
const UNCONFIRMED_SHARE = 0.25;
/** Replicas that nobody has asked for so long are forgotten, in milliseconds. */
const IDLE_EXPIRY_MS = 60_000;

/** @public */
export interface PermitGrant {
  /** Time until each permit may be used, in milliseconds. */
  readonly permitsInMs: readonly number[];
  /** Time until the next permit that nobody has yet, in milliseconds. */
  readonly nextInMs: number;
}

/**
 * Spaces the permits of each replica evenly. Answers many gateways before one replica in need: a
 * share for each of them would be less than one request, and the sum of what they round up too much.
 *
 * @public
 */
export class PermitIssuer {
  /** Time of the next free permit of each replica. */
  private readonly nextMs = new Map<string, number>();
  private readonly earliestMs: number;

  /** @param startedMs - When this dealer took over; what the one before has dealt lapses first. */
  constructor(startedMs: number) {
    this.earliestMs = startedMs + PERMIT_HORIZON_MS + PERMIT_VALID_MS;
  }

  /**
   * Deals up to `count` permits for a replica.
   *
   * @param replica - One start of a replica.
   * @param perS - Requests a second that it takes.
   * @param isConfirmed - False when another dealer may have been appointed since.
   * @example
   * const {permitsInMs} = dealer.deal('i-7f3a@1700000000000', 1.5, 1, clock.monotonicMs(), true);
   */
  issue(
    replica: string,
    perS: number,
    count: number,
    nowMs: number,
    isConfirmed: boolean,
  ): PermitGrant {
    const intervalMs = 1000 / (isConfirmed ? perS : UNCONFIRMED_SHARE * perS);
    // The first permit comes one gap after the first question: nothing is known of the time before.
    const nextFreeMs = this.nextMs.get(replica) ?? nowMs + intervalMs;
    // Less once the replica takes more than it did when the last one was dealt.
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
