/**
 * Upper bound on an engine's memory use, maintained by its sidecar.
 *
 * Every order stays open until it can no longer take effect. An item is charged while the newest
 * report contains it, or while an open order could still load it. So a lost, late or duplicated
 * order never makes memory look free that is not.
 */
import {err, ok, type Result} from '@jasminepost/core';

/** @public */
export type OrderOperation = 'load' | 'unload' | 'barrier';

/** One order sent to an engine. @public */
export interface OrderRecord {
  readonly fencingToken: number;
  readonly operation: OrderOperation;
  /** Model, or `model/adapter`; empty for a barrier. */
  readonly item: string;
  readonly sizeMiB: number;
  readonly sentMs: number;
}

/** Items that an engine reports as resident. @public */
export interface EngineResidency {
  readonly items: ReadonlyMap<string, number>;
  /** Largest fencing token that the engine has accepted. */
  readonly highestFence: number;
  /** Monotonic time after which the engine certainly made the report. */
  readonly takenAfterMs: number;
}

/** @public */
export interface LedgerRefusal {
  readonly reason: 'no_room' | 'unsettled_start';
  readonly chargedMiB: number;
  readonly totalMiB: number;
}

/** @public */
export class MemoryLedger {
  private readonly open: OrderRecord[] = [];
  private residency: EngineResidency | undefined;
  private startSettled = false;

  /**
   * @param startFence - Fencing token; orders of earlier sidecars carry smaller ones.
   * @param maxOrderDelayMs - Longest time that an order can be in flight.
   */
  constructor(
    private readonly totalMiB: number,
    private readonly startFence: number,
    private readonly startedMs: number,
    private readonly fencing: 'honoured' | 'ignored',
    private readonly maxOrderDelayMs: number,
  ) {}

  /** Items in the newest report. */
  residentItems(): ReadonlyMap<string, number> {
    return this.residency?.items ?? new Map<string, number>();
  }

  /** False while an order of an earlier sidecar can still take effect. */
  get isStartSettled(): boolean {
    return this.startSettled;
  }

  /** Most memory that the engine can be using now or after any open orders. */
  chargedMiB(): number {
    const charges = new Map(this.residentItems());
    for (const order of this.open) {
      if (order.operation !== 'load') continue;
      charges.set(order.item, Math.max(order.sizeMiB, charges.get(order.item) ?? 0));
    }
    let total = 0;
    for (const sizeMiB of charges.values()) total += sizeMiB;
    return total;
  }

  /** Checks that a load fits in addition to everything that is or may become resident. */
  checkLoad(sizeMiB: number): Result<void, LedgerRefusal> {
    const chargedMiB = this.chargedMiB();
    if (!this.startSettled) return this.refuse('unsettled_start', chargedMiB);
    if (chargedMiB + sizeMiB > this.totalMiB) return this.refuse('no_room', chargedMiB);
    return ok(undefined);
  }

  /** Records an order before it is sent. */
  recordOrder(order: OrderRecord): void {
    this.open.push(order);
  }

  /** Applies a report; one older than the newest is ignored. */
  applyReport(report: EngineResidency): void {
    if (this.residency !== undefined && report.takenAfterMs < this.residency.takenAfterMs) return;
    this.residency = report;
    this.startSettled ||= this.isSettled(this.startFence, this.startedMs, report);
    for (let index = this.open.length - 1; index >= 0; index--) {
      const order = this.open[index];
      if (this.isSettled(order.fencingToken, order.sentMs, report)) this.open.splice(index, 1);
    }
  }

  /** Orders that may still take effect. */
  openOrders(): readonly OrderRecord[] {
    return this.open;
  }

  /** True when an order can no longer change the engine's state after the report. */
  private isSettled(fencingToken: number, sentMs: number, report: EngineResidency): boolean {
    if (this.fencing === 'honoured') return report.highestFence >= fencingToken;
    return report.takenAfterMs > sentMs + this.maxOrderDelayMs;
  }

  private refuse(reason: LedgerRefusal['reason'], chargedMiB: number): Result<void, LedgerRefusal> {
    return err({reason, chargedMiB, totalMiB: this.totalMiB});
  }
}
