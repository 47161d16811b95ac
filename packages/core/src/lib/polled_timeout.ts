/**
 * Timeout for something that arrives over a socket. After the process has stood still, timers run
 * before sockets are read, so that a plain timer would end what has arrived meanwhile.
 *
 * @example
 * const timeout = new PolledTimeout(1500, () => controller.abort());
 * socket.once('data', () => timeout.clear());
 * @public
 */
export class PolledTimeout {
  private readonly timer: NodeJS.Timeout;
  private poll: NodeJS.Immediate | undefined;

  /** @param onTimeout - Called once, unless `clear` is called before. */
  constructor(delayMs: number, onTimeout: () => void) {
    this.timer = setTimeout(() => (this.poll = setImmediate(onTimeout)), delayMs);
  }

  /** Starts the delay again. */
  refresh(): void {
    clearImmediate(this.poll);
    this.timer.refresh();
  }

  clear(): void {
    clearTimeout(this.timer);
    clearImmediate(this.poll);
  }
}
