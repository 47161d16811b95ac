/** Simulates gateways that share one quota while issuers, links and the quota change. */
import fc from 'fast-check';
import {
  ISSUER_TIMEOUT_MS,
  PermitIssuer,
  PermitPool,
  quotaBucket,
  type CreditGrant,
  type NumberedCreditRequest,
} from '@jasminepost/policy';
import {SeededRandom} from '../../bench/random.ts';

const STEP_MS = 5;
const WINDOW_MS = 8000;
const OVERSHOOT = 1.1;
const SLACK = 17_000;
/** What the operator tolerates above a quota. */
export const TOLERANCE = {slack: SLACK, overshoot: OVERSHOOT - 1, windowMs: WINDOW_MS};

/** Time for which a gateway counts as linked after the issuer has last heard it. */
const LINKED_MS = 800;
const HEARTBEAT_MS = 250;
/** Credit is returned at this interval. */
const RETURN_INTERVAL_MS = 40;

/** A fault and when it begins; `share` of the gateways are concerned by those of gateways. */
interface Fault {
  readonly kind: 'takeover' | 'superseded' | 'frozen' | 'cut' | 'store_away';
  readonly atMs: number;
  readonly durationMs: number;
  readonly share: number;
}

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('takeover', 'superseded', 'frozen', 'cut', 'store_away'),
  atMs: fc.integer({min: 500, max: 16_000}),
  durationMs: fc.integer({min: 50, max: 9000}),
  share: fc.double({min: 0.05, max: 1, noNaN: true}),
});

export const creditSeries = fc.record({
  seed: fc.nat(10_000),
  gateways: fc.integer({min: 1, max: 34}),
  perS: fc.constantFrom<number>(4200, 20_000, 180_000),
  /** Cost of a request; some cost a quarter and some four times as much. */
  units: fc.constantFrom<number>(300, 1000, 2400),
  /** Demand as a multiple of the quota. */
  demand: fc.constantFrom<number>(0.5, 1, 2, 5),
  /** Share of the demand that the first gateway gets. */
  firstShare: fc.constantFrom<number>(0, 0.5, 0.9),
  delayMs: fc.nat(10),
  slowDelayMs: fc.nat(2500),
  lostShare: fc.constantFrom<number>(0, 0, 0.05, 0.3),
  faults: fc.array(fault, {maxLength: 4}),
  /** Time at which the quota is halved or doubled; a window is checked after a change. */
  changeMs: fc.option(fc.integer({min: 1000, max: 10_000}), {nil: undefined}),
  changeFactor: fc.constantFrom<number>(0.5, 2),
  durationMs: fc.constant<number>(20_000),
});

export type CreditSeries = typeof creditSeries extends fc.Arbitrary<infer S> ? S : never;

export interface CreditOutcome {
  /** Most units in a window, as a share of the tolerated number. */
  readonly maxShare: number;
  /** Units sent from 2 s on, as a share of what the quota or the demand allows. */
  readonly usedShare: number;
  /** Share of the first gateway of the units sent from 2 s on. */
  readonly firstShare: number;
  readonly refused: number;
}

interface Gateway {
  readonly pool: PermitPool;
  waiting: Array<{readonly units: number; ask: number}>;
  askedMs: number;
  heardMs: number;
  nextArrivalMs: number;
  issuer: number;
}

interface Issuer {
  readonly issuer: PermitIssuer;
  confirmedUntilMs: number;
  endedMs: number;
}

