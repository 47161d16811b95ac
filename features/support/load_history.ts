/** Random histories of planners, stewards and lost answers against the limit of the weight store. */
import fc from 'fast-check';
import {WeightLoadLedger, WeightLoadRecord, type WeightStoreLimit} from '@jasminepost/policy';

export interface LoadOutcome {
  histories: number;
  /** Histories in which a window held more loads than the limit. */
  over: number;
  loads: number;
}

interface LoadCase {
  readonly seed: number;
  readonly replicas: number;
  readonly loadMs: number;
  readonly loadsPerS: number;
  /** Moments at which the other planner takes over. */
  readonly takeovers: readonly number[];
  /** Share of orders whose answer is lost. */
  readonly lost: number;
  /** Share of placements that wait for an unload first. */
  readonly unloading: number;
}

const DURATION_MS = 40_000;
const WINDOW_MS = 5000;
const OVERSHOOT = 1.1;
const EXTRA = 3;
const PLAN_MS = 150;
const VALID_MS = 4000;
const TRANSIT_MS = 50;
const LATE_MS = 5000;
const RETRY_MS = 400;
const CLAIM_MS = 400;
/** A planner that has been replaced may go on for this long. */
const STALE_MS = 1000;
const FORGET_MS = 1500;

class Steward {
  readonly record = new WeightLoadRecord();
  untilMs = 0;
  sequence = 0;
  busyUntilMs = 0;
  /** Number of the placement in hand; 0 when there is none. */
  inHand = 0;
}

/** One direction of a link, which keeps the order of its messages. */
interface Link {
  lastMs: number;
}

class Planner {
  readonly ledger = new WeightLoadLedger(WINDOW_MS);
  term = 0;
  stopMs = Number.POSITIVE_INFINITY;
  number = 0;
  readonly placedMs = new Map<number, number>();
  readonly knownTerm = new Map<number, number>();
  readonly claimedMs = new Map<number, number>();
  private readonly links = new Map<string, Link>();

  to(index: number): Link {
    return this.link(`to ${index}`);
  }

  from(index: number): Link {
    return this.link(`from ${index}`);
  }

  private link(name: string): Link {
    const link = this.links.get(name) ?? {lastMs: 0};
    this.links.set(name, link);
    return link;
  }
}

class LoadHistory {
  readonly begins: number[] = [];
  private readonly events: Array<{readonly atMs: number; run(nowMs: number): void}> = [];
  private readonly stewards: Steward[];
  private readonly planners = [new Planner(), new Planner()];
  private state: number;

  constructor(private readonly drawn: LoadCase) {
    this.state = drawn.seed;
    this.stewards = Array.from({length: drawn.replicas}, () => new Steward());
  }

