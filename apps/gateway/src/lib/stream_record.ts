/**
 * Records in the store at which version streams began that did not begin at the default version of
 * their service, so that they can be resumed at any gateway, also after all gateways have ended.
 */
import {errorMessage, type Clock, type Logger} from '@jasminepost/core';
import type {KeyValueStore} from '@jasminepost/key_value';
import type {StoreChanges} from '@jasminepost/platform';
import {defaultVersionPrefix, type StoredDefault} from './default_versions.ts';

/** Not under the prefix of the keys that every gateway watches. */
const KEY_PREFIX = 'begun/';
/** A record outlives its stream: a lease is used for new records only while it is young. */
const LEASE_MS = 90_000;
const LEASE_USE_MS = 30_000;
/** Interval between two writes; grows with the number of gateways, which share the store. */
const WRITE_INTERVAL_MS_PER_GATEWAY = 10;
const MIN_WRITE_INTERVAL_MS = 50;
const MAX_WRITE_INTERVAL_MS = 1000;
const RETRY_INTERVAL_MS = 200;
const MAX_STREAMS = 20_000;
const MAX_BATCH = 5000;

/** @internal */
export interface StreamRecordContext {
  readonly store: Pick<KeyValueStore, 'createLease' | 'write'> & {
    range(prefix: string): Promise<StoreChanges>;
  };
  readonly clock: Clock;
  readonly log: Logger;
  /** Id of this run of the gateway, unique over its restarts. */
  readonly self: string;
  /** Estimated number of gateways. */
  gateways(): number;
  /** Applies the default version of a service as read from the store. */
  applyDefault(service: string, found: StoreChanges): StoredDefault;
}

/** What the store holds of a service's streams. @internal */
export interface RecordedStreams extends StoredDefault {
  /** Version of each recorded stream, by the id of the request that began it. */
  readonly versions: ReadonlyMap<string, string>;
}

interface Beginning {
  readonly service: string;
  readonly requestId: string;
  readonly version: string;
  /** Increases with each beginning; a write whose response was lost may take effect late. */
  readonly order: number;
  readonly atMs: number;
  /** Called once it is in the store. */
  readonly onWritten: () => void;
}

/** @internal */
export class StreamRecord {
  private queue: Beginning[] = [];
  /** Beginnings in the store, the oldest first; written again when the store loses them. */
  private written: Beginning[] = [];
  private lease: {readonly id: string; readonly createdMs: number} | undefined;
  private batches = 0;
  private beginnings = 0;
  private isWriting = false;
  private nextWriteMs = Number.NEGATIVE_INFINITY;
  private hasFailed = false;
  private disposed = false;
  private timer: NodeJS.Timeout | undefined;
  /** The read in progress and the one after it, by service. */
  private readonly reads = new Map<string, Promise<RecordedStreams>>();
  private readonly nextReads = new Map<string, Promise<RecordedStreams>>();

  constructor(private readonly ctx: StreamRecordContext) {}

  /** False while the store accepts no records. */
  get isAvailable(): boolean {
    return !this.hasFailed || this.queue.length === 0;
  }

  /**
   * Records at which version a stream begins; the last record of a stream applies.
   *
   * @param onWritten - Called once the record is in the store.
   * @example
   * record.add('models', req.id, 'v2', () => releaseEvents());
   */
  add(service: string, requestId: string, version: string, onWritten: () => void): void {
    const atMs = this.ctx.clock.monotonicMs();
    const order = ++this.beginnings;
    this.queue.push({service, requestId, version, order, atMs, onWritten});
    this.schedule();
  }

  /** Reads all records of a service; calls at the same time share a read that begins after them. */
  async read(service: string): Promise<RecordedStreams> {
    const current = this.reads.get(service);
    if (current === undefined) return this.startRead(service);
    let next = this.nextReads.get(service);
    if (next === undefined) {
      const start = async () => {
        this.nextReads.delete(service);
        return this.startRead(service);
      };
      next = current.then(start, start);
      this.nextReads.set(service, next);
    }
    return next;
  }

  /** Writes all records again after the store was restored from an older copy of itself. */
  onStoreRestored(): void {
    const nowMs = this.ctx.clock.monotonicMs();
    this.lease = undefined;
    this.queue.unshift(...this.written.filter(({atMs}) => nowMs - atMs < LEASE_MS));
    this.written = [];
    this.schedule();
  }

  dispose(): void {
    this.disposed = true;
    clearTimeout(this.timer);
  }

  private async startRead(service: string): Promise<RecordedStreams> {
    const read = this.readNow(service);
    this.reads.set(service, read);
    try {
      return await read;
    } finally {
      if (this.reads.get(service) === read) this.reads.delete(service);
    }
  }

