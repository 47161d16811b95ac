/** HTTP server for callers: routes, authentication, validation and limits. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {fnv1a32, listenOn, newId, sha256Hex, sleep, type HostPort} from '@jasminepost/core';
import type {RequestClass} from '@jasminepost/core';
import type {ResponseSink, ValidatedRequest} from './response_sink.ts';
import {parseCompletionRequest} from './completion_request.ts';
import {readBody} from './body_reader.ts';
import {rejectionResponse, type ErrorResponse} from './error_response.ts';
import {CompletionSink} from './completion_sink.ts';
import {RequestSequence} from './request_sequence.ts';
import {sendErrorResponse} from './response_writer.ts';
import {ServiceSink} from './service_sink.ts';

const MAX_HEADER_BYTES = 32 * 1024;
/** Time that callers have to read the last responses before the entry ends. */
const MAX_UNREAD_MS = 5000;
const POLL_MS = 50;
const MAX_IDEMPOTENCY_KEY_CHARS = 200;
const PROMPT_PREFIX_CHARS = 512;
const FINGERPRINT_CHARS = 32;
const NON_IDEMPOTENT_HEADER = 'x-jasminepost-non-idempotent';
const TIMEOUT_HEADER = 'x-request-timeout-ms';

/** @public */
export interface CallerIdentity {
  readonly organisation: string;
  readonly class: RequestClass;
}

/** @public */
export interface CallerHttpServerLimits {
  readonly maxBodyBytes: number;
  readonly defaultTimeoutMs: number;
}

/** What the server needs from the rest of the entry. @public */
export interface CallerBackend {
  /** Undefined while the entry can serve requests. */
  notReadyReason(): string | undefined;
  authenticate(apiKey: string): CallerIdentity | undefined;
  listModels(identity: CallerIdentity): readonly string[];
  /** Resolves `model` or `model:adapter`; undefined when the organisation may not call it. */
  findModel(
    identity: CallerIdentity,
    requested: string,
  ): {readonly model: string; readonly adapter: string} | undefined;
  /** Undefined when the organisation may not call the service. */
  findService(
    identity: CallerIdentity,
    name: string,
  ): {isNonIdempotent(method: string, path: string): boolean} | undefined;
  dispatch(request: ValidatedRequest, sink: ResponseSink): void;
  onRejected(failure: ErrorResponse): void;
}

interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string;
  readonly identity: CallerIdentity;
}

/** @public */
export class CallerHttpServer {
  private readonly server: Server;
  private readonly sequence: RequestSequence;
  private leaving = false;
  private readonly router = findMyWay<findMyWay.HTTPVersion.V1>({
    maxParamLength: 1024,
    defaultRoute: (req, res) => this.rejectUnknownRoute(req, res),
  });

  constructor(
    private readonly backend: CallerBackend,
    private readonly limits: CallerHttpServerLimits,
  ) {
    this.sequence = new RequestSequence({
      onRequest: (req, res) => {
        this.router.lookup(req, res);
      },
      // Its connection ends with the last response that is due on it.
      onFollowed: current => {
        if (!current.headersSent) current.removeHeader('connection');
      },
      onTooManyAhead: () => undefined,
    });
    this.server = createServer({maxHeaderSize: MAX_HEADER_BYTES}, (req, res) => {
      this.sequence.accept(req, res);
    });
    this.sequence.protectUnwritten(this.server);
    this.server.requestTimeout = 0;
    this.router.on(
      'GET',
      '/v1/models',
      (req, res) => void this.authenticateAndHandle(req, res, context => this.models(context)),
    );
    this.router.on('POST', '/v1/chat/completions', (req, res) => {
      void this.authenticateAndHandle(req, res, context => this.handleCompletion(context));
    });
    const methods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'] as const;
    this.router.on([...methods], '/services/:name/*', (req, res, params) => {
      void this.authenticateAndHandle(req, res, context =>
        this.handleServiceCall(context, params['name'] ?? ''),
      );
    });
  }

  async listen(address: HostPort): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Makes callers reconnect after their response; the balancer then picks another entry. */
  announceShutdown(): void {
    this.leaving = true;
  }

