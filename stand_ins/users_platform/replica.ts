/** Stand-in for a replica on the users' platform, with the faults that its contract allows. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {resetConnection, sleep} from '@jasminepost/core';
import {sendJson} from '../json_server.ts';
import {
  DEFAULT_ENDLESS_OPTIONS,
  endlessHead,
  writeEndless,
  type EndlessResponse,
} from './endless_response.ts';
import {sendReport} from './replica_report.ts';
import {streamEvents, writeStreamHead, type StreamFault} from './replica_stream.ts';
import type {RepeatedRefusal} from './repeated_refusal.ts';
import {noteClosed, sharedParts, type RecordedRequest} from './recorded_request.ts';
import {maxOverLimit} from './rate_limit_window.ts';
import type {ReplicaFault} from './replica_fault.ts';

interface Order {
  readonly operation: 'loading' | 'unloading';
  readonly model: string;
  readonly adapter?: string;
  readonly expected?: number;
  readonly holder: string;
  readonly fencingToken: number;
}

const ADAPTER_LOAD_MS = 10;
/** Time for requests that were in flight when the replica asked for a pause. */
const PAUSE_SLACK_MS = 500;
/** Time after which a replica that reports leaving gets no more requests; from the settings. */
const DRAIN_MS = 2000;
/** Send rate of reports that never end. */
const REPORT_BYTES_PER_MS = 1024 * 1024;

export class UsersReplica {
  fault: ReplicaFault = 'none';
  streamFault: StreamFault = 'none';
  /** Version of its software, which its registration and its events name. */
  version = 'v1';
  /** Refuses requests, and writes the refusals again; undefined for none. */
  repeatedRefusal: RepeatedRefusal | undefined;
  /** Additional headers of all its responses. */
  extraHeaders: Readonly<Record<string, string>> = {};
  /** Value of the `server-limit` header in each response: requests a second; undefined for none. */
  rateLimitHeader: string | readonly string[] | undefined;
  /** True if each response reports that it leaves, whatever its registration says. */
  reportsLeaving = false;
  /** With the fault 'sheds': value of the refusals' `retry-after`; undefined for no such header. */
  retryAfter: string | undefined;
  /** Arrival times of all requests, including refused ones. */
  readonly arrivalsMs: number[] = [];
  /** Most requests that arrived in one pause, or after it had reported leaving. */
  maxUnwanted = 0;
  /** Most requests in a window above what a rate limit allows. */
  maxOverLimit = 0;
  /** When it first sent a response that reports leaving or asks for a pause. */
  noticeSentMs: number | undefined;
  /** Requests that have started to run. */
  readonly runs: RecordedRequest[] = [];
  readonly orders: Order[] = [];
  /** Time from a request to its response. */
  workMs = 5;
  loadMs = 60;
  /** Time from a request for a report to the report. */
  reportDelayMs = 0;
  /** Time for which each new stream is silent after its first event, besides `eventMs`. */
  pauseAfterFirstMs = 0;
  /** Interval between two events of a stream. */
  eventMs = 15;
  /** How every response, or every report, continues without end; undefined for normal ones. */
  endlessResponse: EndlessResponse | undefined;
  endlessReport: EndlessResponse | undefined;
  /** Bytes behind every report, in the same segment. */
  bytesAfterReport = '';
  /** Connections that have been opened to it. */
  connections = 0;
  onEndlessResponse: () => void = () => undefined;
  endlessOptions = DEFAULT_ENDLESS_OPTIONS;
  /** Open connections with an endless response. */
  endlessConnections = 0;
  /** A request with this body crashes the replica. */
  crashingBody: string | undefined;
  /** Requests with one of these parts in their prompt, but not as the last, crash the replica. */
  crashingParts: ReadonlySet<string> = new Set();
  /** Time from such a request to the crash, even if its caller disconnects. */
  crashAfterMs = 0;
  onCrash: () => void = () => undefined;
  readonly models = new Map<string, Set<string>>();
  readonly onDisk = new Set<string>();
  sequence = 0;
  born = Date.now();
  private busy = false;
  /** Number of restarts and crashes; work that was begun before the last one is dropped. */
  private startCount = 0;
  private readonly loadingAdapters = new Set<string>();
  private boundAddress: AddressInfo = {address: '', family: '', port: 0};
  private readonly server: Server;

  constructor(
    public id: string,
    readonly service: string,
    public zone: string,
    readonly isEngine: boolean,
  ) {
    // A caller may be killed during a call; there is nobody left to respond to.
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', () => (this.connections += 1));
  }

  /** Stays the same after the server has closed. */
  get port(): number {
    return this.boundAddress.port;
  }

