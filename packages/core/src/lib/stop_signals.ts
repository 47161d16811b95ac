/** Planned stop on SIGTERM or SIGINT. */

/** Calls `stop` once; later signals do not shorten it. @public */
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
