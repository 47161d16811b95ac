/** Tells a reset from an orderly end of an answer that has no length. */
import type {IncomingHttpHeaders} from 'node:http';
import {Socket} from 'node:net';
import {buildConnector, DecoratorHandler, type Dispatcher} from 'undici';

/** Outcome of a probe: the error with which the connection ended, if it did not end in order. */
type Probe = Promise<Error | undefined>;

/**
 * An answer without a length ends with its connection, and two things hide that it was reset: undici
 * takes a reset for such an end, and libuv reports an end of input instead of a reset that arrives
 * together with the last bytes. The connection itself still knows; an empty write fails on it.
 *
 * @example
 * const watch = new ResetWatch();
 * const agent = new Agent({connect: watch.connector({timeout: 1000})}).compose(watch.interceptor);
 * @public
 */
export class ResetDetector {
  /** Set while the handlers of a socket's end or error run. */
  private probe: Probe | undefined;

  /** @param onSocket - Called for each new connection. */
  constructor(private readonly onSocket: (socket: Socket) => void = () => undefined) {}

  /** Passes a hidden reset on to a handler as the error that it is. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) =>
    dispatch(options, new ResetHandler(handler, () => this.probe));

  connector(options: buildConnector.BuildOptions): buildConnector.connector {
    const connect = buildConnector(options);
    return (target, callback) => {
      connect(target, (...result: Parameters<buildConnector.Callback>) => {
        const socket: unknown = result[1];
        // A failed attempt has no socket.
        if (socket instanceof Socket) {
          this.watch(socket);
          this.onSocket(socket);
        }
        callback(...result);
      });
    };
  }

  private watch(socket: Socket): void {
    socket.prependListener('error', (error: Error) => this.publishProbe(Promise.resolve(error)));
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

/** Waits with the end of an answer for what a probe of its connection shows. */
class ResetHandler implements Dispatcher.DispatchHandler {
  private readonly inner: Dispatcher.DispatchHandler;

  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly probe: () => Probe | undefined,
  ) {
    // Handlers of undici's own calls have an older interface.
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
    this.inner.onResponseError?.(controller, error);
  }
}
