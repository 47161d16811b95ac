/** Polls the replica's report and publishes what has changed to the gateways. */
import type {Clock, Logger, Result} from '@jasminepost/core';
import {
  diffEngineState,
  type EngineLoadMessage,
  type EngineStateMessage,
  type MeshMessage,
} from '@jasminepost/mesh';
import type {WeightLoadReport} from '@jasminepost/policy';
import type {EngineReport} from '@jasminepost/serving';
import {LOAD_AUDIENCES, type LoadAudience} from './load_subscriptions.ts';

/** Reports come from the same instance, so a poll costs only the time to read one. */
const POLL_MS = 100;
/** Minimum interval between load messages, and the interval at which unchanged load is resent. */
const LOAD_PUBLISH_INTERVALS: Readonly<
  Record<LoadAudience, {intervalMs: number; heartbeatMs: number}>
> = {
  near: {intervalMs: 90, heartbeatMs: 800},
  far: {intervalMs: 380, heartbeatMs: 800},
  idle: {intervalMs: 2000, heartbeatMs: 2000},
};
/** Number of consecutive failed polls after which the replica counts as down. */
const DOWN_AFTER_FAILURES = 2;

/** State against which the first change is computed. */
const INITIAL_STATE: EngineStateMessage = {
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

/** Last load message sent to an audience. */
interface PublishedLoad {
  text: string;
  sentMs: number;
}

/** @internal */
export interface EngineMonitorContext {
  readonly clock: Clock;
  readonly log: Logger;
  readReport(): Promise<Result<EngineReport, string>>;
  broadcast(message: MeshMessage): void;
  broadcastTo(audience: LoadAudience, message: MeshMessage): void;
  gateways(): number;
  moving(): string;
  unloading(): string;
  /** Loads from the weight store, with times of this process's clock. */
  weightStoreLoads(): WeightLoadReport;
  onReport(report: EngineReport): void;
  onRestart(): void;
}

/** @internal */
export class EngineMonitor {
  /** Latest report; undefined while the replica is down. */
  report: EngineReport | undefined;
  /** Last report received, kept while the replica is down in order to detect a restart. */
  private lastReport: EngineReport | undefined;
  private failures = 0;
  /** State published last; a newly linked gateway gets it as a whole. */
  private publishedState = INITIAL_STATE;
  private publishedLoadTimes = '';
  private readonly publishedLoads: Readonly<Record<LoadAudience, PublishedLoad>> = {
    near: {text: '', sentMs: Number.NEGATIVE_INFINITY},
    far: {text: '', sentMs: Number.NEGATIVE_INFINITY},
    idle: {text: '', sentMs: Number.NEGATIVE_INFINITY},
  };
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly ctx: EngineMonitorContext) {}

  start(): void {
    void this.poll();
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  /** Reads and publishes a report now; resolves to undefined when the read fails. */
  async refresh(): Promise<EngineReport | undefined> {
    const read = await this.ctx.readReport();
    if (read.ok) this.applyReport(read.value);
    else this.onReadFailure(read.error);
    this.publish();
    return read.ok ? read.value : undefined;
  }

  /** Sends the gateways what has changed in the state since it was last published, and the load. */
  publish(): void {
    const state = this.currentStateMessage();
    const {latestStartsMs: loadStartsMs} = this.ctx.weightStoreLoads();
    const change = diffEngineState(
      this.publishedState,
      state,
      String(loadStartsMs) !== this.publishedLoadTimes,
    );
    if (change !== undefined) {
      this.publishedState = state;
      this.publishedLoadTimes = String(loadStartsMs);
      this.ctx.broadcast(change);
    }
    this.publishLoads();
  }

  /** Full state to send over a new link; later change messages are relative to it. */
  publishedStateMessage(): EngineStateMessage {
    const nowMs = this.ctx.clock.monotonicMs();
    const loadsBeganMs = this.ctx.weightStoreLoads().latestStartsMs.map(atMs => atMs - nowMs);
    return {...this.publishedState, loadsBeganMs};
  }

  private currentStateMessage(): EngineStateMessage {
    const {report, ctx} = this;
    const unloading = ctx.unloading();
    const {term, closed, latestStartsMs: loadStartsMs} = ctx.weightStoreLoads();
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
      loadsBeganMs: loadStartsMs.map(atMs => atMs - nowMs),
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
      nextMs: LOAD_PUBLISH_INTERVALS[audience].heartbeatMs,
    };
  }

  private async poll(): Promise<void> {
    await this.refresh();
    this.timer = setTimeout(() => void this.poll(), POLL_MS);
  }

  private applyReport(report: EngineReport): void {
    const {ctx} = this;
    const previous = this.lastReport;
    if (this.report === undefined) {
      ctx.log.info('replica reachable', {
        bornMs: report.bornMs,
        sequence: report.sequence,
        held: report.models.map(model => model.name),
        ...report.copies,
      });
    }
    this.failures = 0;
    const restarted =
      previous !== undefined &&
      (previous.bornMs !== report.bornMs || report.sequence < previous.sequence);
    if (restarted) {
      ctx.log.warn('replica restarted', {bornMs: report.bornMs, before: previous.bornMs});
      ctx.onRestart();
    }
    this.report = report;
    this.lastReport = report;
    ctx.onReport(report);
  }

  private onReadFailure(error: string): void {
    this.failures += 1;
    if (this.failures !== DOWN_AFTER_FAILURES) return;
    this.ctx.log.warn('replica unreachable', {error});
    this.report = undefined;
  }

  private publishLoads(): void {
    for (const audience of LOAD_AUDIENCES) this.publishLoad(audience);
  }

  private publishLoad(audience: LoadAudience): void {
    const published = this.publishedLoads[audience];
    const {intervalMs, heartbeatMs} = LOAD_PUBLISH_INTERVALS[audience];
    const nowMs = this.ctx.clock.monotonicMs();
    const elapsedMs = nowMs - published.sentMs;
    if (elapsedMs < intervalMs) return;
    const load = this.loadMessage(audience);
    const text = JSON.stringify(load);
    if (text === published.text && elapsedMs < heartbeatMs) return;
    published.text = text;
    published.sentMs = nowMs;
    this.ctx.broadcastTo(audience, load);
  }
}
