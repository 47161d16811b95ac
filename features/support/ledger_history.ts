/** Random orders, delays and restarts between a sidecar's memory ledger and a fake engine. */
import fc from 'fast-check';
import {MemoryLedger, type EngineResidency, type OrderRecord} from '@jasminepost/policy';

const TOTAL_MIB = 100;
const MAX_DELAY_MS = 50;
const ITEMS = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
const SIZES_MIB = [30, 45, 60, 25, 50, 40] as const;

/** Safeguard of the ledger that a history can disable, to show that the check finds its absence. */
export type Mechanism = 'none' | 'open orders' | 'settled start';

interface Delivery {
  readonly atMs: number;
  readonly order: OrderRecord;
}

type HistoryStep =
  | {readonly kind: 'order'; readonly item: number; readonly fate: 'sent' | 'lost' | 'doubled'}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'report'; readonly lagMs: number}
  | {readonly kind: 'restart'};

export interface LedgerOutcome {
  overcommits: number;
  loads: number;
}

const stepArbitrary: fc.Arbitrary<HistoryStep & {readonly delayMs: number}> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('order' as const),
      item: fc.nat(ITEMS.length - 1),
      fate: fc.constantFrom('sent' as const, 'sent' as const, 'lost' as const, 'doubled' as const),
      delayMs: fc.nat(MAX_DELAY_MS - 1),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.nat(40),
      delayMs: fc.constant(0),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('report' as const),
      lagMs: fc.nat(10),
      delayMs: fc.constant(0),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      delayMs: fc.nat(MAX_DELAY_MS - 1),
    }),
  },
);

/** Applies orders in order of arrival; ignores stale fencing tokens only if it honours fencing. */
class FakeEngine {
  readonly items = new Map<string, number>();
  highestFence = 0;
  overcommits = 0;
  loads = 0;
  private readonly pastReports: Array<EngineResidency> = [];

  constructor(private readonly honoursFencing: boolean) {}

  apply(order: OrderRecord): void {
    if (this.honoursFencing && order.fencingToken <= this.highestFence) return;
    this.highestFence = Math.max(this.highestFence, order.fencingToken);
    if (order.operation === 'unload') this.items.delete(order.item);
    if (order.operation !== 'load' || this.items.has(order.item)) return;
    this.items.set(order.item, order.sizeMiB);
    this.loads += 1;
    let used = 0;
    for (const sizeMiB of this.items.values()) used += sizeMiB;
    if (used > TOTAL_MIB) this.overcommits += 1;
  }

  record(nowMs: number): void {
    const {highestFence} = this;
    this.pastReports.push({items: new Map(this.items), highestFence, takenAfterMs: nowMs});
  }

  /** Latest report taken at `timeMs` or earlier. */
  reportAt(timeMs: number): EngineResidency {
    const older = this.pastReports.filter(report => report.takenAfterMs <= timeMs);
    return older[older.length - 1] ?? this.pastReports[0];
  }
}

/** A series of sidecar incarnations in front of one engine. */
class History {
  readonly engine: FakeEngine;
  private nowMs = 0;
  private epoch = 0;
  private nextFencingToken = 0;
  private deliveries: Delivery[] = [];
  private ledger!: MemoryLedger;

  constructor(
    private readonly fencing: 'honoured' | 'ignored',
    private readonly disabled: Mechanism,
  ) {
    this.engine = new FakeEngine(fencing === 'honoured');
    this.restart(0);
  }

  run(step: HistoryStep & {readonly delayMs: number}): void {
    switch (step.kind) {
      case 'order':
        this.order(step.item, step.fate, step.delayMs);
        break;
      case 'wait':
        this.advance(step.ms);
        break;
      case 'report':
        this.ledger.applyReport(this.engine.reportAt(this.nowMs - step.lagMs));
        this.sendBarrier(0);
        break;
      case 'restart':
        this.restart(step.delayMs);
    }
    this.advance(1);
  }

  private restart(barrierDelayMs: number): void {
    this.epoch += 1;
    this.nextFencingToken = this.epoch * 1000;
    const startToken = this.nextFencingToken++;
    const skipsSettling = this.disabled === 'settled start';
    this.ledger = new MemoryLedger(
      TOTAL_MIB,
      skipsSettling ? 0 : startToken,
      skipsSettling ? Number.NEGATIVE_INFINITY : this.nowMs,
      this.fencing,
      MAX_DELAY_MS,
    );
    this.engine.record(this.nowMs);
    if (skipsSettling) this.ledger.applyReport(this.engine.reportAt(this.nowMs));
    this.sendBarrier(barrierDelayMs);
  }

  private sendBarrier(delayMs: number): void {
    if (this.fencing === 'ignored' || this.ledger.isStartSettled) return;
    this.send('barrier', '', 0, 'sent', delayMs, this.nextFencingToken++);
  }

  private order(index: number, fate: 'sent' | 'lost' | 'doubled', delayMs: number): void {
    const item = ITEMS[index];
    const sizeMiB = SIZES_MIB[index];
    if (this.ledger.residentItems().has(item)) {
      this.send('unload', item, 0, fate, delayMs, this.nextFencingToken++);
    } else if (this.ledger.checkLoad(sizeMiB).ok) {
      this.send('load', item, sizeMiB, fate, delayMs, this.nextFencingToken++);
    }
  }

  private send(
    operation: OrderRecord['operation'],
    item: string,
    sizeMiB: number,
    fate: 'sent' | 'lost' | 'doubled',
    delayMs: number,
    fencingToken: number,
  ): void {
    const order = {fencingToken, operation, item, sizeMiB, sentMs: this.nowMs};
    if (this.disabled !== 'open orders') this.ledger.recordOrder(order);
    if (fate !== 'lost') this.deliveries.push({atMs: this.nowMs + delayMs, order});
    if (fate === 'doubled') this.deliveries.push({atMs: this.nowMs + MAX_DELAY_MS - 1, order});
  }

  private advance(ms: number): void {
    this.nowMs += ms;
    const due = this.deliveries.filter(delivery => delivery.atMs <= this.nowMs);
    this.deliveries = this.deliveries.filter(delivery => delivery.atMs > this.nowMs);
    due.sort((a, b) => a.atMs - b.atMs);
    for (const delivery of due) this.engine.apply(delivery.order);
    this.engine.record(this.nowMs);
  }
}

/** Runs random histories from a fixed seed and sums their outcomes. */
export function runLedgerHistories(
  runs: number,
  steps: number,
  seed: number,
  fencing: 'honoured' | 'ignored',
  disabled: Mechanism,
): LedgerOutcome {
  const outcome: LedgerOutcome = {overcommits: 0, loads: 0};
  const histories = fc.array(stepArbitrary, {minLength: steps, maxLength: steps});
  fc.assert(
    fc.property(histories, history => {
      const ledgerHistory = new History(fencing, disabled);
      for (const step of history) ledgerHistory.run(step);
      outcome.overcommits += ledgerHistory.engine.overcommits;
      outcome.loads += ledgerHistory.engine.loads;
    }),
    {numRuns: runs, seed},
  );
  return outcome;
}
