/** HTTP towards callers: routes, limits, and requests in progress. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {readBody} from '@jasminepost/caller';
import {exhaustive, listenOn, messageOf, type HostPort} from '@jasminepost/core';
import {readCallerHead} from '@jasminepost/platform';
import type {RouteTable} from '@jasminepost/serving';
import {sendOwnAnswer} from './answer_relay.ts';
import {CallerRequest} from './caller_request.ts';
import type {GatewayContext} from './gateway_context.ts';

/** Largest head that is parsed at all; the configuration's own limit lies below. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Connections that may wait to be accepted. */
const BACKLOG = 1024;

/** @internal */
export class CallerServer {
  readonly running = new Set<CallerRequest>();
  private readonly server: Server;
  private routes: RouteTable | undefined;
  /** Requests whose body is still being read. */
  private reading = 0;

  constructor(private readonly ctx: () => GatewayContext) {
    this.server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true}, (req, res) => {
      this.handle(req, res);
    });
  }

  get busy(): number {
    return this.running.size + this.reading;
  }

  async listen(address: HostPort): Promise<void> {
    await listenOn(this.server, address, BACKLOG);
  }

  /** Puts a configuration into force for requests from now on. */
  applyRoutes(routes: RouteTable): void {
    this.routes = routes;
    const {limits} = routes.config;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Stops listening and closes the connections that carry no request. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  onFinished(request: CallerRequest): void {
    this.running.delete(request);
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const ctx = this.ctx();
    const startedMs = ctx.clock.monotonicMs();
    // A caller that resets its connection is seen by the response's close event.
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    const {routes} = this;
    if (routes === undefined) {
      this.reject(req, res, 503, 'no_configuration');
      return;
    }
    const {limits} = routes.config;
    if (headBytes(req) > limits.headerBytes) {
      this.reject(req, res, 431, 'headers_too_large');
      return;
    }
    void this.read(req, res, limits.bodyBytes, startedMs);
  }

  private async read(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
    startedMs: number,
  ): Promise<void> {
    this.reading += 1;
    const body = await readBody(req, maxBytes);
    this.reading -= 1;
    switch (body.kind) {
      case 'read':
        this.begin(req, res, body.bytes, startedMs);
        return;
      case 'too_large':
        this.reject(req, res, 413, 'body_too_large');
        return;
      case 'caller_gone':
        return;
      default:
        exhaustive(body);
    }
  }

  private begin(req: IncomingMessage, res: ServerResponse, body: Buffer, startedMs: number): void {
    const ctx = this.ctx();
    const host = (req.headers.host ?? '').toLowerCase().replace(/:\d+$/, '');
    const path = (req.url ?? '/').split('?', 1)[0];
    // The newest configuration counts, which may have come while the body was read.
    const route = this.routes?.find(host, path);
    if (route === undefined) {
      ctx.metrics.endings.increment('no_route');
      ctx.log.info('request without route', {
        requestId: readCallerHead(req.headers).requestId,
        host,
        path,
        config: ctx.configVersion(),
      });
      sendOwnAnswer(res, 404, 'no_route', ctx.isDraining());
      return;
    }
    const head = readCallerHead(req.headers);
    const request = new CallerRequest(ctx, req, res, route, head, body, startedMs);
    this.running.add(request);
    try {
      request.start();
    } catch (thrown) {
      ctx.log.error('request broke', {requestId: head.requestId, error: messageOf(thrown)});
      this.running.delete(request);
      res.destroy();
    }
  }

  private reject(req: IncomingMessage, res: ServerResponse, status: number, reason: string): void {
    const ctx = this.ctx();
    ctx.metrics.endings.increment('rejected');
    ctx.log.info('request rejected', {
      requestId: readCallerHead(req.headers).requestId,
      status,
      reason,
    });
    sendOwnAnswer(res, status, reason, ctx.isDraining() || status === 413);
    req.resume();
  }
}

function headBytes(req: IncomingMessage): number {
  let bytes = 0;
  for (const part of req.rawHeaders) bytes += part.length + 2;
  return bytes;
}
