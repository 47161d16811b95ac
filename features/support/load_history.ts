/** Random take-overs, lost responses and late orders; checks the load limit of the weight store. */
import fc from 'fast-check';
import {WeightLoadLedger, WeightLoadRecord, type WeightStoreLimit} from '@jasminepost/policy';

export interface LoadOutcome {
  histories: number;
  /** Histories with more loads in a window than the limit allows. */
  overLimit: number;
  loads: number;
}

interface LoadCase {
  readonly seed: number;
  readonly replicas: number;
  readonly loadMs: number;
  readonly loadsPerS: number;
  /** Times at which the other planner takes over the role. */
  readonly takeovers: readonly number[];
  /** Share of orders whose response is lost. */
  readonly lost: number;
  /** Share of placements that have to wait for an unload. */
  readonly unloading: number;
}

const DURATION_MS = 40_000;
const WINDOW_MS = 5000;
const OVERSHOOT = 1.1;
const SLACK_LOADS = 3;
const PLAN_INTERVAL_MS = 150;
const PLACEMENT_VALID_MS = 4000;
const MAX_TRANSIT_MS = 50;
const MAX_LATE_MS = 5000;
const ORDER_RETRY_MS = 400;
const CLAIM_INTERVAL_MS = 400;
/** Longest time for which a replaced planner continues to plan. */
const MAX_STALE_MS = 1000;
const PLACEMENT_INTERVAL_MS = 1500;

class Steward {
  readonly record = new WeightLoadRecord();
  untilMs = 0;
  sequence = 0;
  busyUntilMs = 0;
  /** Number of the placement in progress; 0 for none. */
  currentPlacement = 0;
}

/** One direction of a link; messages arrive in the order in which they were sent. */
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

  linkTo(index: number): Link {
    return this.link(`to ${index}`);
  }

  linkFrom(index: number): Link {
    return this.link(`from ${index}`);
  }

  private link(name: string): Link {
    const link = this.links.get(name) ?? {lastMs: 0};
    this.links.set(name, link);
    return link;
  }
}

class LoadHistory {
  readonly loadStartsMs: number[] = [];
  private readonly events: Array<{readonly atMs: number; run(nowMs: number): void}> = [];
  private readonly stewards: Steward[];
  private readonly planners = [new Planner(), new Planner()];
  private state: number;

  constructor(private readonly testCase: LoadCase) {
    this.state = testCase.seed;
    this.stewards = Array.from({length: testCase.replicas}, () => new Steward());
  }

