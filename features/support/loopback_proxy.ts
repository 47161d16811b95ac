/** Passes connections on over loopback and harms them on demand. */
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {resetConnection} from '@jasminepost/core';

/** `held` passes nothing on in either direction, `one_way` only what callers send. */
export type LinkState = 'sound' | 'slow' | 'held' | 'one_way';

type Direction = 'request' | 'answer';

/** Delay of each piece on a slow link. */
const SLOW_DELAY_MS = 120;

export class LoopbackProxy {
  /** Bytes that it passes on in a millisecond, over all connections. */
  bytesPerMs = Number.POSITIVE_INFINITY;
  /** When all bytes that have been taken will have passed. */
  private freeAtMs = 0;
  private state: LinkState = 'sound';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  /** What waits for the link to be sound again. */
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

  /** Lets nothing more pass on the connections that are open; their ends hear nothing of it. */
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

  /** Takes no more of a connection before this piece has passed, so that all have their turn. */
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