/** Runs a series in virtual time. */
export function simulateCredit(series: CreditSeries): CreditOutcome {
  const random = new SeededRandom(series.seed).uniform;
  const {gateways: known, durationMs} = series;
  const gateways: Gateway[] = Array.from({length: known}, () => ({
    pool: new PermitPool(random),
    waiting: [],
    askedMs: Number.NEGATIVE_INFINITY,
    heardMs: Number.NEGATIVE_INFINITY,
    nextArrivalMs: 0,
    issuer: 0,
  }));
  const never = Number.POSITIVE_INFINITY;
  const issuers: Issuer[] = [
    {issuer: new PermitIssuer(0), confirmedUntilMs: never, endedMs: never},
  ];
  const sent: Array<{readonly atMs: number; readonly units: number; readonly gateway: number}> = [];
  let messages: Array<{readonly atMs: number; readonly run: (nowMs: number) => void}> = [];
  let refused = 0;
  const quotaAt = (nowMs: number) => {
    const isChanged = series.changeMs !== undefined && nowMs >= series.changeMs;
    const perS = series.perS * (isChanged ? series.changeFactor : 1);
    return {perS, burst: perS};
  };
  const inForce = (kind: Fault['kind'], nowMs: number) =>
    series.faults.find(f => f.kind === kind && f.atMs <= nowMs && nowMs < f.atMs + f.durationMs);
  const isAffected = (kind: Fault['kind'], gateway: number, nowMs: number) => {
    const found = inForce(kind, nowMs);
    return found !== undefined && gateway >= known * (1 - found.share);
  };
  const delay = () => (random() < 0.05 ? series.slowDelayMs : series.delayMs) * random();
  const post = (nowMs: number, run: (nowMs: number) => void) => {
    if (random() >= series.lostShare) messages.push({atMs: nowMs + delay(), run});
  };
  const linkedTo = (index: number, nowMs: number) =>
    gateways.filter(g => g.issuer === index && nowMs - g.heardMs < LINKED_MS).length;
  const perGateway = (gateway: number) =>
    known === 1
      ? 1
      : gateway === 0
        ? Math.max(series.firstShare, 1 / known)
        : (1 - Math.max(series.firstShare, 1 / known)) / (known - 1);

  const settle = (gateway: Gateway, index: number, nowMs: number, ask: number) => {
    const waiting = gateway.waiting;
    gateway.waiting = [];
    for (const entry of waiting) {
      const isFirst = gateway.waiting.length === 0;
      const {perS} = quotaAt(nowMs);
      const charge = isFirst ? gateway.pool.tryCharge(perS, known, entry.units, nowMs) : undefined;
      if (charge !== undefined) sent.push({atMs: nowMs, units: entry.units, gateway: index});
      else if (entry.ask === ask || ask < 0) refused += 1;
      else gateway.waiting.push(entry);
    }
  };
  const request = (gateway: Gateway, index: number, nowMs: number) => {
    const asked = gateway.pool.nextCreditRequest(
      gateway.waiting.map(({units}) => units),
      quotaAt(nowMs).perS,
      nowMs,
    );
    if (asked === undefined) return;
    gateway.askedMs = nowMs;
    for (const entry of gateway.waiting) entry.ask = asked.number;
    send(gateway, index, nowMs, asked);
  };
  const send = (gateway: Gateway, index: number, nowMs: number, asked: NumberedCreditRequest) => {
    const to = gateway.issuer;
    if (isAffected('cut', index, nowMs) || nowMs >= issuers[to].endedMs) {
      gateway.pool.onSendFailed();
      return;
    }
    const {perS, burst} = quotaAt(nowMs);
    post(nowMs, atMs => {
      const {issuer, confirmedUntilMs, endedMs} = issuers[to];
      if (atMs >= endedMs) return;
      gateway.heardMs = atMs;
      const bucket = quotaBucket({perS, burst}, TOLERANCE);
      const view = {isConfirmed: atMs < confirmedUntilMs, linked: linkedTo(to, atMs), known};
      const grant: CreditGrant = issuer.issueCredit('acme', bucket, asked, atMs, view);
      post(atMs, grantedMs => {
        if (isAffected('frozen', index, grantedMs)) return;
        if (!gateway.pool.onCreditGrant(asked.number, grant, grantedMs)) return;
        settle(gateway, index, grantedMs, asked.number);
        request(gateway, index, grantedMs);
      });
    });
  };
  const started = new Set<Fault>();
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    for (const found of series.faults) {
      if (started.has(found) || nowMs < found.atMs) continue;
      if (found.kind !== 'takeover' && found.kind !== 'superseded') continue;
      started.add(found);
      const last = issuers[issuers.length - 1];
      if (found.kind === 'takeover') last.endedMs = nowMs;
      else last.confirmedUntilMs = nowMs;
      // The gateways that know the previous issuer keep to it for as long as it acts.
      if (found.kind === 'superseded') last.endedMs = nowMs + found.durationMs;
      const startMs = found.kind === 'takeover' ? nowMs + Math.min(found.durationMs, 3000) : nowMs;
      issuers.push({issuer: new PermitIssuer(startMs), confirmedUntilMs: never, endedMs: never});
      for (const [index, gateway] of gateways.entries()) {
        if (found.kind === 'takeover' || index < known * (1 - found.share))
          gateway.issuer = issuers.length - 1;
      }
    }
    const acting = issuers[issuers.length - 1];
    if (inForce('store_away', nowMs) !== undefined) acting.confirmedUntilMs = nowMs;
    else acting.confirmedUntilMs = never;
    for (const [index, gateway] of gateways.entries()) {
      if (nowMs >= issuers[gateway.issuer].endedMs) gateway.issuer = issuers.length - 1;
      const isUnreachable = isAffected('cut', index, nowMs) || isAffected('frozen', index, nowMs);
      const isHeard = nowMs % HEARTBEAT_MS === 0 && !isUnreachable;
      if (isHeard && random() >= series.lostShare) gateway.heardMs = nowMs;
    }
    const due = messages.filter(({atMs}) => atMs <= nowMs);
    messages = messages.filter(({atMs}) => atMs > nowMs);
    for (const {run} of due) run(nowMs);
    for (const [index, gateway] of gateways.entries()) {
      if (isAffected('frozen', index, nowMs)) continue;
      if (nowMs - gateway.askedMs >= ISSUER_TIMEOUT_MS) settle(gateway, index, nowMs, -1);
      if (nowMs % RETURN_INTERVAL_MS === 0) {
        const returned = gateway.pool.takeReturnable(nowMs);
        if (returned > 0)
          send(gateway, index, nowMs, {number: 0, units: 0, more: 0, returned, fallback: 0});
      }
      const perMs = (perGateway(index) * series.demand * series.perS) / 1000 / series.units;
      while (gateway.nextArrivalMs <= nowMs) {
        gateway.nextArrivalMs += -Math.log(1 - random()) / perMs;
        if (nowMs === 0) continue;
        const units = series.units * (random() < 0.1 ? 0.25 : 1);
        gateway.pool.countDemand(units, nowMs);
        gateway.waiting.push({units, ask: 0});
      }
      if (gateway.waiting.length > 0 || nowMs % HEARTBEAT_MS === 0) {
        if (gateway.waiting[0]?.ask === 0) settle(gateway, index, nowMs, Number.NaN);
        request(gateway, index, nowMs);
        if (gateway.pool.isIssuerLost(nowMs)) settle(gateway, index, nowMs, -1);
      }
    }
  }
  return outcomeOf(series, sent, refused, quotaAt);
}

