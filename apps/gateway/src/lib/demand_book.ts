/** What all gateways have seen asked of each model, as the planner keeps it. */
import type {ModelDemandMessage} from '@jasminepost/mesh';

/** Time in which a change of demand shows by two thirds. */
const MEMORY_MS = 2500;

interface ModelRecord {
  /** Prefill time asked for per time, decayed. */
  load: number;
  atMs: number;
  askedMs: number;
  /** Waiting requests by gateway. */
  readonly waiting: Map<string, number>;
}

/** @internal */
export class DemandBook {
  private readonly records = new Map<string, ModelRecord>();

  take(gateway: string, message: ModelDemandMessage, nowMs: number): void {
    const named = new Set(message.models.map(model => model.name));
    for (const [name, record] of this.records) {
      if (!named.has(name)) record.waiting.delete(gateway);
    }
    for (const {name, requests, prefillMs, waiting} of message.models) {
      const record = this.recordOf(name, nowMs);
      decay(record, nowMs);
      record.load += prefillMs / MEMORY_MS;
      if (requests > 0) record.askedMs = nowMs;
      record.waiting.set(gateway, waiting);
    }
  }

  /** Load, last request and waiting requests of `service/model`. */
  read(name: string, nowMs: number): {load: number; askedMs: number; waiting: number} {
    const record = this.records.get(name);
    if (record === undefined) return {load: 0, askedMs: Number.NEGATIVE_INFINITY, waiting: 0};
    decay(record, nowMs);
    let waiting = 0;
    for (const count of record.waiting.values()) waiting += count;
    return {load: record.load, askedMs: record.askedMs, waiting};
  }

  private recordOf(name: string, nowMs: number): ModelRecord {
    const known = this.records.get(name);
    if (known !== undefined) return known;
    const record = {load: 0, atMs: nowMs, askedMs: nowMs, waiting: new Map<string, number>()};
    this.records.set(name, record);
    return record;
  }
}

function decay(record: ModelRecord, nowMs: number): void {
  record.load *= Math.exp(-(nowMs - record.atMs) / MEMORY_MS);
  record.atMs = nowMs;
}
