/** Sends orders to one replica, one at a time and within its memory and adapter slots. */
import {sleep, type Clock, type CounterFamily, type Logger} from '@jasminepost/core';
import type {FencingTokenAllocator} from '@jasminepost/key_value';
import type {PlacementMessage} from '@jasminepost/mesh';
import {
  chargedMb,
  chooseAdapterToEvict,
  WeightLoadRecord,
  type WeightLoadReport,
} from '@jasminepost/policy';
import type {EngineOrder, EngineReport, EngineSpec, OrderOutcome} from '@jasminepost/serving';

/** Dependencies of the order executor. @internal */
export interface OrderExecutorContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly orders: CounterFamily<string>;
  readonly fencingTokens: FencingTokenAllocator;
  readonly holder: string;
  sendOrder(order: EngineOrder): Promise<OrderOutcome>;
  /** Reads and publishes a fresh report; resolves to undefined when the read fails. */
  refresh(): Promise<EngineReport | undefined>;
  spec(): EngineSpec | undefined;
  replicaId(): string;
  /** Called when the move in progress or the loads from the weight store have changed. */
  onChanged(): void;
}

interface Move {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  /** Sequence number that the replica reports once it has accepted the order. */
  readonly sequence: number;
}

/** No generation waits longer than this for an adapter that has been requested. */
const ADAPTER_REQUEST_TTL_MS = 3000;
const ADAPTER_POLL_MS = 4;
const MAX_ADAPTER_POLLS = 25;
const BUSY_POLL_MS = 60;
const REFUSED_DELAY_MS = 30;

/** @internal */
export class OrderExecutor {
  /** Load or unload of a model in progress. */
  private move: Move | undefined;
  private placement: {readonly message: PlacementMessage; readonly untilMs: number} | undefined;
  private readonly loadRecord = new WeightLoadRecord();
  private readonly adapterRequests = new Map<
    string,
    {model: string; adapter: string; atMs: number}
  >();
  /** When each adapter was last requested or reported in use, by `model/adapter`. */
  private readonly used = new Map<string, number>();
  private isRunning = false;

  constructor(private readonly ctx: OrderExecutorContext) {}

  get moving(): string {
    return this.move?.model ?? '';
  }

  /** Model that must get no new requests because it is being unloaded. */
  get unloading(): string {
    return this.move?.operation === 'unload' ? this.move.model : '';
  }

  get weightStoreLoads(): WeightLoadReport {
    return this.loadRecord.report;
  }

  requestAdapter(model: string, adapter: string): void {
    const key = `${model}/${adapter}`;
    const atMs = this.ctx.clock.monotonicMs();
    this.used.set(key, atMs);
    this.adapterRequests.set(key, {model, adapter, atMs});
    void this.run();
  }

  /** Accepts a placement unless one of a later term has already been received. */
  applyPlacement(message: PlacementMessage): void {
    const {term, number, load, unload, validMs} = message;
    if (!this.loadRecord.acceptPlacement(term, number)) {
      const currentTerm = this.loadRecord.report.term;
      this.ctx.log.info('placement of an earlier term ignored', {
        term,
        known: currentTerm,
        load,
        unload,
      });
      return;
    }
    if (load === '' && unload === '') this.endPlacement();
    else this.placement = {message, untilMs: this.ctx.clock.monotonicMs() + validMs};
    this.ctx.onChanged();
    void this.run();
  }

  /** Discards the move and the placement in progress after the replica has restarted. */
  onRestart(): void {
    this.move = undefined;
    this.endPlacement();
  }

  /** Ends the move in progress when the report shows that the replica is no longer busy. */
  onReport(report: EngineReport): void {
    // A report from before the order does not reflect it.
    if (this.move === undefined || report.sequence < this.move.sequence || report.busy) return;
    const isLoaded = report.models.some(model => model.name === this.move?.model);
    const hasSucceeded = this.move.operation === 'load' ? isLoaded : !isLoaded;
    if (hasSucceeded)
      this.ctx.log.info('move completed', {...this.move, sequence: report.sequence});
    this.move = undefined;
    this.ctx.onChanged();
  }

  /** Ends the current placement. */
  private endPlacement(): void {
    this.placement = undefined;
    this.loadRecord.closeCurrentPlacement();
  }

