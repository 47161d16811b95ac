/** Base of stand-ins for replicas that write the bytes of their responses themselves. */
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';

export abstract class RawReplica {
  private readonly server: Server;

  constructor(readonly id: string) {
    this.server = createServer(socket => this.serve(socket));
  }

  /** @param port - 0 for any free one. */
  async listen(host: string, port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, host, resolve));
  }

  close(): void {
    this.server.close();
  }

  /** The replica's registration record in the store. */
  registration(service: string, zone: string): unknown {
    const {address, port} = this.server.address() as AddressInfo;
    const state = 'ready';
    return {service, address: `${address}:${port}`, zone, version: 'v1', slots: 64, state};
  }

  protected abstract serve(socket: Socket): void;
}