  run(): void {
    this.takeOver(0, 0, 1);
    this.drawn.takeovers.forEach((atMs, index) => {
      this.at(atMs, nowMs => this.takeOver((index + 1) % 2, nowMs, index + 2));
    });
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += PLAN_MS) {
      this.runUntil(nowMs);
      for (const planner of this.planners) this.plan(planner, nowMs);
    }
  }

  private takeOver(index: number, nowMs: number, term: number): void {
    const planner = this.planners[index];
    this.planners[1 - index].stopMs = nowMs + STALE_MS * this.random();
    planner.stopMs = Number.POSITIVE_INFINITY;
    planner.term = term;
    planner.number = 0;
    planner.placedMs.clear();
    planner.claimedMs.clear();
    if (term > 1) planner.ledger.startTerm(term, nowMs + VALID_MS + LATE_MS + TRANSIT_MS);
  }

  private plan(planner: Planner, nowMs: number): void {
    if (planner.term === 0 || nowMs >= planner.stopMs) return;
    const {loadsPerS, loadMs} = this.drawn;
    const limit: WeightStoreLimit = {
      loadsPerS,
      windowS: WINDOW_MS / 1000,
      overshoot: OVERSHOOT,
      loadS: loadMs / 1000,
    };
    const holders = this.stewards.map((_, index) => String(index));
    this.stewards.forEach((_, index) => {
      const {term} = planner;
      if ((planner.knownTerm.get(index) ?? 0) < term) {
        if (nowMs - (planner.claimedMs.get(index) ?? -CLAIM_MS) < CLAIM_MS) return;
        planner.claimedMs.set(index, nowMs);
        const number = ++planner.number;
        this.send(planner.to(index), nowMs, arrivedMs =>
          this.claim(index, term, number, arrivedMs),
        );
        return;
      }
      if (nowMs - (planner.placedMs.get(index) ?? -FORGET_MS) < FORGET_MS) return;
      if (planner.ledger.availableLoads(limit, holders, nowMs) < 1) return;
      const number = ++planner.number;
      planner.placedMs.set(index, nowMs);
      const latestMs = nowMs + VALID_MS + LATE_MS + TRANSIT_MS;
      planner.ledger.recordPlacement(String(index), term, number, latestMs);
      this.send(planner.to(index), nowMs, arrivedMs => this.place(index, term, number, arrivedMs));
    });
  }

  private claim(index: number, term: number, number: number, nowMs: number): void {
    const steward = this.stewards[index];
    if (!steward.record.acceptPlacement(term, number)) return;
    steward.inHand = 0;
    steward.record.closeCurrentPlacement();
    this.tell(index, nowMs);
  }

  private place(index: number, term: number, number: number, nowMs: number): void {
    const steward = this.stewards[index];
    if (!steward.record.acceptPlacement(term, number)) return;
    steward.inHand = number;
    steward.untilMs = nowMs + VALID_MS;
    this.tell(index, nowMs);
    const waitMs = this.random() < this.drawn.unloading ? VALID_MS * 1.1 : 1;
    this.later(nowMs, waitMs, startMs => this.order(index, number, startMs));
  }

  private order(index: number, number: number, nowMs: number): void {
    const steward = this.stewards[index];
    if (steward.inHand !== number) return;
    const end = () => {
      steward.inHand = 0;
      steward.record.closeCurrentPlacement();
      this.tell(index, nowMs);
    };
    if (nowMs > steward.untilMs) return end();
    if (nowMs < steward.busyUntilMs) {
      this.later(nowMs, RETRY_MS, retryMs => this.order(index, number, retryMs));
      return;
    }
    const {sequence} = steward;
    const carryOut = (atMs: number) => {
      if (steward.sequence !== sequence || atMs < steward.busyUntilMs) return;
      steward.sequence += 1;
      steward.busyUntilMs = atMs + this.drawn.loadMs;
      this.begins.push(atMs);
    };
    steward.record.onOrderSending(nowMs);
    if (this.random() >= this.drawn.lost) {
      carryOut(nowMs);
      steward.record.onOrderOutcome('begun', nowMs);
      return end();
    }
    steward.record.onOrderOutcome('unknown', nowMs);
    if (this.random() < 0.7) this.later(nowMs, LATE_MS, carryOut);
    this.tell(index, nowMs);
    this.at(nowMs + RETRY_MS, retryMs => this.order(index, number, retryMs));
  }

  /** Tells both planners of a steward's loads. */
  private tell(index: number, sentMs: number): void {
    const {report: account} = this.stewards[index].record;
    for (const planner of this.planners) {
      this.send(planner.from(index), sentMs, nowMs => {
        const beginsMs = account.latestStartsMs.map(atMs => atMs + nowMs - sentMs);
        planner.ledger.applyReport(String(index), {...account, latestStartsMs: beginsMs});
        planner.knownTerm.set(index, account.term);
      });
    }
  }

  private send(link: Link, nowMs: number, run: (nowMs: number) => void): void {
    link.lastMs = Math.max(link.lastMs, nowMs + this.random() * TRANSIT_MS);
    this.at(link.lastMs, run);
  }

  private later(nowMs: number, withinMs: number, run: (nowMs: number) => void): void {
    this.at(nowMs + this.random() * withinMs, run);
  }

  private at(atMs: number, run: (nowMs: number) => void): void {
    let index = this.events.length;
    while (index > 0 && this.events[index - 1].atMs > atMs) index -= 1;
    this.events.splice(index, 0, {atMs, run});
  }

  private runUntil(nowMs: number): void {
    while (this.events.length > 0 && this.events[0].atMs <= nowMs) {
      const event = this.events.shift()!;
      event.run(event.atMs);
    }
  }

  private random(): number {
    this.state = (Math.imul(this.state, 1_664_525) + 1_013_904_223) >>> 0;
    return this.state / 2 ** 32;
  }
}

/** Most loads that began within one window. */
function mostInWindow(begins: readonly number[]): number {
  const sorted = [...begins].sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  sorted.forEach((atMs, index) => {
    while (atMs - sorted[first] >= WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Plays `runs` histories that `seed` draws. */
export function runLoadHistories(runs: number, seed: number): LoadOutcome {
  const outcome: LoadOutcome = {histories: 0, over: 0, loads: 0};
  const cases = fc.record({
    seed: fc.nat(),
    replicas: fc.integer({min: 3, max: 40}),
    loadMs: fc.integer({min: 300, max: 20_000}),
    loadsPerS: fc.double({min: 0.3, max: 18, noNaN: true}),
    takeovers: fc.array(fc.integer({min: 1000, max: DURATION_MS}), {maxLength: 6}),
    lost: fc.constantFrom(0, 0.1, 0.4),
    unloading: fc.constantFrom(0, 0.5, 1),
  });
  fc.assert(
    fc.property(cases, drawn => {
      const history = new LoadHistory({
        ...drawn,
        takeovers: [...drawn.takeovers].sort((a, b) => a - b),
      });
      history.run();
      outcome.histories += 1;
      outcome.loads += history.begins.length;
      const most = Math.floor((drawn.loadsPerS * WINDOW_MS * OVERSHOOT) / 1000 + EXTRA);
      if (mostInWindow(history.begins) > most) outcome.over += 1;
    }),
    {seed, numRuns: runs},
  );
  return outcome;
}
