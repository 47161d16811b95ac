/** Graceful shutdown on SIGTERM or SIGINT. */

/** Calls `stop` on the first signal, then exits; later signals are ignored. @public */
export function installStopSignals(stop: () => Promise<void>): void {
  let stopping = false;
  const handle = () => {
    if (stopping) return;
    stopping = true;
    void stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}
