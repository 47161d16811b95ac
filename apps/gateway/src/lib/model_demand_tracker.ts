/** Tracks the demand for each model, as reported to the planner by all gateways. */
import type {ModelDemandMessage} from '@jasminepost/mesh';

/** Time constant of the exponential decay, after which two thirds of a change have taken effect. */
const DECAY_TIME_MS = 2000;
const NEVER = Number.NEGATIVE_INFINITY;

/** @internal */
export interface ModelDemandReading {
  /** Number of replicas that the demand would keep busy with prefill. */
  readonly load: number;
  readonly lastRequestMs: number;
  readonly lastUrgentRequestMs: number;
  readonly waiting: number;
}

interface DemandRecord {
  /** Prefill time requested per unit of time, with exponential decay. */
  load: number;
  atMs: number;
  lastRequestMs: number;
  /** Time of the last request that was not delay-tolerant. */
  lastUrgentRequestMs: number;
  /** Number of waiting requests, by gateway. */
  readonly waiting: Map<string, number>;
}

/** @internal */
export class ModelDemandTracker {
  private readonly records = new Map<string, DemandRecord>();
  private firstReportMs: number | undefined;

  record(gateway: string, message: ModelDemandMessage, nowMs: number): void {
    const reportedModels = new Set(message.models.map(model => model.name));
    for (const [name, record] of this.records) {
      if (!reportedModels.has(name)) record.waiting.delete(gateway);
    }
    for (const {name, requests, urgent, prefillMs, waiting} of message.models) {
      const record = this.recordFor(name, nowMs);
      this.firstReportMs ??= nowMs;
      decay(record, nowMs);
      record.load += prefillMs / DECAY_TIME_MS;
      if (requests > 0) record.lastRequestMs = nowMs;
      if (urgent > 0) record.lastUrgentRequestMs = nowMs;
      record.waiting.set(gateway, waiting);
    }
  }

  /** Time since any gateway first reported a request; 0 before that. */
  trafficMs(nowMs: number): number {
    return this.firstReportMs === undefined ? 0 : nowMs - this.firstReportMs;
  }

  /** Current demand for a model, named as `service/model`. */
  demandFor(name: string, nowMs: number): ModelDemandReading {
    const record = this.records.get(name);
    if (record === undefined)
      return {load: 0, lastRequestMs: NEVER, lastUrgentRequestMs: NEVER, waiting: 0};
    decay(record, nowMs);
    let waiting = 0;
    for (const count of record.waiting.values()) waiting += count;
    const {load, lastRequestMs, lastUrgentRequestMs} = record;
    return {load, lastRequestMs, lastUrgentRequestMs, waiting};
  }

  private recordFor(name: string, nowMs: number): DemandRecord {
    const existing = this.records.get(name);
    if (existing !== undefined) return existing;
    const record = {
      load: 0,
      atMs: nowMs,
      lastRequestMs: NEVER,
      lastUrgentRequestMs: NEVER,
      waiting: new Map<string, number>(),
    };
    this.records.set(name, record);
    return record;
  }
}

function decay(record: DemandRecord, nowMs: number): void {
  record.load *= Math.exp(-(nowMs - record.atMs) / DECAY_TIME_MS);
  record.atMs = nowMs;
}