  async listen(host: string): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve));
    this.boundAddress = this.server.address() as AddressInfo;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Restarts at the same address without models or earlier state. */
  restart(id: string): void {
    this.id = id;
    this.startCount += 1;
    this.busy = false;
    this.born = Date.now();
    this.sequence = 0;
    this.reportsLeaving = false;
    this.rateLimitHeader = undefined;
    this.models.clear();
    this.server.closeAllConnections();
  }

  /** Ends a pause that it has asked for; records requests that arrived during it. */
  endPause(): void {
    const {noticeSentMs, retryAfter} = this;
    this.fault = 'none';
    this.retryAfter = undefined;
    if (noticeSentMs !== undefined)
      this.recordUnwanted(noticeSentMs + PAUSE_SLACK_MS, noticeSentMs + Number(retryAfter) * 1000);
  }

  /** Stops reporting that it leaves; records requests that arrived after the drain time. */
  endLeaving(): void {
    if (this.noticeSentMs !== undefined)
      this.recordUnwanted(this.noticeSentMs + DRAIN_MS, performance.now());
    this.reportsLeaving = false;
  }

  /** Records requests above a rate limit that was in force from `limitSentMs` until now. */
  recordOverLimit(perS: number, limitSentMs: number): void {
    const over = maxOverLimit(this.arrivalsMs, perS, limitSentMs);
    this.maxOverLimit = Math.max(this.maxOverLimit, over);
  }

  private recordUnwanted(fromMs: number, toMs: number): void {
    const {length} = this.arrivalsMs.filter(atMs => atMs > fromMs && atMs < toMs);
    this.maxUnwanted = Math.max(this.maxUnwanted, length);
  }

  /** Closes without notice; several attempts of one request crash it once. */
  private crash(startCount: number): void {
    if (startCount !== this.startCount) return;
    this.startCount += 1;
    this.close();
    this.onCrash();
  }

  /** Closes, and restarts at the same address after `downMs`. */
  async restartAfter(downMs: number, id: string): Promise<void> {
    const {address, port} = this.boundAddress;
    this.close();
    await sleep(downMs);
    this.restart(id);
    await new Promise<void>(resolve => this.server.listen(port, address, resolve));
  }

  /** The replica's registration record in the store. */
  registration(host: string, state: 'ready' | 'draining' = 'ready', port = this.port): unknown {
    return {
      service: this.service,
      address: `${host}:${port}`,
      zone: this.zone,
      version: this.version,
      slots: 8,
      state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
      models: this.loadedModels(),
    };
  }

  private loadedModels(): unknown {
    return [...this.models].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readText(req);
    for (const [name, value] of Object.entries(this.extraHeaders)) res.setHeader(name, value);
    if (this.rateLimitHeader !== undefined) res.setHeader('server-limit', this.rateLimitHeader);
    if (this.reportsLeaving) res.setHeader('server-leaving', '1');
    if (this.reportsLeaving) this.noticeSentMs ??= performance.now();
    if (req.url === '/-/report' && this.endlessReport !== undefined) {
      writeEndless(req.socket, this.endlessReport, 'HTTP/1.1 200 OK\r\n', REPORT_BYTES_PER_MS);
      return;
    }
    if (req.url === '/-/report') {
      if (this.reportDelayMs > 0) await sleep(this.reportDelayMs);
      return this.sendReport(res);
    }
    if (req.url === '/-/order') return this.handleOrder(JSON.parse(body) as Order, req, res);
    this.arrivalsMs.push(performance.now());
    if (this.tryRefuse(req, res)) return;
    if (this.repeatedRefusal?.refuseOrRepeat(req, res) === true) return;
    const request: RecordedRequest = {
      id: String(req.headers['request-id']),
      method: req.method ?? '',
      path: req.url ?? '',
      headers: req.headers,
      body,
      arrivedMs: performance.now(),
      abandoned: false,
    };
    this.runs.push(request);
    if (body === this.crashingBody) {
      const {startCount} = this;
      if (this.crashAfterMs > 0) await sleep(this.crashAfterMs);
      return this.crash(startCount);
    }
    res.on('close', () => noteClosed(request, res));
    const {startCount} = this;
    await sleep(this.workMs);
    if (sharedParts(request).some(part => this.crashingParts.has(part))) {
      if (this.streamFault === 'no length') await writeStreamHead(this.ownHeaders(request), res);
      this.crash(startCount);
      return;
    }
    await this.respond(request, req, res);
  }

  private tryRefuse(req: IncomingMessage, res: ServerResponse): boolean {
    const expected = req.headers['expect-instance'];
    const refusal = {'request-id': String(req.headers['request-id']), 'content-length': '0'};
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {...refusal, 'instance-id': this.id}).end();
      return true;
    }
    const [model, adapter] = String(req.headers.model ?? '').split('/');
    const adapters = this.models.get(model);
    const missing = adapters === undefined || (adapter !== undefined && !adapters.has(adapter));
    if (this.isEngine && missing) {
      res.writeHead(421, {...refusal, 'instance-id': this.id}).end();
      return true;
    }
    if (this.fault === 'sheds') {
      const retryAfter = this.retryAfter === undefined ? {} : {'retry-after': this.retryAfter};
      if (this.retryAfter !== undefined) this.noticeSentMs ??= performance.now();
      res.writeHead(503, {...refusal, 'not-executed': '1', ...retryAfter}).end();
      return true;
    }
    return false;
  }

  /** Headers that identify this replica's response. */
  private ownHeaders({id}: RecordedRequest): Record<string, string> {
    const signature = {'response-signature': `sig.${this.id}.${id}`};
    return {'request-id': id, 'server-load': '1,0,8', ...signature, ...this.extraHeaders};
  }

  private async respond(
    request: RecordedRequest,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const headers = this.ownHeaders(request);
    const text = `answer of ${this.id} to ${request.id}`;
    const contentLength = {'content-length': String(text.length)};
    const {socket} = req;
    if (this.endlessResponse !== undefined) {
      this.endlessConnections += 1;
      const {endlessResponse: kind, endlessOptions: options} = this;
      const head = endlessHead(headers, options);
      this.onEndlessResponse();
      const onClosed = () => (this.endlessConnections -= 1);
      writeEndless(socket, kind, head, options.bytesPerMs, onClosed);
      return;
    }
    switch (this.fault) {
      case 'sheds without saying so':
        res.writeHead(503, {...headers, 'content-length': '0'}).end();
        return;
      case 'fails':
        res.writeHead(500, {...headers, ...contentLength}).end(text);
        return;
      case 'unsigned':
        res.writeHead(200, {'request-id': request.id, ...contentLength}).end(text);
        return;
      case 'foreign answer':
        res.writeHead(200, {...headers, ...contentLength, 'request-id': 'another'}).end(text);
        return;
      case 'cut in the answer':
        res.writeHead(200, {...headers, ...contentLength}).write(text.slice(0, 5));
        setTimeout(() => socket.destroy(), 10);
        return;
      case 'unframed':
      case 'unframed and cut': {
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
        const cut = this.fault === 'unframed and cut';
        socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}connection: close\r\n\r\n`);
        socket.write(cut ? text.slice(0, 5) : text);
        setTimeout(() => (cut ? resetConnection(socket) : socket.end()), 10);
        return;
      }
      case 'reset before the answer':
        resetConnection(socket);
        return;
      case 'mute':
        return;
      case 'sheds':
      case 'cut in an event':
      case 'none':
        if (this.isEngine)
          await streamEvents(
            {
              fault: this.streamFault,
              cutsEvent: this.fault === 'cut in an event',
              eventMs: this.eventMs,
              pauseAfterFirstMs: this.pauseAfterFirstMs,
              version: this.version,
            },
            headers,
            req,
            res,
          );
        else res.writeHead(200, {...headers, ...contentLength}).end(Buffer.from(text));
    }
  }

  private sendReport(res: ServerResponse): void {
    const {born, busy, sequence, loadingAdapters, onDisk} = this;
    const models = this.loadedModels();
    sendReport(res, {born, models, busy, sequence, loadingAdapters, onDisk}, this.bytesAfterReport);
  }

  private handleOrder(order: Order, req: IncomingMessage, res: ServerResponse): void {
    this.orders.push(order);
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) return sendJson(res, 421, {});
    const stale = order.expected !== undefined && order.expected !== this.sequence;
    if (this.busy || stale) return sendJson(res, 409, {});
    this.sequence += 1;
    if (order.adapter === undefined) this.applyModelOrder(order);
    else this.applyAdapterOrder(order.model, order.adapter, order.operation);
    sendJson(res, 202, {});
  }

  private applyModelOrder({operation, model}: Order): void {
    this.busy = true;
    const {startCount} = this;
    setTimeout(() => {
      if (startCount !== this.startCount) return;
      this.busy = false;
      if (operation === 'loading') this.models.set(model, new Set());
      else this.models.delete(model);
      this.onDisk.add(model);
    }, this.loadMs);
  }

  private applyAdapterOrder(model: string, adapter: string, operation: Order['operation']): void {
    if (operation === 'unloading') {
      this.models.get(model)?.delete(adapter);
      return;
    }
    const key = `${model}/${adapter}@1`;
    this.loadingAdapters.add(key);
    setTimeout(() => {
      this.loadingAdapters.delete(key);
      this.models.get(model)?.add(adapter);
    }, ADAPTER_LOAD_MS);
  }
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}
