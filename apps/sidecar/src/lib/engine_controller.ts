/**
 * Loads and unloads an engine's models to match the plan: one order at a time, and never more than
 * its memory holds.
 */
import {Disposer, errorMessage, type Clock, type Logger} from '@jasminepost/core';
import type {EngineClient, EngineState} from '@jasminepost/engine';
import type {ModelDeclaration} from '@jasminepost/operator';
import type {FencingTokenAllocator} from '@jasminepost/key_value';
import {MemoryLedger} from '@jasminepost/policy';
import type {SidecarMetrics} from './sidecar_metrics.ts';

const POLL_MS = 250;
/** An order that has had no effect after this time is sent again with a new fencing token. */
const RESEND_AFTER_MS = 3000;

/** @internal */
export interface ControllerContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: SidecarMetrics;
  readonly engine: EngineClient;
  readonly fencingTokens: FencingTokenAllocator;
  readonly fencing: 'honoured' | 'ignored';
  readonly maxOrderDelayMs: number;
  findModel(name: string): ModelDeclaration | undefined;
  /** Number of requests in progress for a model on this engine. */
  inProgressFor(model: string): number;
  onChange(): void;
}

/** @internal */
export class EngineController {
  state: EngineState | undefined;
  private ledger: MemoryLedger | undefined;
  private desiredModels: ReadonlySet<string> | undefined;
  private readonly adapterLastUsedMs = new Map<string, number>();
  private readonly disposer = new Disposer();
  private isReconciling = false;
  private engineIncarnation = '';
  private lastAnnounced = '';

  constructor(private readonly context: ControllerContext) {}

  start(): void {
    this.disposer.interval(POLL_MS, () => void this.reconcile());
    void this.reconcile();
  }

  dispose(): void {
    this.disposer.dispose();
  }

  /** Sets the models that the plan assigns to this replica. */
  setDesiredModels(models: readonly string[]): void {
    this.desiredModels = new Set(models);
    this.announceIfChanged();
  }

