/** A planned stop: no new connections, and every request that has been taken is finished. */
import {sleep, type Clock, type Logger} from '@jasminepost/core';
import type {CallerServer} from './caller_server.ts';

/** Share of the grace in which requests may finish; the rest is for the exit itself. */
const DRAIN_SHARE = 0.93;
/** The platform takes a gateway out after two missed checks, a second apart. */
const UNREADY_DETECTION_MS = 2600;
const POLL_MS = 50;

/** @internal */
export class GracefulShutdown {
  /** True from the signal on: answers close their connections. */
  draining = false;
  /** True once there is only time to finish what has been sent. */
  closing = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly server: CallerServer,
    private readonly graceMs: number,
  ) {}

  /** Resolves when all requests have ended, or just before the grace does. */
  async run(): Promise<void> {
    const {clock, log, server} = this;
    this.draining = true;
    const startedMs = clock.monotonicMs();
    const deadlineMs = startedMs + this.graceMs * DRAIN_SHARE;
    log.info('stopping', {requests: server.busy});
    while (clock.monotonicMs() < startedMs + UNREADY_DETECTION_MS) await sleep(POLL_MS);
    this.closing = true;
    server.stopAccepting();
    while (server.busy > 0 && clock.monotonicMs() < deadlineMs) {
      await sleep(POLL_MS);
      server.closeIdle();
    }
    const tookMs = Math.round(clock.monotonicMs() - startedMs);
    log.info('stopped', {unfinished: server.busy, tookMs});
  }
}
