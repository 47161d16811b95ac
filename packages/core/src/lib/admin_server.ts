/** Health, readiness and metrics endpoints, the same in every program. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {errorMessage} from './errors.ts';
import {listenOn} from './listen_on.ts';
import type {Logger} from './logger.ts';
import type {HostPort} from './settings.ts';
import type {MetricRegistry} from './metrics.ts';

/** @public */
export interface AdminState {
  /** Reason that `/readyz` returns with status 503; undefined when ready. */
  notReadyReason(): string | undefined;
  /** Content of `/status`. */
  status(): Readonly<Record<string, unknown>>;
}

/** Serves `/healthz`, `/readyz`, `/metrics` and `/status`. @public */
export class AdminServer {
  private readonly server: Server;

  constructor(
    private readonly metrics: MetricRegistry,
    private readonly state: AdminState,
  ) {
    this.server = createServer((req, res) => this.handle(req, res));
  }

  async listen(address: HostPort): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Listens on the address; logs an error instead of failing when that is not possible. */
  async tryListen(address: HostPort, log: Logger): Promise<void> {
    try {
      await this.listen(address);
    } catch (thrown) {
      log.error('metrics address not available', {...address, error: errorMessage(thrown)});
    }
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    switch (req.url) {
      case '/healthz':
        return this.send(res, 200, 'ok\n');
      case '/readyz': {
        const reason = this.state.notReadyReason();
        return reason === undefined
          ? this.send(res, 200, 'ready\n')
          : this.send(res, 503, `${reason}\n`);
      }
      case '/metrics':
        return this.send(res, 200, this.metrics.render());
      case '/status':
        return this.send(res, 200, JSON.stringify(this.state.status()));
      default:
        return this.send(res, 404, 'not found\n');
    }
  }

  private send(res: ServerResponse, status: number, body: string): void {
    res.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
    res.end(body);
  }
}
