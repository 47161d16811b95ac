/** Reads one replica's report again and again and tells the gateways what has changed. */
import type {Clock, Logger, Result} from '@jasminepost/core';
import type {EngineLoadMessage, EngineStateMessage, MeshMessage} from '@jasminepost/mesh';
import type {LoadAccount} from '@jasminepost/policy';
import type {EngineReport} from '@jasminepost/serving';

/** Reports come from the same instance and are free but for the time to read them. */
const POLL_MS = 100;
/**
 * Gateways hear of load this often when it changes, those of other availability zones less often:
 * they send less here, and bytes between zones are dear. All hear of it at least this often.
 */
const LOAD_INTERVAL_MS = 90;
const FAR_LOAD_INTERVAL_MS = 380;
const LOAD_HEARTBEAT_MS = 800;
/** Failed reports in a row after which the replica counts as down. */
const FAILURES_TO_DOWN = 2;

/** Gateways of the steward's availability zone, and those of other zones. @internal */
export type LoadAudience = 'own_zone' | 'other_zones';

/** What an audience was told of the replica's load last. */
interface LoadTold {
  readonly intervalMs: number;
  text: string;
  sentMs: number;
}

/** @internal */
export interface EngineWatchContext {
  readonly clock: Clock;
  readonly log: Logger;
  report(): Promise<Result<EngineReport, string>>;
  broadcast(message: MeshMessage): void;
  /** Sends to the gateways of this availability zone, or to all others. */
  sendToZone(where: LoadAudience, message: MeshMessage): void;
  gateways(): number;
  moving(): string;
  unloading(): string;
  /** Loads from the weight store, in this process's time. */
  loads(): LoadAccount;
  onReport(report: EngineReport): void;
  onRestart(): void;
}

/** @internal */
export class EngineWatch {
  /** Newest report; undefined while the replica does not answer. */
  report: EngineReport | undefined;
  /** The last one there was: a replica that is silent for a while may have restarted. */
  private last: EngineReport | undefined;
  private failures = 0;
  private stateText = '';
  private readonly told: Readonly<Record<LoadAudience, LoadTold>> = {
    own_zone: {intervalMs: LOAD_INTERVAL_MS, text: '', sentMs: Number.NEGATIVE_INFINITY},
    other_zones: {intervalMs: FAR_LOAD_INTERVAL_MS, text: '', sentMs: Number.NEGATIVE_INFINITY},
  };
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly ctx: EngineWatchContext) {}

  start(): void {
    void this.poll();
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  /** Reads a report now; undefined while the replica does not answer. */
  async refresh(): Promise<EngineReport | undefined> {
    const read = await this.ctx.report();
    if (read.ok) this.take(read.value);
    else this.onFailure(read.error);
    this.publish();
    return read.ok ? read.value : undefined;
  }

  /** Tells the gateways of the state if it differs from what they were told last. */
  publish(): void {
    const state = this.stateMessage();
    // Times before the sending change with every message.
    const text = JSON.stringify([{...state, loadsBeganMs: []}, this.ctx.loads().beginsMs]);
    if (text !== this.stateText) {
      this.stateText = text;
      this.ctx.broadcast(state);
    }
    this.publishLoad();
  }

  stateMessage(): EngineStateMessage {
    const {report, ctx} = this;
    const unloading = ctx.unloading();
    const {term, closed, beginsMs} = ctx.loads();
    const nowMs = ctx.clock.monotonicMs();
    return {
      type: 'engine_state',
      up: report !== undefined,
      bornMs: report?.bornMs ?? 0,
      models: (report?.models ?? [])
        .filter(model => model.name !== unloading)
        .map(({name, adapters}) => ({name, adapters: [...adapters]})),
      moving: ctx.moving(),
      inMemory: [...(report?.copies.inMemory ?? [])],
      onDisk: [...(report?.copies.onDisk ?? [])],
      term,
      closed,
      loadsBeganMs: beginsMs.map(atMs => atMs - nowMs),
    };
  }

  loadMessage(): EngineLoadMessage {
    const {report} = this;
    return {
      type: 'engine_load',
      running: Math.round(report?.running ?? 0),
      waiting: Math.round(report?.waiting ?? 0),
      prefilling: report?.prefilling ?? 0,
      kvUsed: Math.round(report?.kvUsed ?? 0),
      kvTotal: Math.round(report?.kvTotal ?? 0),
      gateways: this.ctx.gateways(),
      nextMs: LOAD_HEARTBEAT_MS,
    };
  }

  private async poll(): Promise<void> {
    await this.refresh();
    this.timer = setTimeout(() => void this.poll(), POLL_MS);
  }

  private take(report: EngineReport): void {
    const {ctx} = this;
    const before = this.last;
    if (this.report === undefined) {
      ctx.log.info('replica answers', {
        bornMs: report.bornMs,
        sequence: report.sequence,
        held: report.models.map(model => model.name),
        ...report.copies,
      });
    }
    this.failures = 0;
    const restarted =
      before !== undefined &&
      (before.bornMs !== report.bornMs || report.sequence < before.sequence);
    if (restarted) {
      ctx.log.warn('replica restarted', {bornMs: report.bornMs, before: before.bornMs});
      ctx.onRestart();
    }
    this.report = report;
    this.last = report;
    ctx.onReport(report);
  }

  private onFailure(error: string): void {
    this.failures += 1;
    if (this.failures !== FAILURES_TO_DOWN) return;
    this.ctx.log.warn('replica does not answer', {error});
    this.report = undefined;
  }

  private publishLoad(): void {
    this.tellLoad('own_zone');
    this.tellLoad('other_zones');
  }

  private tellLoad(where: LoadAudience): void {
    const told = this.told[where];
    const nowMs = this.ctx.clock.monotonicMs();
    const sinceMs = nowMs - told.sentMs;
    if (sinceMs < told.intervalMs) return;
    const load = this.loadMessage();
    const text = JSON.stringify(load);
    if (text === told.text && sinceMs < LOAD_HEARTBEAT_MS) return;
    told.text = text;
    told.sentMs = nowMs;
    this.ctx.sendToZone(where, load);
  }
}
