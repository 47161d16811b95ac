/** What all gateways have seen asked of each model, as the planner keeps it. */
import type {ModelDemandMessage} from '@jasminepost/mesh';

/** Time in which a change of demand shows by two thirds. */
const MEMORY_MS = 2000;
const NEVER = Number.NEGATIVE_INFINITY;

/** @internal */
export interface ModelReading {
  /** Replicas that the demand would keep busy reading prompts. */
  readonly load: number;
  readonly askedMs: number;
  readonly urgentMs: number;
  readonly waiting: number;
}

interface ModelRecord {
  /** Prefill time asked for per time, decayed. */
  load: number;
  atMs: number;
  askedMs: number;
  /** Last request that can't wait for a load. */
  urgentMs: number;
  /** Waiting requests by gateway. */
  readonly waiting: Map<string, number>;
}

/** @internal */
export class DemandBook {
  private readonly records = new Map<string, ModelRecord>();
  private firstMs: number | undefined;

  take(gateway: string, message: ModelDemandMessage, nowMs: number): void {
    const named = new Set(message.models.map(model => model.name));
    for (const [name, record] of this.records) {
      if (!named.has(name)) record.waiting.delete(gateway);
    }
    for (const {name, requests, urgent, prefillMs, waiting} of message.models) {
      const record = this.recordOf(name, nowMs);
      this.firstMs ??= nowMs;
      decay(record, nowMs);
      record.load += prefillMs / MEMORY_MS;
      if (requests > 0) record.askedMs = nowMs;
      if (urgent > 0) record.urgentMs = nowMs;
      record.waiting.set(gateway, waiting);
    }
  }

  /** Time since the first request that any gateway has told of; 0 before it. */
  trafficMs(nowMs: number): number {
    return this.firstMs === undefined ? 0 : nowMs - this.firstMs;
  }

  /** Demand for `service/model`. */
  read(name: string, nowMs: number): ModelReading {
    const record = this.records.get(name);
    if (record === undefined) return {load: 0, askedMs: NEVER, urgentMs: NEVER, waiting: 0};
    decay(record, nowMs);
    let waiting = 0;
    for (const count of record.waiting.values()) waiting += count;
    const {load, askedMs, urgentMs} = record;
    return {load, askedMs, urgentMs, waiting};
  }

  private recordOf(name: string, nowMs: number): ModelRecord {
    const known = this.records.get(name);
    if (known !== undefined) return known;
    const record = {
      load: 0,
      atMs: nowMs,
      askedMs: NEVER,
      urgentMs: NEVER,
      waiting: new Map<string, number>(),
    };
    this.records.set(name, record);
    return record;
  }
}

function decay(record: ModelRecord, nowMs: number): void {
  record.load *= Math.exp(-(nowMs - record.atMs) / MEMORY_MS);
  record.atMs = nowMs;
}
