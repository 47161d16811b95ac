/** Brings an engine in line with the plan, one order at a time, within its memory. */
import {Disposer, errorMessage, type Clock, type Logger} from '@jasminepost/core';
import type {EngineClient, EngineState} from '@jasminepost/engine';
import type {ModelDeclaration} from '@jasminepost/operator';
import type {FencingTokenAllocator} from '@jasminepost/key_value';
import {MemoryLedger} from '@jasminepost/policy';
import type {SidecarMetrics} from './sidecar_metrics.ts';

const POLL_MS = 250;
/** An order without effect after this long is sent again under a new number. */
const RESEND_AFTER_MS = 3000;

/** @internal */
export interface StewardContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: SidecarMetrics;
  readonly engine: EngineClient;
  readonly fences: FencingTokenAllocator;
  readonly fencing: 'honoured' | 'ignored';
  readonly maxOrderDelayMs: number;
  modelOf(name: string): ModelDeclaration | undefined;
  /** Requests in progress for a model here. */
  inProgressFor(model: string): number;
  onChange(): void;
}

/** @internal */
export class EngineSteward {
  state: EngineState | undefined;
  private ledger: MemoryLedger | undefined;
  private desired: ReadonlySet<string> | undefined;
  private readonly adapterUse = new Map<string, number>();
  private readonly disposer = new Disposer();
  private busy = false;
  private engineIncarnation = '';
  private served = '';

  constructor(private readonly context: StewardContext) {}

  start(): void {
    this.disposer.interval(POLL_MS, () => void this.step());
    void this.step();
  }

  dispose(): void {
    this.disposer.dispose();
  }

  /** Takes in this replica's part of the plan. */
  setDesired(models: readonly string[]): void {
    this.desired = new Set(models);
    this.announceIfChanged();
  }

  /** Models that new requests may use; one that the plan has dropped takes no more. */
  servingModels(): string[] {
    return this.readyItems().filter(
      item => !item.includes('/') && (this.desired === undefined || this.desired.has(item)),
    );
  }

  readyAdapters(): string[] {
    return this.readyItems().filter(item => item.includes('/'));
  }

  isServing(model: string): boolean {
    return this.servingModels().includes(model);
  }

  chargedMiB(): number {
    return this.ledger?.chargedMiB() ?? 0;
  }

  /** Makes what a request needs resident; false when that takes longer than `remainingMs`. */
  async prepare(model: string, adapter: string, remainingMs: number): Promise<boolean> {
    if (adapter === '') return true;
    const deadlineMs = this.context.clock.monotonicMs() + remainingMs;
    const item = `${model}/${adapter}`;
    this.adapterUse.set(item, this.context.clock.monotonicMs());
    while (!this.readyItems().includes(item)) {
      if (this.context.clock.monotonicMs() > deadlineMs) return false;
      await this.step();
      if (this.readyItems().includes(item)) break;
      await this.loadAdapter(item, model, adapter);
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    return true;
  }

  private async step(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      await this.refresh();
      await this.takeFence();
      if (this.context.fences.ready) await this.act();
    } catch (thrown) {
      this.context.log.debug('engine step failed', {error: errorMessage(thrown)});
    } finally {
      this.busy = false;
    }
  }

  private async refresh(): Promise<void> {
    const {clock, engine} = this.context;
    const askedMs = clock.monotonicMs();
    const state = await engine.readState();
    if (state.incarnation !== this.engineIncarnation) this.onEngineStart(state, askedMs);
    this.state = state;
    this.ledger?.applyReport({
      items: new Map(state.items.map(item => [item.name, item.sizeMiB])),
      highestFence: state.highestFence,
      takenAfterMs: askedMs - state.ageMs,
    });
    this.announceIfChanged();
  }

  /** A restarted engine is empty, but orders to its predecessor may still reach it. */
  private onEngineStart(state: EngineState, nowMs: number): void {
    this.engineIncarnation = state.incarnation;
    if (this.context.fences.ready) this.newLedger(state.totalMiB, nowMs);
  }

  private async takeFence(): Promise<void> {
    const {fences, clock} = this.context;
    if (fences.ready) return;
    await fences.reserveRange();
    if (fences.ready && this.state !== undefined) {
      this.newLedger(this.state.totalMiB, clock.monotonicMs());
    }
  }