  /** Loaded models that new requests may use; excludes those that the plan has removed. */
  servingModels(): string[] {
    return this.readyItems().filter(
      item =>
        !item.includes('/') && (this.desiredModels === undefined || this.desiredModels.has(item)),
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

  /** Loads the adapter that a request needs. @returns false if it took more than `remainingMs`. */
  async prepare(model: string, adapter: string, remainingMs: number): Promise<boolean> {
    if (adapter === '') return true;
    const deadlineMs = this.context.clock.monotonicMs() + remainingMs;
    const item = `${model}/${adapter}`;
    this.adapterLastUsedMs.set(item, this.context.clock.monotonicMs());
    while (!this.readyItems().includes(item)) {
      if (this.context.clock.monotonicMs() > deadlineMs) return false;
      await this.reconcile();
      if (this.readyItems().includes(item)) break;
      await this.loadAdapter(item, model, adapter);
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    return true;
  }

  private async reconcile(): Promise<void> {
    if (this.isReconciling) return;
    this.isReconciling = true;
    try {
      await this.refreshState();
      await this.reserveFencingTokens();
      if (this.context.fencingTokens.ready) await this.sendNextOrder();
    } catch (thrown) {
      this.context.log.debug('engine reconciliation failed', {error: errorMessage(thrown)});
    } finally {
      this.isReconciling = false;
    }
  }

  private async refreshState(): Promise<void> {
    const {clock, engine} = this.context;
    const requestedMs = clock.monotonicMs();
    const state = await engine.readState();
    if (state.incarnation !== this.engineIncarnation) this.onEngineStart(state, requestedMs);
    this.state = state;
    this.ledger?.applyReport({
      items: new Map(state.items.map(item => [item.name, item.sizeMiB])),
      highestFence: state.highestFence,
      takenAfterMs: requestedMs - state.ageMs,
    });
    this.announceIfChanged();
  }

  /** A restarted engine is empty, but orders sent before the restart may still reach it. */
  private onEngineStart(state: EngineState, nowMs: number): void {
    this.engineIncarnation = state.incarnation;
    if (this.context.fencingTokens.ready) this.createLedger(state.totalMiB, nowMs);
  }

  private async reserveFencingTokens(): Promise<void> {
    const {fencingTokens, clock} = this.context;
    if (fencingTokens.ready) return;
    await fencingTokens.reserveRange();
    if (fencingTokens.ready && this.state !== undefined) {
      this.createLedger(this.state.totalMiB, clock.monotonicMs());
    }
  }

  private createLedger(totalMiB: number, nowMs: number): void {
    const {fencingTokens, fencing, maxOrderDelayMs} = this.context;
    this.ledger = new MemoryLedger(
      totalMiB,
      fencingTokens.allocate(),
      nowMs,
      fencing,
      maxOrderDelayMs,
    );
  }

  private async sendNextOrder(): Promise<void> {
    const {ledger} = this;
    if (ledger === undefined) return;
    if (!ledger.isStartSettled && this.context.fencing === 'honoured') {
      await this.sendOrder('barrier', '', 0);
      return;
    }
    if (this.desiredModels === undefined) return;
    const unload = this.nextUnload(this.desiredModels);
    if (unload !== undefined) {
      await this.sendOrder('unload', unload, 0);
      return;
    }
    await this.loadNext(this.desiredModels);
  }

  /** A model that the plan has removed and that no request uses any more. */
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
      const model = this.context.findModel(name);
      if (model === undefined || this.ledger!.residentItems().has(name)) continue;
      if (this.isPending(name, 'load')) continue;
      const sizeMiB = model.weightsMiB + model.kvFloorMiB;
      const loadCheck = this.ledger!.checkLoad(sizeMiB);
      if (loadCheck.ok) {
        await this.sendOrder('load', name, sizeMiB);
        return;
      }
      if (loadCheck.error.reason === 'no_room') await this.evictAdapter(sizeMiB);
    }
  }

  private async loadAdapter(item: string, model: string, adapter: string): Promise<void> {
    const declaration = this.context.findModel(model)?.adapters.find(a => a.name === adapter);
    if (declaration === undefined || this.ledger === undefined) return;
    if (this.isPending(item, 'load') || this.ledger.residentItems().has(item)) return;
    const loadCheck = this.ledger.checkLoad(declaration.sizeMiB);
    if (loadCheck.ok) await this.sendOrder('load', item, declaration.sizeMiB);
    else await this.evictAdapter(declaration.sizeMiB);
  }

  /** Unloads the least recently used adapter of a model without requests. */
  private async evictAdapter(neededMiB: number): Promise<void> {
    const candidates = [...this.ledger!.residentItems().keys()]
      .filter(item => item.includes('/') && !this.isPending(item, 'unload'))
      .filter(item => this.context.inProgressFor(item.split('/', 1)[0]) === 0)
      .sort((a, b) => (this.adapterLastUsedMs.get(a) ?? 0) - (this.adapterLastUsedMs.get(b) ?? 0));
    if (candidates[0] !== undefined && neededMiB > 0)
      await this.sendOrder('unload', candidates[0], 0);
  }

  /** Whether an order for the item may still take effect and is not yet due for a resend. */
  private isPending(item: string, operation: 'load' | 'unload'): boolean {
    const resendBeforeMs = this.context.clock.monotonicMs() - RESEND_AFTER_MS;
    return this.ledger!.openOrders().some(
      o => o.item === item && o.operation === operation && o.sentMs > resendBeforeMs,
    );
  }

  private async sendOrder(
    operation: 'load' | 'unload' | 'barrier',
    item: string,
    sizeMiB: number,
  ): Promise<void> {
    const {clock, engine, fencingTokens, fencing, log, metrics} = this.context;
    // An engine that ignores fencing would also execute orders of a sidecar that was replaced.
    if (fencing === 'ignored' && !(await fencingTokens.isLatest())) return;
    const fencingToken = fencingTokens.allocate();
    this.ledger!.recordOrder({
      fencingToken,
      operation,
      item,
      sizeMiB,
      sentMs: clock.monotonicMs(),
    });
    metrics.orders.increment('sent');
    try {
      const reply = await engine.sendOrder({fence: fencingToken, operation, item, sizeMiB});
      metrics.orders.increment(reply);
      log.info('order sent', {operation, item, fence: fencingToken, reply});
    } catch (thrown) {
      metrics.orders.increment('unknown');
      log.warn('order outcome unknown', {
        operation,
        item,
        fence: fencingToken,
        error: errorMessage(thrown),
      });
    }
  }

  private readyItems(): string[] {
    return (this.state?.items ?? []).filter(i => i.state === 'ready').map(i => i.name);
  }

  private announceIfChanged(): void {
    const current = JSON.stringify([this.servingModels(), this.readyAdapters(), this.state?.slots]);
    if (current === this.lastAnnounced) return;
    this.lastAnnounced = current;
    this.context.onChange();
  }
}
