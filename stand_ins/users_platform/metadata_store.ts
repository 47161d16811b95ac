/** Stand-in for the users' metadata store: items, leases, conditional writes and watches. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {sendJson} from '../json_server.ts';

/** `unavailable` responds with 503, `silent` never responds. */
export type StoreMode = 'up' | 'unavailable' | 'silent';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

type StoreEvent =
  Item | {readonly key: string; readonly revision: number; readonly tombstone: true};

interface Txn {
  readonly expected?: ReadonlyArray<{readonly key: string; readonly revision: number}>;
  readonly setKeys?: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }>;
  readonly delete?: readonly string[];
}

/** @see MetadataStore.takeSnapshot */
export interface StoreSnapshot {
  readonly revision: number;
  readonly compactedRevision: number;
  readonly items: readonly Item[];
  readonly events: readonly StoreEvent[];
  readonly leases: ReadonlyArray<readonly [number, {ttlMs: number; untilMs: number}]>;
}

const LEASE_CHECK_MS = 50;

export class MetadataStore {
  mode: StoreMode = 'up';
  /** Delay before a call is handled. */
  latencyMs = 0;
  readonly calls: string[] = [];
  /** Incremented by each restore. */
  private era = 1;
  private revision = 1;
  private compactedRevision = 0;
  private readonly items = new Map<string, Item>();
  private readonly events: StoreEvent[] = [];
  private readonly leases = new Map<number, {ttlMs: number; untilMs: number}>();
  private readonly watchers = new Set<() => void>();
  private readonly server: Server;
  private readonly leaseTimer: NodeJS.Timeout;

  constructor() {
    // A caller may be killed during a call; there is nobody left to respond to.
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.leaseTimer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS);
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    clearInterval(this.leaseTimer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key as the operator or a replica does. */
  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.putBytes(key, Buffer.from(text));
  }

  putBytes(key: string, bytes: Buffer): void {
    this.set(key, bytes.toString('base64'), 0);
  }

  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.emit({key, revision: this.revision, tombstone: true});
  }

  read(key: string): string | undefined {
    const item = this.items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
  }

  /** Drops the event history, so that watches from earlier revisions must read everything again. */
  compact(): void {
    this.events.length = 0;
    this.compactedRevision = this.revision;
    for (const wake of [...this.watchers]) wake();
  }

  /** Snapshot of the whole state, for `restoreFrom`. */
  takeSnapshot(): StoreSnapshot {
    return {
      revision: this.revision,
      compactedRevision: this.compactedRevision,
      items: [...this.items.values()],
      events: [...this.events],
      leases: [...this.leases].map(([id, lease]) => [id, {...lease}]),
    };
  }

  /** Restores a snapshot: later writes are lost, and their revisions are assigned again. */
  restoreFrom({revision, compactedRevision, items, events, leases}: StoreSnapshot): void {
    this.era += 1;
    this.revision = revision;
    this.compactedRevision = compactedRevision;
    this.items.clear();
    for (const item of items) this.items.set(item.key, item);
    this.events.splice(0, this.events.length, ...events);
    this.leases.clear();
    for (const [id, lease] of leases) this.leases.set(id, {...lease});
    for (const wake of [...this.watchers]) wake();
  }

  private set(key: string, value: string, lease: number): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {key, value, revision: this.revision, created, lease};
    this.items.set(key, item);
    this.emit(item);
  }

  private emit(event: StoreEvent): void {
    this.events.push(event);
    for (const wake of [...this.watchers]) wake();
  }

  private expireLeases(): void {
    const nowMs = performance.now();
    for (const [lease, {untilMs}] of this.leases) {
      if (untilMs > nowMs) continue;
      this.leases.delete(lease);
      for (const item of [...this.items.values()]) {
        if (item.lease === lease) this.remove(item.key);
      }
    }
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const writeHead = res.writeHead.bind(res) as (...all: unknown[]) => ServerResponse;
    // The header holds the era at the time of the response, not of the call.
    res.writeHead = (...args: unknown[]) => {
      res.setHeader('store-era', String(this.era));
      return writeHead(...args);
    };
    this.calls.push(`${req.method} ${url.pathname}`);
    if (this.latencyMs > 0) await new Promise(resolve => setTimeout(resolve, this.latencyMs));
    if (this.mode === 'silent') return;
    if (this.mode === 'unavailable') return sendJson(res, 503, {error: 'unavailable'});
    const body = await readJson(req);
    switch (url.pathname) {
      case '/-/kv-key': {
        const item = this.items.get(url.searchParams.get('key') ?? '');
        return item === undefined
          ? sendJson(res, 404, {asOf: this.revision})
          : sendJson(res, 200, {...item, asOf: this.revision});
      }
      case '/-/kv-range': {
        const prefix = url.searchParams.get('pathPrefix') ?? '';
        const items = [...this.items.values()].filter(item => item.key.startsWith(prefix));
        return sendJson(res, 200, {items, hasMore: false, asOf: this.revision});
      }
      case '/-/kv-watch':
        return this.watch(url, res);
      case '/-/kv-txn':
        return this.txn(body as Txn, res);
      case '/-/kv-lease': {
        const {ttlMs} = body as {ttlMs: number};
        const lease = ++this.revision;
        this.leases.set(lease, {ttlMs, untilMs: performance.now() + ttlMs});
        return sendJson(res, 200, {lease, ttlMs});
      }
      default:
        return this.renewLease(url, res);
    }
  }

  private renewLease(url: URL, res: ServerResponse): void {
    const lease = this.leases.get(Number(url.pathname.split('/').pop()));
    if (lease === undefined) return sendJson(res, 404, {});
    lease.untilMs = performance.now() + lease.ttlMs;
    sendJson(res, 200, {ttlMs: lease.ttlMs});
  }

  private watch(url: URL, res: ServerResponse): void {
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const finish = (events: readonly StoreEvent[]) => {
      this.watchers.delete(sendEvents);
      clearTimeout(timer);
      sendJson(res, 200, {events, asOf: this.revision});
    };
    const sendEvents = () => {
      if (after < this.compactedRevision || after > this.revision) {
        this.watchers.delete(sendEvents);
        clearTimeout(timer);
        sendJson(res, 410, {});
        return;
      }
      const found = this.events.filter(e => e.revision > after && e.key.startsWith(prefix));
      if (found.length > 0) finish(found);
    };
    const timer = setTimeout(() => finish([]), Number(url.searchParams.get('waitMs')));
    this.watchers.add(sendEvents);
    sendEvents();
  }

  private txn(txn: Txn, res: ServerResponse): void {
    const expected = txn.expected ?? [];
    const matches = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!matches) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return sendJson(res, 412, {items});
    }
    const leases = (txn.setKeys ?? []).map(({lease}) => lease ?? 0);
    if (leases.some(lease => lease !== 0 && !this.leases.has(lease))) return sendJson(res, 404, {});
    for (const {key, value, lease} of txn.setKeys ?? []) this.set(key, value, lease ?? 0);
    for (const key of txn.delete ?? []) this.remove(key);
    sendJson(res, 200, {revision: this.revision});
  }
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}