  private newLedger(totalMiB: number, nowMs: number): void {
    const {fences, fencing, maxOrderDelayMs} = this.context;
    this.ledger = new MemoryLedger(totalMiB, fences.allocate(), nowMs, fencing, maxOrderDelayMs);
  }

  private async act(): Promise<void> {
    const {ledger} = this;
    if (ledger === undefined) return;
    if (!ledger.isStartSettled && this.context.fencing === 'honoured') {
      await this.order('barrier', '', 0);
      return;
    }
    if (this.desired === undefined) return;
    const unload = this.nextUnload(this.desired);
    if (unload !== undefined) {
      await this.order('unload', unload, 0);
      return;
    }
    await this.loadNext(this.desired);
  }

  /** A dropped model whose last request has ended. */
  private nextUnload(desired: ReadonlySet<string>): string | undefined {
    for (const item of this.ledger!.residentItems().keys()) {
      const model = item.split('/', 1)[0];
      if (desired.has(model) || this.isPending(item, 'unload')) continue;
      if (this.context.inProgressFor(model) === 0) return item;
    }
    return undefined;
  }

  private async loadNext(desired: ReadonlySet<string>): Promise<void> {
    for (const name of desired) {
      const model = this.context.modelOf(name);
      if (model === undefined || this.ledger!.residentItems().has(name)) continue;
      if (this.isPending(name, 'load')) continue;
      const sizeMiB = model.weightsMiB + model.kvFloorMiB;
      const fits = this.ledger!.checkLoad(sizeMiB);
      if (fits.ok) {
        await this.order('load', name, sizeMiB);
        return;
      }
      if (fits.error.reason === 'no_room') await this.evictAdapter(sizeMiB);
    }
  }

  private async loadAdapter(item: string, model: string, adapter: string): Promise<void> {
    const declared = this.context.modelOf(model)?.adapters.find(a => a.name === adapter);
    if (declared === undefined || this.ledger === undefined) return;
    if (this.isPending(item, 'load') || this.ledger.residentItems().has(item)) return;
    const fits = this.ledger.checkLoad(declared.sizeMiB);
    if (fits.ok) await this.order('load', item, declared.sizeMiB);
    else await this.evictAdapter(declared.sizeMiB);
  }

  /** Unloads the adapter that has gone unused longest. */
  private async evictAdapter(wantedMiB: number): Promise<void> {
    const idle = [...this.ledger!.residentItems().keys()]
      .filter(item => item.includes('/') && !this.isPending(item, 'unload'))
      .filter(item => this.context.inProgressFor(item.split('/', 1)[0]) === 0)
      .sort((a, b) => (this.adapterUse.get(a) ?? 0) - (this.adapterUse.get(b) ?? 0));
    if (idle[0] !== undefined && wantedMiB > 0) await this.order('unload', idle[0], 0);
  }

  /** True while an order for the item may still take effect and is not overdue. */
  private isPending(item: string, operation: 'load' | 'unload'): boolean {
    const overdueMs = this.context.clock.monotonicMs() - RESEND_AFTER_MS;
    return this.ledger!.openOrders().some(
      o => o.item === item && o.operation === operation && o.sentMs > overdueMs,
    );
  }

  private async order(
    operation: 'load' | 'unload' | 'barrier',
    item: string,
    sizeMiB: number,
  ): Promise<void> {
    const {clock, engine, fences, fencing, log, metrics} = this.context;
    // An engine that ignores fencing would take an order from a sidecar that was replaced.
    if (fencing === 'ignored' && !(await fences.isLatest())) return;
    const fence = fences.allocate();
    this.ledger!.recordOrder({
      fencingToken: fence,
      operation,
      item,
      sizeMiB,
      sentMs: clock.monotonicMs(),
    });
    metrics.orders.increment('sent');
    try {
      const reply = await engine.sendOrder({fence, operation, item, sizeMiB});
      metrics.orders.increment(reply);
      log.info('order sent', {operation, item, fence, reply});
    } catch (thrown) {
      metrics.orders.increment('unknown');
      log.warn('order outcome unknown', {operation, item, fence, error: errorMessage(thrown)});
    }
  }

  private readyItems(): string[] {
    return (this.state?.items ?? []).filter(i => i.state === 'ready').map(i => i.name);
  }

  private announceIfChanged(): void {
    const served = JSON.stringify([this.servingModels(), this.readyAdapters(), this.state?.slots]);
    if (served === this.served) return;
    this.served = served;
    this.context.onChange();
  }
}
