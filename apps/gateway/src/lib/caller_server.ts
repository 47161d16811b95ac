/** HTTP server for callers: routing, request limits, and requests in progress. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {announcedBytes, readBody, RequestSequence} from '@jasminepost/caller';
import {assertNever, listenOn, errorMessage, type HostPort} from '@jasminepost/core';
import {KEY_CHALLENGE, parseCallerHeaders, retryAfterHeader} from '@jasminepost/platform';
import {
  rejectionWithoutKey,
  settleKeyCheck,
  type AcceptedKey,
  type KeyFault,
} from '@jasminepost/policy';
import {RouteTable, type FleetConfig, type Organisation} from '@jasminepost/serving';
import {sendLocalResponse} from './response_relay.ts';
import {CallerRequest} from './caller_request.ts';
import {LEAVING_RETRY_AFTER_MS} from './generation_queue.ts';
import type {GatewayContext} from './gateway_context.ts';
import {acceptedCaller, KeyGate} from './key_gate.ts';

/** Largest request head that the parser accepts; the configured limit is lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Longest time for which a request waits for the first configuration. */
const FIRST_CONFIG_WAIT_MS = 400;
/** Time within which a gateway without the newest configuration has usually read it. */
const NO_CONFIG_RETRY_AFTER_MS = 800;
const RETRY_AFTER_JITTER_MS = 200;
/** Time in which the memory of stalled callers, or of requests in progress, becomes free. */
const MEMORY_RETRY_AFTER_MS = 2000;
/** Backlog of connections that have not been accepted yet. */
const LISTEN_BACKLOG = 1024;

/** @internal */
export class CallerServer {
  readonly running = new Set<CallerRequest>();
  private readonly server: Server;
  private readonly sequence = new RequestSequence({
    onRequest: (req, res, arrivedMs) => this.handle(req, res, arrivedMs),
    onFollowed: () => undefined,
    onTooManyAhead: requests => this.ctx().memory.recordEviction('pipelined', {requests}),
  });
  private routes: RouteTable | undefined;
  private readonly keys = new KeyGate();
  /** Callbacks of the requests that wait for the first configuration. */
  private readonly awaitingConfig = new Set<() => void>();

