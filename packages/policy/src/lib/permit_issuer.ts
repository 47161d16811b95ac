/**
 * Issues shares of rates to all gateways: permits for requests to rate-limited replicas, one per
 * request, and credit in units from token buckets.
 */
import {type CreditBucket, issuerShare} from './credit_bucket.ts';

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

/** Time for which credit is valid, in milliseconds. @internal */
export const CREDIT_VALID_MS = 300;
/** Size of the bucket, in milliseconds of the rate, while another issuer may exist. */
const UNCONFIRMED_BUCKET_MS = 250;
/** Time within which issued credit may be returned, in milliseconds. */
const RETURN_WINDOW_MS = CREDIT_VALID_MS + 100;
/** Issues within this time are recorded as one, in milliseconds. */
const RECORD_INTERVAL_MS = 50;
/** Tolerance for rounding errors, in units. */
const EPSILON = 1e-6;

/** @public */
export interface CreditRequest {
  /** Units that are granted together or not at all. */
  readonly units: number;
  /** Further units, which may be granted in part. */
  readonly more: number;
  /** Units granted earlier that are still valid and are given back unused. */
  readonly returned: number;
  /** Units used from the fallback lately, while the issuer may have kept nothing for it. */
  readonly fallback: number;
}

/** @public */
export interface CreditGrant {
  readonly units: number;
  /** Time until as many units as requested together are available, in milliseconds. */
  readonly nextInMs: number;
}

/** Gateways as the issuer knows them. @public */
export interface IssuerView {
  /** False when another issuer may have been appointed since. */
  readonly isConfirmed: boolean;
  /** Gateways that ask this issuer, including its own. */
  readonly linked: number;
  /** Gateways known in all. */
  readonly known: number;
}

interface BucketState {
  /** The rate until this time has been issued. */
  assignedMs: number;
  /** Time at which the bucket is full if nothing is issued. */
  fullMs: number;
  readonly issued: Array<{readonly atMs: number; units: number}>;
}

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
  private readonly buckets = new Map<string, BucketState>();
  private readonly earliestMs: number;

  /** @param startedMs - When this issuer took over; permits of the previous one expire first. */
  constructor(private readonly startedMs: number) {
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

  /**
   * Issues credit, which counts as used. Every bucket is empty when the issuer takes over and fills
   * from then on: what the previous issuer has issued came from its own bucket.
   *
   * @param subject - Whose bucket it is, such as an organisation.
   * @returns The granted units; 0 if `request.units` are not available.
   * @example
   * const {units} = issuer.issueCredit('acme', bucket, ask, clock.monotonicMs(), view);
   */
  issueCredit(
    subject: string,
    bucket: CreditBucket,
    request: CreditRequest,
    nowMs: number,
    {isConfirmed, linked, known}: IssuerView,
  ): CreditGrant {
    const perMs = (bucket.perS * issuerShare(isConfirmed, linked, known)) / 1000;
    // The burst belongs to the confirmed issuer, so that two issuers never grant it.
    const size = isConfirmed ? bucket.size : Math.min(bucket.size, perMs * UNCONFIRMED_BUCKET_MS);
    const state = this.bucketOf(subject);
    takeBack(state, request.returned, perMs, nowMs);
    state.assignedMs = Math.max(state.assignedMs, nowMs - size / perMs) + request.fallback / perMs;
    const available = () => (nowMs - state.assignedMs) * perMs;
    // A request that is larger than the bucket needs the full bucket and leaves a debt.
    const needed = Math.min(request.units, size);
    let units = 0;
    if (request.units <= bucket.maxUnits && available() + EPSILON >= needed) {
      units = request.units + Math.max(0, Math.min(request.more, available() - request.units));
      state.assignedMs += units / perMs;
      recordIssue(state, units, nowMs);
    }
    state.fullMs = state.assignedMs + bucket.size / perMs;
    this.removeIdle(nowMs);
    return {units, nextInMs: Math.max(0, (needed - available()) / perMs)};
  }

  private bucketOf(subject: string): BucketState {
    let state = this.buckets.get(subject);
    if (state === undefined) {
      state = {assignedMs: this.startedMs, fullMs: 0, issued: []};
      this.buckets.set(subject, state);
    }
    return state;
  }

  private removeIdle(nowMs: number): void {
    for (const [replica, nextMs] of this.nextMs) {
      if (nextMs < nowMs - IDLE_EXPIRY_MS) this.nextMs.delete(replica);
    }
    for (const [subject, {fullMs}] of this.buckets) {
      if (fullMs < nowMs - IDLE_EXPIRY_MS) this.buckets.delete(subject);
    }
  }
}

function recordIssue({issued}: BucketState, units: number, nowMs: number): void {
  const last = issued.at(-1);
  if (last !== undefined && nowMs - last.atMs < RECORD_INTERVAL_MS) last.units += units;
  else issued.push({atMs: nowMs, units});
}

/**
 * Puts returned units back, up to what was issued recently: a return that is late, or of credit
 * from another issuer, must not fill the bucket beyond what was taken from it.
 */
function takeBack(state: BucketState, returned: number, perMs: number, nowMs: number): void {
  const {issued} = state;
  while (issued.length > 0 && issued[0].atMs < nowMs - RETURN_WINDOW_MS) issued.shift();
  let left = returned;
  for (const entry of issued) {
    const units = Math.min(left, entry.units);
    entry.units -= units;
    left -= units;
    state.assignedMs -= units / perMs;
  }
}
