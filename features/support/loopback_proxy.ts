/** TCP proxy on loopback that injects link faults. */
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {resetConnection} from '@jasminepost/core';

/** `held` forwards nothing in either direction, `one_way` only the callers' data. */
export type LinkState = 'sound' | 'slow' | 'held' | 'one_way';

type Direction = 'request' | 'answer';

/** Delay of each chunk on a slow link. */
const SLOW_DELAY_MS = 120;

export class LoopbackProxy {
  /** Bandwidth in bytes per millisecond, shared by all connections. */
  bytesPerMs = Number.POSITIVE_INFINITY;
  /** Time at which all bytes read so far will have been forwarded. */
  private freeAtMs = 0;
  private state: LinkState = 'sound';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  /** Deliveries that wait until the link is sound again. */
  private waiting: Array<() => void> = [];

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = createServer(caller => this.accept(caller));
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  async listen(host: string): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve));
  }

  setState(state: LinkState): void {
    this.state = state;
    if (state !== 'sound') return;
    for (const deliver of this.waiting.splice(0)) deliver();
  }

  /** Forwards nothing more on open connections, without closing them. */
  stall(): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data');
      socket.pause();
    }
  }

  /** Resets every connection. */
  reset(): void {
    for (const socket of this.sockets) resetConnection(socket);
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(caller: Socket): void {
    const target = connect(this.targetPort, this.targetHost);
    this.pipe(caller, target, 'request');
    this.pipe(target, caller, 'answer');
  }

  private pipe(from: Socket, to: Socket, direction: Direction): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('error', () => from.destroy());
    from.on('data', data => this.forwardAtRate(from, data.length, direction, () => to.write(data)));
    from.on('end', () => this.forward(direction, () => to.end()));
    from.on('close', hadError => {
      this.sockets.delete(from);
      this.forward(direction, () => (hadError ? resetConnection(to) : to.destroySoon()));
    });
  }

  /** Pauses a connection until this chunk is forwarded, so that all connections get a share. */
  private forwardAtRate(
    from: Socket,
    bytes: number,
    direction: Direction,
    deliver: () => void,
  ): void {
    if (this.bytesPerMs === Number.POSITIVE_INFINITY) return this.forward(direction, deliver);
    const nowMs = performance.now();
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + bytes / this.bytesPerMs;
    from.pause();
    setTimeout(() => {
      this.forward(direction, deliver);
      from.resume();
    }, this.freeAtMs - nowMs);
  }

  private forward(direction: Direction, deliver: () => void): void {
    switch (this.state) {
      case 'sound':
        if (this.waiting.length === 0) deliver();
        else this.waiting.push(deliver);
        return;
      case 'slow':
        setTimeout(deliver, SLOW_DELAY_MS);
        return;
      case 'held':
        this.waiting.push(deliver);
        return;
      case 'one_way':
        if (direction === 'request') deliver();
        else this.waiting.push(deliver);
    }
  }
}