  private async readNow(service: string): Promise<RecordedStreams> {
    const {store} = this.ctx;
    const [defaults, records] = await Promise.all([
      store.range(defaultVersionPrefix(service)),
      store.range(recordPrefix(service)),
    ]);
    const newest = new Map<string, {readonly version: string; readonly order: number}>();
    for (const {key, value} of records.changes) {
      const beginnings = parseBeginnings(value);
      if (beginnings === undefined) this.ctx.log.warn('malformed stream record ignored', {key});
      for (const [requestId, version, order] of beginnings ?? []) {
        if (order > (newest.get(requestId)?.order ?? 0)) newest.set(requestId, {version, order});
      }
    }
    const {defaultVersion, areRecordsComplete} = this.ctx.applyDefault(service, defaults);
    return {
      versions: new Map([...newest].map(([requestId, {version}]) => [requestId, version])),
      defaultVersion,
      areRecordsComplete: areRecordsComplete && records.era === defaults.era,
    };
  }

  private schedule(): void {
    if (this.isWriting || this.disposed || this.timer !== undefined || this.queue.length === 0)
      return;
    const delayMs = Math.max(0, this.nextWriteMs - this.ctx.clock.monotonicMs());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.writeBatch();
    }, delayMs);
  }

  /** Writes the queued beginnings of one service as one key. */
  private async writeBatch(): Promise<void> {
    const {service} = this.queue[0];
    const batch = this.queue.filter(queued => queued.service === service).slice(0, MAX_BATCH);
    const taken = new Set(batch);
    this.queue = this.queue.filter(queued => !taken.has(queued));
    this.isWriting = true;
    const {clock} = this.ctx;
    const startedMs = clock.monotonicMs();
    try {
      await this.write(service, batch);
      this.hasFailed = false;
      this.nextWriteMs = startedMs + this.writeIntervalMs();
      this.keepWritten(batch);
      for (const {onWritten} of batch) onWritten();
    } catch (thrown) {
      this.hasFailed = true;
      this.lease = undefined;
      this.nextWriteMs = clock.monotonicMs() + RETRY_INTERVAL_MS;
      this.queue.unshift(...batch.filter(({atMs}) => startedMs - atMs < LEASE_MS));
      this.ctx.log.warn('could not record at which version streams began', {
        service,
        streams: batch.length,
        error: errorMessage(thrown),
      });
    } finally {
      this.isWriting = false;
      this.schedule();
    }
  }

  private async write(service: string, batch: readonly Beginning[]): Promise<void> {
    const {store, clock, self} = this.ctx;
    const nowMs = clock.monotonicMs();
    if (this.lease === undefined || nowMs - this.lease.createdMs > LEASE_USE_MS)
      this.lease = {id: await store.createLease(LEASE_MS), createdMs: nowMs};
    // A new key for each try: the outcome of a failed one may be unknown.
    const key = `${recordPrefix(service)}${self}-${++this.batches}`;
    const rows = batch.map(({requestId, version, order}) => [requestId, version, order]);
    const value = JSON.stringify(rows);
    const outcome = await store.write(key, value, 0, this.lease.id);
    if (outcome.kind === 'conflict') throw new Error(`${key} exists already`);
  }

  private keepWritten(batch: readonly Beginning[]): void {
    const nowMs = this.ctx.clock.monotonicMs();
    this.written.push(...batch);
    const firstLive = this.written.findIndex(({atMs}) => nowMs - atMs < LEASE_MS);
    const excess = this.written.length - MAX_STREAMS;
    this.written = this.written.slice(Math.max(0, firstLive, excess));
  }

  private writeIntervalMs(): number {
    const intervalMs = WRITE_INTERVAL_MS_PER_GATEWAY * this.ctx.gateways();
    return Math.min(MAX_WRITE_INTERVAL_MS, Math.max(MIN_WRITE_INTERVAL_MS, intervalMs));
  }
}

function recordPrefix(service: string): string {
  return `${KEY_PREFIX}${encodeURIComponent(service)}/`;
}

type BeginningRow = readonly [requestId: string, version: string, order: number];

/** Parses a batch of beginnings; undefined when malformed. */
function parseBeginnings(value: string | undefined): readonly BeginningRow[] | undefined {
  try {
    const rows = JSON.parse(value ?? '') as unknown;
    return Array.isArray(rows) && rows.every(isBeginningRow) ? rows : undefined;
  } catch {
    // The caller logs malformed JSON like any other malformed value.
    return undefined;
  }
}

function isBeginningRow(row: unknown): row is BeginningRow {
  if (!Array.isArray(row)) return false;
  const [requestId, version, order] = row as unknown[];
  return typeof requestId === 'string' && typeof version === 'string' && typeof order === 'number';
}