function outcomeOf(
  series: CreditSeries,
  sent: ReadonlyArray<{readonly atMs: number; readonly units: number; readonly gateway: number}>,
  refused: number,
  quotaAt: (nowMs: number) => {readonly perS: number},
): CreditOutcome {
  let sum = 0;
  let maxShare = 0;
  for (let first = 0, last = 0; last < sent.length; last++) {
    sum += sent[last].units;
    while (sent[last].atMs - sent[first].atMs >= WINDOW_MS) sum -= sent[first++].units;
    // A lower quota binds one window after it is known; the higher one counts until then.
    const {perS} = quotaAt(sent[last].atMs);
    const counted = Math.max(perS, quotaAt(sent[last].atMs - WINDOW_MS).perS);
    const tolerated = OVERSHOOT * counted * (WINDOW_MS / 1000 + 1) + SLACK;
    maxShare = Math.max(maxShare, sum / tolerated);
  }
  const late = sent.filter(({atMs}) => atMs >= 2000);
  const total = late.reduce((all, {units}) => all + units, 0);
  const ofFirst = late.filter(({gateway}) => gateway === 0).reduce((all, s) => all + s.units, 0);
  const possible = (series.perS * Math.min(1, series.demand) * (series.durationMs - 2000)) / 1000;
  return {maxShare, usedShare: total / possible, firstShare: ofFirst / total, refused};
}
