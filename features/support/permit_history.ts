/** Many gateways before one replica with a limit, while those that deal its permits come and go. */
import fc from 'fast-check';
import {PermitPool, PermitIssuer, type PermitGrant} from '@jasminepost/policy';
import {SeededRandom} from '../../bench/random.ts';

const STEP_MS = 10;
const WINDOW_MS = 4000;
/** Requests in a window: so many times what the limit allows, and some more. */
const OVERSHOOT = 1.5;
const SLACK = 5;

/** What follows on the dealer there is; the first one is there at the start. */
interface Change {
  readonly afterMs: number;
  /** Time in which half of the gateways still ask the one before, whose lease has ended; 0 for none. */
  readonly overlapMs: number;
  /** Time without any dealer, where the one before goes first. */
  readonly goneMs: number;
}

interface Answer {
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
  /** Requests that wait at each gateway at any time. */
  waiting: fc.integer({min: 1, max: 20}),
  /** Way of most answers, and of one in ten. */
  wayMs: fc.nat(20),
  slowMs: fc.nat(2500),
  changes: fc.array(
    fc.record({
      afterMs: fc.integer({min: 1, max: 9000}),
      goneMs: fc.nat(4000),
      overlapMs: fc.oneof(fc.constant(0), fc.nat(9000)),
    }),
    {maxLength: 4},
  ),
  durationMs: fc.constant(24_000),
});

export type PermitSeries = typeof permitSeries extends fc.Arbitrary<infer S> ? S : never;

export interface PermitOutcome {
  readonly sent: number;
  /** Most requests in a window, against what may come in one. */
  readonly mostShare: number;
}

/** Plays a series in virtual time; the gateways send whenever they may. */
export function playPermits(series: PermitSeries): PermitOutcome {
  const random = new SeededRandom(series.seed).uniform;
  const accounts = Array.from({length: series.gateways}, () => new PermitPool(random));
  const sentMs: number[] = [];
  let answers: Answer[] = [];
  const changes = [...series.changes];
  let changedMs = 0;
  let dealer: PermitIssuer | undefined = new PermitIssuer(0);
  let before: PermitIssuer | undefined;
  let change: Change | undefined;
  for (let nowMs = 0; nowMs < series.durationMs; nowMs += STEP_MS) {
    if (change === undefined && changes.length > 0 && nowMs - changedMs >= changes[0].afterMs) {
      change = changes.shift()!;
      changedMs = nowMs;
      before = change.overlapMs > 0 ? dealer : undefined;
      dealer = before === undefined ? undefined : new PermitIssuer(nowMs);
    }
    const lastsMs = change?.overlapMs === 0 ? change.goneMs : change?.overlapMs;
    if (lastsMs !== undefined && nowMs - changedMs >= lastsMs) {
      dealer ??= new PermitIssuer(nowMs);
      before = undefined;
      change = undefined;
      changedMs = nowMs;
    }
    for (const {gateway, number, answer} of answers.filter(({atMs}) => atMs <= nowMs)) {
      accounts[gateway].onGrant(number, answer, nowMs);
    }
    answers = answers.filter(({atMs}) => atMs > nowMs);
    for (const [gateway, account] of accounts.entries()) {
      const {gateways, perS, waiting} = series;
      while (account.tryTake(perS, gateways, nowMs)) sentMs.push(nowMs);
      const question = account.nextRequest(waiting, nowMs);
      if (question === undefined) continue;
      const asked = before !== undefined && gateway % 2 === 0 ? before : dealer;
      if (asked === undefined) {
        account.onSendFailed();
        continue;
      }
      const answer = asked.issue('r', perS, question.count, nowMs, asked === dealer);
      const wayMs = random() < 0.1 ? series.slowMs : series.wayMs;
      answers.push({atMs: nowMs + wayMs, gateway, number: question.number, answer});
    }
  }
  const allowed = OVERSHOOT * series.perS * (WINDOW_MS / 1000) + SLACK;
  let most = 0;
  for (let first = 0, last = 0; last < sentMs.length; last++) {
    while (sentMs[last] - sentMs[first] >= WINDOW_MS) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return {sent: sentMs.length, mostShare: most / allowed};
}