  /** Stops accepting connections; idle ones close now, others after their response. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Waits until all responses are written, then closes; cuts those that are not read in time. */
  async close(): Promise<void> {
    const deadlineMs = performance.now() + MAX_UNREAD_MS;
    while (this.sequence.unwritten > 0 && performance.now() < deadlineMs) await sleep(POLL_MS);
    this.sequence.cutUnwritten();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async authenticateAndHandle(
    req: IncomingMessage,
    res: ServerResponse,
    handler: (context: RequestContext) => Promise<void> | void,
  ): Promise<void> {
    const requestId = newId('req');
    const notReady = this.backend.notReadyReason();
    // Closing the keep-alive connection makes the caller reconnect through the load balancer.
    if ((this.leaving || notReady !== undefined) && !this.sequence.isFollowed(req))
      res.setHeader('connection', 'close');
    if (notReady !== undefined) {
      this.reject(res, requestId, rejectionResponse('not_ready', notReady));
      return;
    }
    const identity = this.backend.authenticate(bearerToken(req));
    if (identity === undefined) {
      this.reject(
        res,
        requestId,
        rejectionResponse('unauthenticated', 'missing or unknown API key'),
      );
      return;
    }
    await handler({req, res, requestId, identity});
  }

  private models({res, identity}: RequestContext): void {
    const data = this.backend
      .listModels(identity)
      .map(id => ({id, object: 'model', owned_by: identity.organisation}));
    res.writeHead(200, {'content-type': 'application/json'});
    res.end(JSON.stringify({object: 'list', data}));
  }

  private async handleCompletion(context: RequestContext): Promise<void> {
    const body = await this.readBody(context);
    if (body === undefined) return;
    const parsed = parseCompletionRequest(body);
    if (!parsed.ok) {
      this.reject(context.res, context.requestId, rejectionResponse('bad_request', parsed.error));
      return;
    }
    const found = this.backend.findModel(context.identity, parsed.value.model);
    if (found === undefined) {
      const message = `model: found "${parsed.value.model}", wanted a model of this organisation`;
      this.reject(context.res, context.requestId, rejectionResponse('model_not_found', message));
      return;
    }
    const sink = new CompletionSink(
      context.res,
      context.requestId,
      parsed.value.model,
      parsed.value.stream,
      parsed.value.includeUsage,
    );
    const prefix = parsed.value.prompt.slice(0, PROMPT_PREFIX_CHARS);
    this.dispatch(context, sink, {
      kind: 'engine',
      target: found.model,
      adapter: found.adapter,
      path: '/v1/chat/completions',
      body,
      prefixHash: fnv1a32(`${parsed.value.model}\n${prefix}`) || 1,
      isNonIdempotent: false,
      resumable: parsed.value.resumable,
    });
  }

  private async handleServiceCall(context: RequestContext, name: string): Promise<void> {
    const service = this.backend.findService(context.identity, name);
    if (service === undefined) {
      const message = `service: found "${name}", wanted a service of this organisation`;
      this.reject(context.res, context.requestId, rejectionResponse('service_not_found', message));
      return;
    }
    const body = await this.readBody(context);
    if (body === undefined) return;
    const path = (context.req.url ?? '').slice(`/services/${name}`.length);
    this.dispatch(context, new ServiceSink(context.res, context.requestId), {
      kind: 'service',
      target: name,
      adapter: '',
      path,
      body,
      prefixHash: 0,
      isNonIdempotent: service.isNonIdempotent(context.req.method ?? '', path),
      resumable: false,
    });
  }

  private dispatch(
    {req, res, requestId, identity}: RequestContext,
    sink: ResponseSink,
    target: Pick<
      ValidatedRequest,
      'kind' | 'target' | 'adapter' | 'path' | 'body' | 'prefixHash' | 'resumable'
    > & {readonly isNonIdempotent: boolean},
  ): void {
    // It may have begun to shut down while the body was being read.
    const notReady = this.backend.notReadyReason();
    if (notReady !== undefined) {
      this.reject(res, requestId, rejectionResponse('not_ready', notReady));
      return;
    }
    const method = req.method ?? 'POST';
    const idempotencyKey = headerText(req, 'idempotency-key');
    const isNonIdempotent =
      target.isNonIdempotent || headerText(req, NON_IDEMPOTENT_HEADER) === 'true';
    const timeoutMs = parseTimeoutMs(req, this.limits.defaultTimeoutMs);
    const rejection = checkHeaders(isNonIdempotent, idempotencyKey, timeoutMs);
    if (rejection !== undefined) {
      this.reject(res, requestId, rejection);
      return;
    }
    const fingerprintPrefix = `${identity.organisation}\n${target.target}\n${target.adapter}\n${method}\n${target.path}\n`;
    const fingerprint = sha256Hex(Buffer.concat([Buffer.from(fingerprintPrefix), target.body]));
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
        idempotencyKey: isNonIdempotent ? idempotencyKey : '',
      },
      sink,
    );
  }

  private async readBody({req, res, requestId}: RequestContext): Promise<Buffer | undefined> {
    const body = await readBody(req, this.limits.maxBodyBytes);
    if (body.kind === 'read') return body.bytes;
    if (body.kind === 'too_large') {
      const message = `body: found more than ${this.limits.maxBodyBytes} bytes`;
      this.reject(res, requestId, rejectionResponse('body_too_large', message));
    }
    return undefined;
  }

  private rejectUnknownRoute(req: IncomingMessage, res: ServerResponse): void {
    const message = `path: found "${req.method ?? ''} ${req.url ?? ''}", wanted a documented route`;
    this.reject(res, newId('req'), rejectionResponse('not_found', message));
  }

  private reject(res: ServerResponse, requestId: string, errorResponse: ErrorResponse): void {
    this.backend.onRejected(errorResponse);
    sendErrorResponse(res, errorResponse, requestId);
  }
}

function bearerToken(req: IncomingMessage): string {
  const match = /^Bearer (\S+)$/.exec(headerText(req, 'authorization'));
  return match?.[1] ?? '';
}

function headerText(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}

function parseTimeoutMs(req: IncomingMessage, defaultMs: number): number {
  const text = headerText(req, TIMEOUT_HEADER);
  return text === '' ? defaultMs : Number(text);
}

function checkHeaders(
  isNonIdempotent: boolean,
  idempotencyKey: string,
  timeoutMs: number,
): ErrorResponse | undefined {
  if (!Number.isInteger(timeoutMs) || timeoutMs < 1) {
    return rejectionResponse(
      'bad_request',
      `${TIMEOUT_HEADER}: wanted a whole number of milliseconds`,
    );
  }
  if (!isNonIdempotent) return undefined;
  if (idempotencyKey === '') {
    const message = 'idempotency-key: found nothing, wanted a key for a non-idempotent call';
    return rejectionResponse('idempotency_key_required', message);
  }
  if (idempotencyKey.length > MAX_IDEMPOTENCY_KEY_CHARS || !/^[\w.:-]+$/.test(idempotencyKey)) {
    const message = `idempotency-key: wanted at most ${MAX_IDEMPOTENCY_KEY_CHARS} of letters, digits, "._:-"`;
    return rejectionResponse('bad_request', message);
  }
  return undefined;
}

/** Headers to forward to the upstream, without the caller's credentials. */
function forwardedHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (name === 'authorization' || name === 'cookie' || value === undefined) continue;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}
