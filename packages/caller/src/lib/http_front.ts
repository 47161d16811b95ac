/** HTTP towards callers: routes, authentication, checks and limits. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {fnv1a32, listenOn, newId, sha256Hex, type HostPort} from '@jasminepost/core';
import type {RequestClass} from '@jasminepost/core';
import type {AnswerSink, CallerCall} from './answer_sink.ts';
import {parseCompletion} from './completion_request.ts';
import {readBody} from './body_reader.ts';
import {refusal, type CallerFailure} from './caller_failure.ts';
import {CompletionSink} from './completion_sink.ts';
import {sendFailure} from './response_writer.ts';
import {ServiceSink} from './service_sink.ts';

const MAX_HEADER_BYTES = 32 * 1024;
const MAX_KEY_LENGTH = 200;
const PREFIX_CHARS = 512;
const FINGERPRINT_CHARS = 32;
const NON_IDEMPOTENT_HEADER = 'x-jasminepost-non-idempotent';
const TIMEOUT_HEADER = 'x-request-timeout-ms';

/** @public */
export interface CallerIdentity {
  readonly organisation: string;
  readonly class: RequestClass;
}

/** @public */
export interface FrontLimits {
  readonly maxBodyBytes: number;
  readonly defaultTimeoutMs: number;
}

/** What the front asks of the rest of the entry. @public */
export interface CallerBackend {
  /** Undefined while the entry can serve. */
  notReadyReason(): string | undefined;
  authenticate(apiKey: string): CallerIdentity | undefined;
  listModels(identity: CallerIdentity): readonly string[];
  /** Declared name of a callable `model` or `model:adapter`. */
  findModel(
    identity: CallerIdentity,
    requested: string,
  ): {readonly model: string; readonly adapter: string} | undefined;
  /** Undefined when the organisation may not call the service. */
  findService(
    identity: CallerIdentity,
    name: string,
  ): {isNonIdempotent(method: string, path: string): boolean} | undefined;
  dispatch(call: CallerCall, sink: AnswerSink): void;
  onRefused(failure: CallerFailure): void;
}

interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string;
  readonly identity: CallerIdentity;
}

/** @public */
export class HttpFront {
  private readonly server: Server;
  private leaving = false;
  private readonly router = findMyWay<findMyWay.HTTPVersion.V1>({
    maxParamLength: 1024,
    defaultRoute: (req, res) => this.refuseRoute(req, res),
  });

  constructor(
    private readonly backend: CallerBackend,
    private readonly limits: FrontLimits,
  ) {
    this.server = createServer({maxHeaderSize: MAX_HEADER_BYTES}, (req, res) => {
      this.router.lookup(req, res);
    });
    this.server.requestTimeout = 0;
    this.router.on(
      'GET',
      '/v1/models',
      (req, res) => void this.serve(req, res, exchange => this.models(exchange)),
    );
    this.router.on('POST', '/v1/chat/completions', (req, res) => {
      void this.serve(req, res, exchange => this.complete(exchange));
    });
    const methods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'] as const;
    this.router.on([...methods], '/services/:name/*', (req, res, params) => {
      void this.serve(req, res, exchange => this.callService(exchange, params['name'] ?? ''));
    });
  }

  async listen(address: HostPort): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Asks callers to come back on a new connection, which the balancer sends elsewhere. */
  announceLeaving(): void {
    this.leaving = true;
  }