  constructor(private readonly ctx: () => GatewayContext) {
    this.server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true}, (req, res) => {
      req.on('error', () => undefined);
      // A connection reset by the caller is handled through the response's close event.
      res.on('error', () => undefined);
      this.sequence.accept(req, res);
    });
    this.sequence.protectUnwritten(this.server);
  }

  /** Number of requests that have been accepted and whose response is not written completely. */
  get busy(): number {
    return this.sequence.unwritten + this.sequence.waiting;
  }

  async listen(address: HostPort): Promise<void> {
    this.ctx().memory.watch(this.server, socket => this.sequence.waitingOn(socket));
    await listenOn(this.server, address, LISTEN_BACKLOG);
  }

  /** Activates a configuration for all requests that are routed from now on. */
  applyConfig(config: FleetConfig): void {
    this.routes = new RouteTable(config);
    this.keys.applyOrganisations(config.organisations, this.ctx().log);
    const {limits} = config;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    for (const resume of [...this.awaitingConfig]) resume();
  }

  /** Stops listening and closes idle connections. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** True when another request follows on the connection, so that it must stay open. */
  isFollowed(req: IncomingMessage): boolean {
    return this.sequence.isFollowed(req);
  }

  /** Answers all requests that are still running, before the process ends. */
  endRunning(): void {
    for (const request of [...this.running]) request.giveUp('leaving', LEAVING_RETRY_AFTER_MS);
  }

  /** Resets the connections of responses that their callers have not read. */
  cutUnwritten(): void {
    this.sequence.cutUnwritten();
  }

  onFinished(request: CallerRequest): void {
    this.running.delete(request);
  }

  private handle(req: IncomingMessage, res: ServerResponse, startedMs: number): void {
    if (this.ctx().isClosing()) {
      // The process might exit before the response is complete; another gateway can serve it now.
      this.refuse(req, res, 'leaving', LEAVING_RETRY_AFTER_MS);
      return;
    }
    const {routes} = this;
    if (routes === undefined) {
      this.deferUntilConfigured(req, res, startedMs);
      return;
    }
    const {limits} = routes.config;
    if (headBytes(req) > limits.headerBytes) {
      this.reject(req, res, 431, 'headers_too_large');
      return;
    }
    const route = routes.find(...hostAndPath(req));
    const key = route === undefined ? undefined : this.keys.check(route, req.rawHeaders);
    if (key?.kind === 'unidentified') {
      this.rejectWithoutKey(req, res, key.fault);
      return;
    }
    void this.readRequest(req, res, limits.bodyBytes, startedMs, key);
  }

  /** Holds a request until the first configuration, which is expected shortly after the start. */
  private deferUntilConfigured(req: IncomingMessage, res: ServerResponse, startedMs: number): void {
    const refuse = () => this.refuse(req, res, 'no_configuration', configRetryAfterMs());
    if (!this.ctx().isStarting()) {
      refuse();
      return;
    }
    const settle = (action: () => void) => {
      clearTimeout(timer);
      this.awaitingConfig.delete(resume);
      if (!res.destroyed) action();
    };
    const resume = () => settle(() => this.handle(req, res, startedMs));
    const timer = setTimeout(() => settle(refuse), FIRST_CONFIG_WAIT_MS);
    this.awaitingConfig.add(resume);
  }

  private async readRequest(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
    startedMs: number,
    key: AcceptedKey<Organisation> | undefined,
  ): Promise<void> {
    const {memory} = this.ctx();
    const bytes = announcedBytes(req);
    if (bytes > 0 && bytes <= maxBytes && !memory.budget.admits(bytes)) {
      req.on('data', (chunk: Buffer) => memory.garbage.recordShortLived(chunk.length));
      this.refuseForMemory(req, res, bytes);
      return;
    }
    const body = await readBody(req, maxBytes, memory);
    switch (body.kind) {
      case 'read':
        memory.holdUntilClosed(res, body.bytes.length);
        this.startRequest(req, res, body.bytes, startedMs, key);
        return;
      case 'too_large':
        this.reject(req, res, 413, 'body_too_large');
        return;
      case 'evicted':
        this.refuseForMemory(req, res, body.bufferedBytes);
        return;
      case 'caller_gone':
        return;
      default:
        assertNever(body);
    }
  }

  private startRequest(
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer,
    startedMs: number,
    acceptedKey: AcceptedKey<Organisation> | undefined,
  ): void {
    const ctx = this.ctx();
    const [host, path] = hostAndPath(req);
    // Uses the newest configuration, which may have arrived while the body was being read.
    const route = this.routes?.find(host, path);
    if (route === undefined) {
      ctx.metrics.endings.increment('no_route');
      ctx.log.info('no route matches request', {
        requestId: parseCallerHeaders(req.headers).requestId,
        host,
        path,
        config: ctx.configVersion(),
      });
      sendLocalResponse(res, 404, 'no_route', ctx.endsConnection(req));
      return;
    }
    const key = settleKeyCheck(acceptedKey, this.keys.check(route, req.rawHeaders));
    if (key.kind === 'unidentified') {
      this.rejectWithoutKey(req, res, key.fault);
      return;
    }
    const head = parseCallerHeaders(req.headers);
    const caller = acceptedCaller(key);
    const request = new CallerRequest(ctx, req, res, route, head, caller, body, startedMs);
    this.running.add(request);
    try {
      request.start();
    } catch (thrown) {
      ctx.log.error('request failed with an unexpected error', {
        requestId: head.requestId,
        error: errorMessage(thrown),
      });
      this.running.delete(request);
      res.destroy();
    }
  }

  /** Rejects a request without a valid key, or refuses it where its key may be valid by now. */
  private rejectWithoutKey(req: IncomingMessage, res: ServerResponse, fault: KeyFault): void {
    const ctx = this.ctx();
    const currency = ctx.configCurrency();
    const reason = rejectionWithoutKey(currency);
    const logFields = {
      fault,
      config: ctx.configVersion(),
      configAgeMs: Math.round(currency.ageMs),
      isNewerAnnounced: currency.isNewerAnnounced,
    };
    switch (reason) {
      case 'unauthenticated':
        this.reject(req, res, 401, reason, KEY_CHALLENGE, logFields);
        return;
      case 'config_outdated':
        this.refuse(req, res, reason, configRetryAfterMs(), logFields);
        return;
      default:
        assertNever(reason);
    }
  }

  private refuseForMemory(req: IncomingMessage, res: ServerResponse, bytes: number): void {
    const {requestId} = parseCallerHeaders(req.headers);
    this.ctx().memory.recordEviction('body', {requestId, bytes, announced: announcedBytes(req)});
    const retryAfterMs = MEMORY_RETRY_AFTER_MS + Math.random() * RETRY_AFTER_JITTER_MS;
    this.refuse(req, res, 'memory_full', retryAfterMs);
  }

  /** Refuses a request as not run; the caller may retry it. */
  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    reason: string,
    retryAfterMs: number,
    logFields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.reject(req, res, 503, reason, retryAfterHeader(retryAfterMs), logFields);
  }

  private reject(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>> = {},
    logFields: Readonly<Record<string, unknown>> = {},
  ): void {
    const ctx = this.ctx();
    ctx.metrics.endings.increment('rejected');
    ctx.metrics.rejections.increment(reason);
    ctx.log.info('request rejected', {
      requestId: parseCallerHeaders(req.headers).requestId,
      status,
      reason,
      ...logFields,
    });
    const endsConnection = ctx.endsConnection(req) || status === 413;
    sendLocalResponse(res, status, reason, endsConnection, headers);
    req.resume();
  }
}

function configRetryAfterMs(): number {
  return NO_CONFIG_RETRY_AFTER_MS + Math.random() * RETRY_AFTER_JITTER_MS;
}

function hostAndPath({headers, url = '/'}: IncomingMessage): [host: string, path: string] {
  const host = (headers.host ?? '').toLowerCase().replace(/:\d+$/, '');
  return [host, url.split('?', 1)[0]];
}

function headBytes(req: IncomingMessage): number {
  let bytes = 0;
  for (const part of req.rawHeaders) bytes += part.length + 2;
  return bytes;
}
