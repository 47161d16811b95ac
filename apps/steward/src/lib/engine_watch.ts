/** Reads one replica's report again and again and tells the gateways what has changed. */
import type {Clock, Logger, Result} from '@jasminepost/core';
import {
  diffEngineState,
  type EngineLoadMessage,
  type EngineStateMessage,
  type MeshMessage,
} from '@jasminepost/mesh';
import type {LoadAccount} from '@jasminepost/policy';
import type {EngineReport} from '@jasminepost/serving';
import {LOAD_AUDIENCES, type LoadAudience} from './load_interest.ts';

/** Reports come from the same instance and are free but for the time to read them. */
const POLL_MS = 100;
/** Gateways hear of load this often when it changes, and at least once in the second time. */
const LOAD_TIMES: Readonly<Record<LoadAudience, {intervalMs: number; heartbeatMs: number}>> = {
  near: {intervalMs: 90, heartbeatMs: 800},
  far: {intervalMs: 380, heartbeatMs: 800},
  idle: {intervalMs: 2000, heartbeatMs: 2000},
};
/** Failed reports in a row after which the replica counts as down. */
const FAILURES_TO_DOWN = 2;

/** What gateways are taken to know before the first state. */
const NOTHING_TOLD: EngineStateMessage = {
  type: 'engine_state',
  up: false,
  leaving: false,
  limitPerS: 0,
  bornMs: 0,
  models: [],
  moving: '',
  inMemory: [],
  onDisk: [],
  term: 0,
  closed: 0,
  loadsBeganMs: [],
};

/** What an audience was told of the replica's load last. */
interface LoadTold {
  text: string;
  sentMs: number;
}

/** @internal */
export interface EngineWatchContext {
  readonly clock: Clock;
  readonly log: Logger;
  report(): Promise<Result<EngineReport, string>>;
  broadcast(message: MeshMessage): void;
  sendTo(audience: LoadAudience, message: MeshMessage): void;
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
  /** What the gateways know; a new one gets the whole state. */
  private toldState = NOTHING_TOLD;
  private toldBegins = '';
  private readonly told: Readonly<Record<LoadAudience, LoadTold>> = {
    near: {text: '', sentMs: Number.NEGATIVE_INFINITY},
    far: {text: '', sentMs: Number.NEGATIVE_INFINITY},
    idle: {text: '', sentMs: Number.NEGATIVE_INFINITY},
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
    const {beginsMs} = this.ctx.loads();
    const change = diffEngineState(this.toldState, state, String(beginsMs) !== this.toldBegins);
    if (change !== undefined) {
      this.toldState = state;
      this.toldBegins = String(beginsMs);
      this.ctx.broadcast(change);
    }
    this.publishLoad();
  }

  /** State that a new link begins with; changes that are told later build on it. */
  toldMessage(): EngineStateMessage {
    const nowMs = this.ctx.clock.monotonicMs();
    const loadsBeganMs = this.ctx.loads().beginsMs.map(atMs => atMs - nowMs);
    return {...this.toldState, loadsBeganMs};
  }

  private stateMessage(): EngineStateMessage {
    const {report, ctx} = this;
    const unloading = ctx.unloading();
    const {term, closed, beginsMs} = ctx.loads();
    const nowMs = ctx.clock.monotonicMs();
    return {
      type: 'engine_state',
      up: report !== undefined,
      leaving: report?.leaving === true,
      limitPerS: report?.limitPerS ?? 0,
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

  loadMessage(audience: LoadAudience): EngineLoadMessage {
    const {report} = this;
    return {
      type: 'engine_load',
      running: Math.round(report?.running ?? 0),
      waiting: Math.round(report?.waiting ?? 0),
      prefilling: report?.prefilling ?? 0,
      kvUsed: Math.round(report?.kvUsed ?? 0),
      kvTotal: Math.round(report?.kvTotal ?? 0),
      gateways: this.ctx.gateways(),
      nextMs: LOAD_TIMES[audience].heartbeatMs,
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
    for (const audience of LOAD_AUDIENCES) this.tellLoad(audience);
  }

  private tellLoad(audience: LoadAudience): void {
    const told = this.told[audience];
    const {intervalMs, heartbeatMs} = LOAD_TIMES[audience];
    const nowMs = this.ctx.clock.monotonicMs();
    const sinceMs = nowMs - told.sentMs;
    if (sinceMs < intervalMs) return;
    const load = this.loadMessage(audience);
    const text = JSON.stringify(load);
    if (text === told.text && sinceMs < heartbeatMs) return;
    told.text = text;
    told.sentMs = nowMs;
    this.ctx.sendTo(audience, load);
  }
}
