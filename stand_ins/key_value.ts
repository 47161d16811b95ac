/** Stand-in for the platform's key-value service; see docs/contracts/key_value.md. */
import type {ServerResponse} from 'node:http';
import {JsonServer, parseJson, sendJson, type JsonCall} from './json_server.ts';

const EXPIRY_CHECK_MS = 20;

interface Entry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly leaseId: string;
}

interface Lease {
  readonly ttlMs: number;
  expiresMs: number;
}

interface Watch {
  readonly key: string;
  readonly res: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

interface Faults {
  /** `refuse` responds with 503, `hang` never responds. */
  outage: 'none' | 'refuse' | 'hang';
  delayMs: number;
  /** Number of further writes that are applied but get no response. */
  loseAnswers: number;
  /** Only writes to keys with this prefix lose their response. */
  losePrefix: string;
  /** True if changes don't end watches. */
  loseWatches: boolean;
}

interface WriteBody {
  readonly value: string;
  readonly expectVersion: number;
  readonly leaseId: string;
}

/** Key-value service with compare-and-swap, leases, watches, and faults set by `/admin/faults`. */
export class KeyValueStandIn {
  readonly http = new JsonServer();
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<string, Lease>();
  private readonly watches = new Set<Watch>();
  private readonly counters = new Map<string, number>();
  private nextVersion = 1;
  private nextLease = 1;
  private windowStartMs = 0;
  private windowCalls = {read: 0, write: 0};
  private faults: Faults = {
    outage: 'none',
    delayMs: 0,
    loseAnswers: 0,
    losePrefix: '',
    loseWatches: false,
  };

  constructor(
    private readonly writesPerS: number,
    private readonly readsPerS: number,
  ) {
    this.http.on('GET', '/v1/kv', call =>
      this.handleWithFaults('read', call, () => this.read(call)),
    );
    this.http.on('PUT', '/v1/kv', call =>
      this.handleWithFaults('write', call, () => this.write(call)),
    );
    this.http.on('POST', '/v1/leases', call =>
      this.handleWithFaults('write', call, () => this.grantLease(call)),
    );
    this.http.on('POST', '/v1/leases/:id/renew', call =>
      this.handleWithFaults('write', call, () => this.renewLease(call)),
    );
    this.http.on('GET', '/v1/watch', call =>
      this.handleWithFaults('read', call, () => this.watch(call)),
    );
    this.http.on('GET', '/admin/counters', ({res}) => {
      sendJson(res, 200, Object.fromEntries(this.counters));
    });
    this.http.on('POST', '/admin/faults', ({res, text}) => {
      this.faults = {...this.faults, ...parseJson<Faults>(text)};
      sendJson(res, 200, this.faults);
    });
    setInterval(() => this.expireLeases(), EXPIRY_CHECK_MS).unref();
  }

  private handleWithFaults(kind: 'read' | 'write', {req, res}: JsonCall, run: () => void): void {
    const name = `${req.method ?? ''} ${(req.url ?? '').split('?')[0].replace(/lease-\d+/, ':id')}`;
    this.counters.set(name, (this.counters.get(name) ?? 0) + 1);
    if (this.faults.outage === 'hang') return;
    if (this.faults.outage === 'refuse') {
      sendJson(res, 503, {error: 'outage'});
      return;
    }
    if (!this.isWithinRateLimit(kind)) {
      this.counters.set('limited', (this.counters.get('limited') ?? 0) + 1);
      sendJson(res, 429, {error: 'rate limited'});
      return;
    }
    if (this.faults.delayMs > 0) setTimeout(run, this.faults.delayMs);
    else run();
  }

  private isWithinRateLimit(kind: 'read' | 'write'): boolean {
    const nowMs = performance.now();
    if (nowMs - this.windowStartMs >= 1000) {
      this.windowStartMs = nowMs;
      this.windowCalls = {read: 0, write: 0};
    }
    this.windowCalls[kind] += 1;
    return this.windowCalls[kind] <= (kind === 'read' ? this.readsPerS : this.writesPerS);
  }

  private read({res, query}: JsonCall): void {
    const prefix = query.get('prefix');
    if (prefix !== null) {
      const entries = [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
      sendJson(res, 200, {entries});
      return;
    }
    sendJson(res, 200, {entry: this.entries.get(query.get('key') ?? '') ?? null});
  }

  private write({res, query, text}: JsonCall): void {
    const key = query.get('key') ?? '';
    const body = parseJson<WriteBody>(text);
    if (key === '' || body.value === undefined || body.expectVersion === undefined) {
      sendJson(res, 400, {error: 'key, value and expectVersion are required'});
      return;
    }
    const current = this.entries.get(key);
    if ((current?.version ?? 0) !== body.expectVersion) {
      sendJson(res, 409, {entry: current ?? null});
      return;
    }
    const leaseId = body.leaseId ?? '';
    if (leaseId !== '' && !this.leases.has(leaseId)) {
      sendJson(res, 400, {error: 'unknown lease'});
      return;
    }
    const entry = {key, value: body.value, version: this.nextVersion++, leaseId};
    this.entries.set(key, entry);
    this.notify(key);
    if (this.faults.loseAnswers > 0 && key.startsWith(this.faults.losePrefix)) {
      this.faults.loseAnswers -= 1;
      res.destroy();
      return;
    }
    sendJson(res, 200, {version: entry.version});
  }

  private grantLease({res, text}: JsonCall): void {
    const ttlMs = parseJson<{ttlMs: number}>(text).ttlMs ?? 10_000;
    const leaseId = `lease-${this.nextLease++}`;
    this.leases.set(leaseId, {ttlMs, expiresMs: performance.now() + ttlMs});
    sendJson(res, 200, {leaseId});
  }

  private renewLease({res, params}: JsonCall): void {
    const lease = this.leases.get(params['id'] ?? '');
    if (lease === undefined) {
      sendJson(res, 404, {error: 'expired'});
      return;
    }
    lease.expiresMs = performance.now() + lease.ttlMs;
    sendJson(res, 200, {});
  }

  private watch({res, query}: JsonCall): void {
    const key = query.get('key') ?? '';
    const entry = this.entries.get(key);
    if ((entry?.version ?? 0) !== Number(query.get('seen'))) {
      sendJson(res, 200, {entry: entry ?? null});
      return;
    }
    const timer = setTimeout(() => this.endWatch(watch, 204), Number(query.get('waitMs')));
    const watch: Watch = {key, res, timer};
    this.watches.add(watch);
    res.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(watch);
    });
  }

  private endWatch(watch: Watch, status: 200 | 204): void {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    const entry = this.entries.get(watch.key) ?? null;
    sendJson(watch.res, status, status === 200 ? {entry} : undefined);
  }

  private notify(key: string): void {
    if (this.faults.loseWatches) return;
    for (const watch of [...this.watches]) if (watch.key === key) this.endWatch(watch, 200);
  }

  private expireLeases(): void {
    const nowMs = performance.now();
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresMs > nowMs) continue;
      this.leases.delete(leaseId);
      for (const entry of [...this.entries.values()]) {
        if (entry.leaseId !== leaseId) continue;
        this.entries.delete(entry.key);
        this.notify(entry.key);
      }
    }
  }
}