  /** Stops taking connections; idle ones close, busy ones after their answer. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    handler: (exchange: Exchange) => Promise<void> | void,
  ): Promise<void> {
    const requestId = newId('req');
    const notReady = this.backend.notReadyReason();
    // A caller on a kept-alive connection comes back through the balancer.
    if (this.leaving || notReady !== undefined) res.setHeader('connection', 'close');
    if (notReady !== undefined) {
      this.refuse(res, requestId, refusal('not_ready', notReady));
      return;
    }
    const identity = this.backend.authenticate(bearerKey(req));
    if (identity === undefined) {
      this.refuse(res, requestId, refusal('unauthenticated', 'missing or unknown API key'));
      return;
    }
    await handler({req, res, requestId, identity});
  }

  private models({res, identity}: Exchange): void {
    const data = this.backend
      .listModels(identity)
      .map(id => ({id, object: 'model', owned_by: identity.organisation}));
    res.writeHead(200, {'content-type': 'application/json'});
    res.end(JSON.stringify({object: 'list', data}));
  }

  private async complete(exchange: Exchange): Promise<void> {
    const body = await this.readBody(exchange);
    if (body === undefined) return;
    const parsed = parseCompletion(body);
    if (!parsed.ok) {
      this.refuse(exchange.res, exchange.requestId, refusal('bad_request', parsed.error));
      return;
    }
    const found = this.backend.findModel(exchange.identity, parsed.value.model);
    if (found === undefined) {
      const message = `model: found "${parsed.value.model}", wanted a model of this organisation`;
      this.refuse(exchange.res, exchange.requestId, refusal('model_not_found', message));
      return;
    }
    const sink = new CompletionSink(
      exchange.res,
      exchange.requestId,
      parsed.value.model,
      parsed.value.stream,
      parsed.value.includeUsage,
    );
    const prefix = parsed.value.prompt.slice(0, PREFIX_CHARS);
    this.dispatch(exchange, sink, {
      kind: 'engine',
      target: found.model,
      adapter: found.adapter,
      path: '/v1/chat/completions',
      body,
      prefixHash: fnv1a32(`${parsed.value.model}\n${prefix}`) || 1,
      marked: false,
      resumable: parsed.value.resumable,
    });
  }

  private async callService(exchange: Exchange, name: string): Promise<void> {
    const service = this.backend.findService(exchange.identity, name);
    if (service === undefined) {
      const message = `service: found "${name}", wanted a service of this organisation`;
      this.refuse(exchange.res, exchange.requestId, refusal('service_not_found', message));
      return;
    }
    const body = await this.readBody(exchange);
    if (body === undefined) return;
    const path = (exchange.req.url ?? '').slice(`/services/${name}`.length);
    this.dispatch(exchange, new ServiceSink(exchange.res, exchange.requestId), {
      kind: 'service',
      target: name,
      adapter: '',
      path,
      body,
      prefixHash: 0,
      marked: service.isNonIdempotent(exchange.req.method ?? '', path),
      resumable: false,
    });
  }

  private dispatch(
    {req, res, requestId, identity}: Exchange,
    sink: AnswerSink,
    target: Pick<
      CallerCall,
      'kind' | 'target' | 'adapter' | 'path' | 'body' | 'prefixHash' | 'resumable'
    > & {readonly marked: boolean},
  ): void {
    const method = req.method ?? 'POST';
    const key = headerOf(req, 'idempotency-key');
    const marked = target.marked || headerOf(req, NON_IDEMPOTENT_HEADER) === 'true';
    const timeoutMs = timeoutOf(req, this.limits.defaultTimeoutMs);
    const fault = checkHeaders(marked, key, timeoutMs);
    if (fault !== undefined) {
      this.refuse(res, requestId, fault);
      return;
    }
    const identityText = `${identity.organisation}\n${target.target}\n${target.adapter}\n${method}\n${target.path}\n`;
    const fingerprint = sha256Hex(Buffer.concat([Buffer.from(identityText), target.body]));
    this.backend.dispatch(
      {
        kind: target.kind,
        target: target.target,
        adapter: target.adapter,
        path: target.path,
        body: target.body,
        prefixHash: target.prefixHash,
        resumable: target.resumable,
        requestId,
        organisation: identity.organisation,
        class: identity.class,
        method,
        headers: forwardedHeaders(req),
        fingerprint: fingerprint.slice(0, FINGERPRINT_CHARS),
        deadlineMs: performance.now() + timeoutMs,
        idempotencyKey: marked ? key : '',
      },
      sink,
    );
  }

  private async readBody({req, res, requestId}: Exchange): Promise<Buffer | undefined> {
    const body = await readBody(req, this.limits.maxBodyBytes);
    if (body.kind === 'read') return body.bytes;
    if (body.kind === 'too_large') {
      const message = `body: found more than ${this.limits.maxBodyBytes} bytes`;
      this.refuse(res, requestId, refusal('body_too_large', message));
    }
    return undefined;
  }

  private refuseRoute(req: IncomingMessage, res: ServerResponse): void {
    const message = `path: found "${req.method ?? ''} ${req.url ?? ''}", wanted a documented route`;
    this.refuse(res, newId('req'), refusal('not_found', message));
  }

  private refuse(res: ServerResponse, requestId: string, failure: CallerFailure): void {
    this.backend.onRefused(failure);
    sendFailure(res, failure, requestId);
  }
}

function bearerKey(req: IncomingMessage): string {
  const match = /^Bearer (\S+)$/.exec(headerOf(req, 'authorization'));
  return match?.[1] ?? '';
}

function headerOf(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}

function timeoutOf(req: IncomingMessage, defaultMs: number): number {
  const text = headerOf(req, TIMEOUT_HEADER);
  return text === '' ? defaultMs : Number(text);
}

function checkHeaders(marked: boolean, key: string, timeoutMs: number): CallerFailure | undefined {
  if (!Number.isInteger(timeoutMs) || timeoutMs < 1) {
    return refusal('bad_request', `${TIMEOUT_HEADER}: wanted a whole number of milliseconds`);
  }
  if (!marked) return undefined;
  if (key === '') {
    const message = 'idempotency-key: found nothing, wanted a key for a non-idempotent call';
    return refusal('idempotency_key_required', message);
  }
  if (key.length > MAX_KEY_LENGTH || !/^[\w.:-]+$/.test(key)) {
    const message = `idempotency-key: wanted at most ${MAX_KEY_LENGTH} of letters, digits, "._:-"`;
    return refusal('bad_request', message);
  }
  return undefined;
}

/** Headers for the upstream; the caller's credentials stay here. */
function forwardedHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (name === 'authorization' || name === 'cookie' || value === undefined) continue;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}
