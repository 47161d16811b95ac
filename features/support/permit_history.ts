/** Simulates gateways that send to one rate-limited replica while its permit issuer changes. */
import fc from 'fast-check';
import {PermitPool, PermitIssuer, type PermitGrant} from '@jasminepost/policy';
import {SeededRandom} from '../../bench/random.ts';

const STEP_MS = 10;
const WINDOW_MS = 4000;
/** A window may have OVERSHOOT times the requests of the rate limit, plus SLACK. */
const OVERSHOOT = 1.5;
const SLACK = 5;

/** Change to a new permit issuer; the first issuer exists from the start. */
interface IssuerChange {
  readonly afterMs: number;
  /** Time for which half of the gateways ask the previous issuer after its lease; 0 for none. */
  readonly overlapMs: number;
  /** Time without an issuer, if there is no overlap. */
  readonly gapMs: number;
}

interface DelayedGrant {
  readonly atMs: number;
  readonly gateway: number;
  readonly number: number;
  readonly answer: PermitGrant;
}

export const permitSeries = fc.record({
  seed: fc.nat(10_000),
  gateways: fc.integer({min: 1, max: 68}),
  perS: fc.oneof(
    fc.double({min: 0.05, max: 4, noNaN: true}),
    fc.double({min: 4, max: 60, noNaN: true}),
  ),
  /** Requests queued at each gateway at any time. */
  waiting: fc.integer({min: 1, max: 20}),
  /** Delay of most grants; one in ten takes `slowDelayMs` instead. */
  usualDelayMs: fc.nat(20),
  slowDelayMs: fc.nat(2500),
  changes: fc.array(
    fc.record({
      afterMs: fc.integer({min: 1, max: 9000}),
      gapMs: fc.nat(4000),
      overlapMs: fc.oneof(fc.constant(0), fc.nat(9000)),
    }),
    {maxLength: 4},
  ),
  durationMs: fc.constant(24_000),
});

export type PermitSeries = typeof permitSeries extends fc.Arbitrary<infer S> ? S : never;

export interface PermitOutcome {
  readonly sent: number;
  /** Most requests in a window, as a share of the allowed number. */
  readonly maxShare: number;
}

/** Runs a series in virtual time; gateways send as soon as they have a permit. */
export function simulatePermits(series: PermitSeries): PermitOutcome {
  const random = new SeededRandom(series.seed).uniform;
  const pools = Array.from({length: series.gateways}, () => new PermitPool(random));
  const sentMs: number[] = [];
  let grants: DelayedGrant[] = [];
  const changes = [...series.changes];
  let changedMs = 0;
  let issuer: PermitIssuer | undefined = new PermitIssuer(0);
  let previousIssuer: PermitIssuer | undefined;
  let change: IssuerChange | undefined;
  for (let nowMs = 0; nowMs < series.durationMs; nowMs += STEP_MS) {
    if (change === undefined && changes.length > 0 && nowMs - changedMs >= changes[0].afterMs) {
      change = changes.shift()!;
      changedMs = nowMs;
      previousIssuer = change.overlapMs > 0 ? issuer : undefined;
      issuer = previousIssuer === undefined ? undefined : new PermitIssuer(nowMs);
    }
    const transitionMs = change?.overlapMs === 0 ? change.gapMs : change?.overlapMs;
    if (transitionMs !== undefined && nowMs - changedMs >= transitionMs) {
      issuer ??= new PermitIssuer(nowMs);
      previousIssuer = undefined;
      change = undefined;
      changedMs = nowMs;
    }
    for (const {gateway, number, answer: grant} of grants.filter(({atMs}) => atMs <= nowMs)) {
      pools[gateway].onGrant(number, grant, nowMs);
    }
    grants = grants.filter(({atMs}) => atMs > nowMs);
    for (const [gateway, pool] of pools.entries()) {
      const {gateways, perS, waiting} = series;
      while (pool.tryTake(perS, gateways, nowMs)) sentMs.push(nowMs);
      const permitRequest = pool.nextRequest(waiting, nowMs);
      if (permitRequest === undefined) continue;
      const recipient = previousIssuer !== undefined && gateway % 2 === 0 ? previousIssuer : issuer;
      if (recipient === undefined) {
        pool.onSendFailed();
        continue;
      }
      const grant = recipient.issue('r', perS, permitRequest.count, nowMs, recipient === issuer);
      const delayMs = random() < 0.1 ? series.slowDelayMs : series.usualDelayMs;
      grants.push({atMs: nowMs + delayMs, gateway, number: permitRequest.number, answer: grant});
    }
  }
  const allowed = OVERSHOOT * series.perS * (WINDOW_MS / 1000) + SLACK;
  let max = 0;
  for (let first = 0, last = 0; last < sentMs.length; last++) {
    while (sentMs[last] - sentMs[first] >= WINDOW_MS) first += 1;
    max = Math.max(max, last - first + 1);
  }
  return {sent: sentMs.length, maxShare: max / allowed};
}
