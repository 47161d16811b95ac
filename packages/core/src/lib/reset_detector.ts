/** Distinguishes a reset from the orderly end of a response without a content length. */
import type {IncomingHttpHeaders} from 'node:http';
import {Socket} from 'node:net';
import {buildConnector, DecoratorHandler, type Dispatcher} from 'undici';
import {withDeferredEnd} from './http_connector.ts';

/** Lower statuses are those of interim responses, which precede the final one. */
const FIRST_FINAL_STATUS = 200;

const NOT_MODIFIED_STATUS = 304;
const LENGTH_MISMATCH_CODE = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/** Resolves to the error that ended the connection; undefined when it was closed in order. */
type Probe = Promise<Error | undefined>;

/**
 * A response without a content length ends with its connection, and libuv reports an end of input
 * instead of a reset that arrives together with the last bytes. An empty write then still fails.
 *
 * @example
 * const resets = new ResetDetector();
 * const connect = resets.connector({timeout: 1000});
 * const agent = new Agent({connect}).compose(resets.interceptor);
 * @public
 */
export class ResetDetector {
  /** Set while the listeners for a socket's end run. */
  private probe: Probe | undefined;

  /** @param onSocket - Called for each new connection. */
  constructor(private readonly onSocket: (socket: Socket) => void = () => undefined) {}

  /** Reports a hidden reset to the response handler as an error. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) =>
    dispatch(options, new ResetHandler(handler, () => this.probe));

  connector(options: buildConnector.BuildOptions): buildConnector.connector {
    return this.watchedConnector(buildConnector(options));
  }

  /** Like `connector`, for connections that are opened in another way. */
  watchedConnector(connect: buildConnector.connector): buildConnector.connector {
    const open = withDeferredEnd(connect);
    return (target, callback) => {
      open(target, (...result: Parameters<buildConnector.Callback>) => {
        const socket: unknown = result[1];
        // A failed connection attempt has no socket.
        if (socket instanceof Socket) {
          this.watch(socket);
          this.onSocket(socket);
        }
        callback(...result);
      });
    };
  }

  private watch(socket: Socket): void {
    socket.prependListener('end', () => {
      this.publishProbe(
        new Promise(resolve => {
          socket.write('', error => resolve(error ?? undefined));
        }),
      );
    });
  }

  private publishProbe(probe: Probe): void {
    this.probe = probe;
    process.nextTick(() => {
      if (this.probe === probe) this.probe = undefined;
    });
  }
}

/** Delays the end of a response until the probe of its connection has resolved. */
class ResetHandler implements Dispatcher.DispatchHandler {
  private readonly inner: Dispatcher.DispatchHandler;
  private status = 0;

  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly probe: () => Probe | undefined,
  ) {
    // Handlers that undici creates itself implement an older interface.
    this.inner = new DecoratorHandler(handler);
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.inner.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    // The decorator accepts one head only, and no caller needs interim ones.
    if (status < FIRST_FINAL_STATUS) return;
    this.status = status;
    this.inner.onResponseStart?.(controller, status, headers, statusMessage);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.inner.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    const probe = this.probe();
    if (probe === undefined) {
      this.inner.onResponseEnd?.(controller, trailers);
      return;
    }
    void probe.then(error => {
      if (error === undefined) this.inner.onResponseEnd?.(controller, trailers);
      else this.inner.onResponseError?.(controller, error);
    });
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    // The length in a 304 is that of the body which it doesn't send; undici expects that body.
    const isMismatch = (error as {code?: unknown}).code === LENGTH_MISMATCH_CODE;
    if (isMismatch && this.status === NOT_MODIFIED_STATUS) this.onResponseEnd(controller, {});
    else this.inner.onResponseError?.(controller, error);
  }
}