  run(): void {
    this.takeOver(0, 0, 1);
    this.testCase.takeovers.forEach((atMs, index) => {
      this.schedule(atMs, nowMs => this.takeOver((index + 1) % 2, nowMs, index + 2));
    });
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += PLAN_INTERVAL_MS) {
      this.runUntil(nowMs);
      for (const planner of this.planners) this.plan(planner, nowMs);
    }
  }

  private takeOver(index: number, nowMs: number, term: number): void {
    const planner = this.planners[index];
    this.planners[1 - index].stopMs = nowMs + MAX_STALE_MS * this.random();
    planner.stopMs = Number.POSITIVE_INFINITY;
    planner.term = term;
    planner.number = 0;
    planner.placedMs.clear();
    planner.claimedMs.clear();
    if (term > 1)
      planner.ledger.startTerm(term, nowMs + PLACEMENT_VALID_MS + MAX_LATE_MS + MAX_TRANSIT_MS);
  }

  private plan(planner: Planner, nowMs: number): void {
    if (planner.term === 0 || nowMs >= planner.stopMs) return;
    const {loadsPerS, loadMs} = this.testCase;
    const limit: WeightStoreLimit = {
      loadsPerS,
      windowS: WINDOW_MS / 1000,
      overshoot: OVERSHOOT,
      loadS: loadMs / 1000,
    };
    const replicaIds = this.stewards.map((_, index) => String(index));
    this.stewards.forEach((_, index) => {
      const {term} = planner;
      if ((planner.knownTerm.get(index) ?? 0) < term) {
        if (nowMs - (planner.claimedMs.get(index) ?? -CLAIM_INTERVAL_MS) < CLAIM_INTERVAL_MS)
          return;
        planner.claimedMs.set(index, nowMs);
        const number = ++planner.number;
        this.send(planner.linkTo(index), nowMs, arrivedMs =>
          this.claim(index, term, number, arrivedMs),
        );
        return;
      }
      if (nowMs - (planner.placedMs.get(index) ?? -PLACEMENT_INTERVAL_MS) < PLACEMENT_INTERVAL_MS)
        return;
      if (planner.ledger.availableLoads(limit, replicaIds, nowMs) < 1) return;
      const number = ++planner.number;
      planner.placedMs.set(index, nowMs);
      const latestMs = nowMs + PLACEMENT_VALID_MS + MAX_LATE_MS + MAX_TRANSIT_MS;
      planner.ledger.recordPlacement(String(index), term, number, latestMs);
      this.send(planner.linkTo(index), nowMs, arrivedMs =>
        this.place(index, term, number, arrivedMs),
      );
    });
  }

  private claim(index: number, term: number, number: number, nowMs: number): void {
    const steward = this.stewards[index];
    if (!steward.record.acceptPlacement(term, number)) return;
    steward.currentPlacement = 0;
    steward.record.closeCurrentPlacement();
    this.sendReport(index, nowMs);
  }

  private place(index: number, term: number, number: number, nowMs: number): void {
    const steward = this.stewards[index];
    if (!steward.record.acceptPlacement(term, number)) return;
    steward.currentPlacement = number;
    steward.untilMs = nowMs + PLACEMENT_VALID_MS;
    this.sendReport(index, nowMs);
    const waitMs = this.random() < this.testCase.unloading ? PLACEMENT_VALID_MS * 1.1 : 1;
    this.scheduleWithin(nowMs, waitMs, startMs => this.order(index, number, startMs));
  }

  private order(index: number, number: number, nowMs: number): void {
    const steward = this.stewards[index];
    if (steward.currentPlacement !== number) return;
    const finish = () => {
      steward.currentPlacement = 0;
      steward.record.closeCurrentPlacement();
      this.sendReport(index, nowMs);
    };
    if (nowMs > steward.untilMs) return finish();
    if (nowMs < steward.busyUntilMs) {
      this.scheduleWithin(nowMs, ORDER_RETRY_MS, retryMs => this.order(index, number, retryMs));
      return;
    }
    const {sequence} = steward;
    const execute = (atMs: number) => {
      if (steward.sequence !== sequence || atMs < steward.busyUntilMs) return;
      steward.sequence += 1;
      steward.busyUntilMs = atMs + this.testCase.loadMs;
      this.loadStartsMs.push(atMs);
    };
    steward.record.onOrderSending(nowMs);
    if (this.random() >= this.testCase.lost) {
      execute(nowMs);
      steward.record.onOrderOutcome('begun', nowMs);
      return finish();
    }
    steward.record.onOrderOutcome('unknown', nowMs);
    if (this.random() < 0.7) this.scheduleWithin(nowMs, MAX_LATE_MS, execute);
    this.sendReport(index, nowMs);
    this.schedule(nowMs + ORDER_RETRY_MS, retryMs => this.order(index, number, retryMs));
  }

  /** Sends a steward's load report to both planners. */
  private sendReport(index: number, sentMs: number): void {
    const {report} = this.stewards[index].record;
    for (const planner of this.planners) {
      this.send(planner.linkFrom(index), sentMs, nowMs => {
        const latestStartsMs = report.latestStartsMs.map(atMs => atMs + nowMs - sentMs);
        planner.ledger.applyReport(String(index), {...report, latestStartsMs});
        planner.knownTerm.set(index, report.term);
      });
    }
  }

  private send(link: Link, nowMs: number, run: (nowMs: number) => void): void {
    link.lastMs = Math.max(link.lastMs, nowMs + this.random() * MAX_TRANSIT_MS);
    this.schedule(link.lastMs, run);
  }

  private scheduleWithin(nowMs: number, withinMs: number, run: (nowMs: number) => void): void {
    this.schedule(nowMs + this.random() * withinMs, run);
  }

  private schedule(atMs: number, run: (nowMs: number) => void): void {
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

/** Most loads that started within one window. */
function maxInWindow(startsMs: readonly number[]): number {
  const sorted = [...startsMs].sort((a, b) => a - b);
  let max = 0;
  let first = 0;
  sorted.forEach((atMs, index) => {
    while (atMs - sorted[first] >= WINDOW_MS) first += 1;
    max = Math.max(max, index - first + 1);
  });
  return max;
}

/** Runs `runs` random histories generated from `seed`. */
export function runLoadHistories(runs: number, seed: number): LoadOutcome {
  const outcome: LoadOutcome = {histories: 0, overLimit: 0, loads: 0};
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
    fc.property(cases, testCase => {
      const history = new LoadHistory({
        ...testCase,
        takeovers: [...testCase.takeovers].sort((a, b) => a - b),
      });
      history.run();
      outcome.histories += 1;
      outcome.loads += history.loadStartsMs.length;
      const maxLoads = Math.floor(
        (testCase.loadsPerS * WINDOW_MS * OVERSHOOT) / 1000 + SLACK_LOADS,
      );
      if (maxInWindow(history.loadStartsMs) > maxLoads) outcome.overLimit += 1;
    }),
    {seed, numRuns: runs},
  );
  return outcome;
}
