/** Stand-in for a replica: serves one request at a time on a connection and records what it runs. */
import {createServer} from 'node:http';

export const MODEL = 'draft';

export class Replica {
  /** Requests that it has begun to run. */
  runs = [];
  models = new Map([[MODEL, []]]);
  /** Models of which it has a copy on its disk. */
  onDisk = [MODEL];
  sequence = 0;
  busy = false;
  /** Time that a load from its disk takes. */
  loadMs = 1000;
  born = Date.now();
  /** Time that a plain request takes. */
  workMs = 5;
  /** Number of events of a stream, and the interval between them. */
  events = 40;
  eventMs = 100;
  /** Body of a plain answer. */
  answer = request => `answer of ${this.id} to ${request.id}`;
  /** Handles a request instead of the default; returns true when it has. */
  handler = () => false;

  constructor(id, {service, ip, zone, version = 'v1', isEngine = false, record}) {
    Object.assign(this, {id, service, ip, zone, version, isEngine, record});
    this.server = createServer((req, res) => {
      req.on('error', () => undefined);
      res.on('error', () => undefined);
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async listen(port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.ip, resolve);
    });
    this.port = this.server.address().port;
  }

  /** Ends like a process that exits: all its connections are closed. */
  close() {
    this.closed = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Its entry in the store. */
  entry(state = 'ready') {
    return {
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: 64,
      state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
      ...(this.isEngine ? {models: this.listModels()} : {}),
    };
  }

  listModels() {
    return [...this.models].map(([name, adapters]) => ({name, version: 1, adapters}));
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (req.url === '/-/report') return this.sendReport(res);
    if (req.url === '/-/order') return this.takeOrder(JSON.parse(body.toString()), req, res);
    if (req.url === '/health') {
      res.writeHead(200, {'instance-id': this.id, 'content-length': 0}).end();
      return;
    }
    const id = String(req.headers['request-id'] ?? '');
    const expected = req.headers['expect-instance'];
    const model = String(req.headers.model ?? '').split('/')[0];
    const isMissing = this.isEngine && !this.models.has(model);
    if ((expected !== undefined && expected !== this.id) || isMissing) {
      const head = {'request-id': id, 'instance-id': this.id, 'content-length': 0};
      res.writeHead(421, head).end();
      return;
    }
    const {method, url, headers} = req;
    const request = {id, method, url, headers, body, atMs: performance.now()};
    if (await this.handler(request, req, res)) return;
    this.runs.push(request);
    this.record(`replica ${this.id} (${this.version}) runs ${id} ${method} ${url}`);
    if (this.isEngine) return this.stream(request, res);
    await sleep(this.workMs);
    const text = this.answer(request);
    res.writeHead(200, {...this.ownHeaders(request), 'content-length': Buffer.byteLength(text)});
    res.end(text);
  }

  /** Loads or unloads a model; adapters aren't kept. */
  takeOrder({operation, model, expected}, req, res) {
    const named = req.headers['expect-instance'];
    if (named !== undefined && named !== this.id) return sendJson(res, 421, {});
    const isStale = expected !== undefined && expected !== this.sequence;
    if (this.busy || isStale) return sendJson(res, 409, {});
    this.record(`replica ${this.id} takes the order ${operation} ${model}`);
    this.sequence += 1;
    this.busy = true;
    setTimeout(() => {
      this.busy = false;
      if (operation === 'loading') this.models.set(model, []);
      else this.models.delete(model);
    }, this.loadMs);
    sendJson(res, 202, {});
  }

  ownHeaders({id}) {
    return {
      'request-id': id,
      'response-signature': `sig.${this.id}.${id}`,
      'server-load': '1,0,64',
    };
  }

  /** Streams events with increasing ids; resumes after the event that the request names. */
  async stream(request, res) {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    res.writeHead(200, {...this.ownHeaders(request), 'content-type': 'text/event-stream'});
    for (let id = first; id <= this.events; id++) {
      if (res.destroyed || this.closed) return;
      res.write(`id: ${id}\ndata: ${this.version} piece ${id}\n\n`);
      await sleep(this.eventMs);
    }
    if (!this.closed) res.end();
  }

  sendReport(res) {
    sendJson(res, 200, {
      stage: 'unified',
      born: this.born,
      models: this.listModels(),
      busy: this.busy,
      sequence: this.sequence,
      queueDepth: 0,
      activeRequests: 0,
      kvUsed: 0,
      kvTotal: 100_000,
      handles: 0,
      incoming: [],
      available: {inMemory: [], onDisk: this.onDisk},
      runs: [],
    });
  }
}

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