  private async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      while (await this.step());
    } finally {
      this.isRunning = false;
    }
  }

  /** Sends at most one order; resolves to false when nothing is left to do. */
  private async step(): Promise<boolean> {
    this.dropExpired();
    if (this.adapterRequests.size === 0 && this.placement === undefined) return false;
    const spec = this.ctx.spec();
    if (spec === undefined || !this.ctx.fencingTokens.ready)
      return this.delayNextStep(BUSY_POLL_MS);
    const report = await this.ctx.refresh();
    if (report === undefined) return this.delayNextStep(BUSY_POLL_MS);
    if (report.leaving) {
      this.endPlacement();
      this.adapterRequests.clear();
      return false;
    }
    // The replica refuses all orders while it loads or unloads a model.
    if (report.busy) return this.delayNextStep(BUSY_POLL_MS);
    if (await this.handleAdapterRequests(report, spec)) return true;
    if (this.placement === undefined)
      return this.adapterRequests.size > 0 && this.delayNextStep(BUSY_POLL_MS);
    if (this.move !== undefined) return this.delayNextStep(BUSY_POLL_MS);
    return this.handlePlacement(this.placement.message, report, spec);
  }

  /** Sends one order for a requested adapter; resolves to false when none can be sent now. */
  private async handleAdapterRequests(report: EngineReport, spec: EngineSpec): Promise<boolean> {
    for (const [key, {model, adapter}] of this.adapterRequests) {
      const loadedModel = report.models.find(found => found.name === model);
      const isLoaded = loadedModel?.adapters.includes(adapter) === true;
      if (loadedModel === undefined || isLoaded || model === this.unloading) {
        this.adapterRequests.delete(key);
        continue;
      }
      if (report.incoming.includes(key)) continue;
      const sizeMb = spec.models.get(model)?.adapterMb ?? 0;
      const adapters = loadedAdapters(report);
      const lacksSlot = adapters.length + report.incoming.length >= spec.adapterSlots;
      const lacksMemory = chargedMb(report, spec, this.moving) + sizeMb > spec.weightsMb;
      if (!lacksSlot && !lacksMemory) {
        await this.sendOrder(report, 'load', model, adapter);
        await this.awaitAdapter(key);
        return true;
      }
      const evicted = chooseAdapterToEvict(adapters, this.used, this.ctx.clock.monotonicMs());
      if (evicted === undefined) continue;
      const separator = evicted.indexOf('/');
      await this.sendOrder(
        report,
        'unload',
        evicted.slice(0, separator),
        evicted.slice(separator + 1),
      );
      return true;
    }
    return false;
  }

  private async handlePlacement(
    message: PlacementMessage,
    report: EngineReport,
    spec: EngineSpec,
  ): Promise<boolean> {
    const isLoaded = (name: string) => report.models.some(model => model.name === name);
    if (message.unload !== '' && isLoaded(message.unload)) {
      await this.sendMoveOrder(report, 'unload', message.unload);
      return true;
    }
    const {load} = message;
    const sizeMb = spec.models.get(load)?.weightsMb;
    if (load === '' || isLoaded(load) || sizeMb === undefined) {
      this.endPlacement();
      this.ctx.onChanged();
      return true;
    }
    const hasLocalCopy = [...report.copies.inMemory, ...report.copies.onDisk].includes(load);
    const chargedSizeMb = chargedMb(report, spec, '');
    if (chargedSizeMb + sizeMb > spec.weightsMb || (!hasLocalCopy && !message.fromStore)) {
      this.ctx.log.info('placement dropped', {
        load,
        charged: chargedSizeMb,
        size: sizeMb,
        onReplica: hasLocalCopy,
        term: message.term,
      });
      this.endPlacement();
      this.ctx.onChanged();
      return true;
    }
    const {placement} = this;
    if (!hasLocalCopy) this.loadRecord.onOrderSending(this.ctx.clock.monotonicMs());
    const outcome = await this.sendMoveOrder(report, 'load', load);
    if (!hasLocalCopy)
      this.loadRecord.onOrderOutcome(loadResultOf(outcome), this.ctx.clock.monotonicMs());
    // A newer placement may have arrived meanwhile.
    const isDone = outcome.kind === 'accepted' || outcome.kind === 'already_holds';
    if (isDone && this.placement === placement) this.endPlacement();
    this.ctx.onChanged();
    return true;
  }

  private async sendMoveOrder(
    report: EngineReport,
    operation: 'load' | 'unload',
    model: string,
  ): Promise<OrderOutcome> {
    this.move = {operation, model, sequence: report.sequence + 1};
    this.ctx.onChanged();
    const outcome = await this.sendOrder(report, operation, model, '');
    if (outcome.kind === 'accepted') return outcome;
    this.move = undefined;
    this.ctx.onChanged();
    return outcome;
  }

  private async sendOrder(
    report: EngineReport,
    operation: 'load' | 'unload',
    model: string,
    adapter: string,
  ): Promise<OrderOutcome> {
    const {ctx} = this;
    const order: EngineOrder = {
      operation,
      model,
      adapter,
      // An order that is delivered late finds another sequence number and has no effect.
      expectedSequence: report.sequence,
      holder: ctx.holder,
      fencingToken: ctx.fencingTokens.allocate(),
      replicaId: ctx.replicaId(),
    };
    const outcome = await ctx.sendOrder(order);
    ctx.orders.increment(outcome.kind);
    ctx.log.info('order', {...order, outcome: outcome.kind, ...outcomeDetails(outcome)});
    if (outcome.kind === 'refused') await sleep(REFUSED_DELAY_MS);
    return outcome;
  }

  /** Polls at a short interval until the adapter is loaded, because a request waits for it. */
  private async awaitAdapter(key: string): Promise<void> {
    for (let i = 0; i < MAX_ADAPTER_POLLS; i++) {
      const report = await this.ctx.refresh();
      if (report === undefined || !report.incoming.includes(key)) return;
      await sleep(ADAPTER_POLL_MS);
    }
  }

  private dropExpired(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    for (const [key, {atMs}] of this.adapterRequests) {
      if (nowMs - atMs > ADAPTER_REQUEST_TTL_MS) this.adapterRequests.delete(key);
    }
    if (this.placement !== undefined && nowMs > this.placement.untilMs) {
      const {load, unload, term} = this.placement.message;
      this.ctx.log.info('placement expired', {load, unload, term});
      this.endPlacement();
      this.ctx.onChanged();
    }
  }

  /** Resolves to true after the delay, so that `run` continues with the next step. */
  private async delayNextStep(delayMs: number): Promise<boolean> {
    await sleep(delayMs);
    return true;
  }
}

function loadedAdapters(report: EngineReport): string[] {
  return report.models.flatMap(({name, adapters}) => adapters.map(adapter => `${name}/${adapter}`));
}

function loadResultOf({kind}: OrderOutcome): 'begun' | 'refused' | 'unknown' {
  if (kind === 'accepted') return 'begun';
  return kind === 'unknown' ? 'unknown' : 'refused';
}

function outcomeDetails(outcome: OrderOutcome): object {
  if (outcome.kind === 'refused') return {status: outcome.status};
  return outcome.kind === 'unknown' ? {error: outcome.error} : {};
}
