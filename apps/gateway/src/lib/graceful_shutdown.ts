/** Graceful shutdown: stops accepting connections and finishes all accepted requests. */
import {sleep, type Clock, type Logger} from '@jasminepost/core';
import type {CallerServer} from './caller_server.ts';

/** Share of the grace period in which requests may finish; the rest is for the exit itself. */
const DRAIN_SHARE = 0.93;
/** The platform stops routing to a gateway after two failed readiness checks, one second apart. */
const UNREADY_DETECTION_MS = 2600;
const POLL_MS = 50;

/** @internal */
export class GracefulShutdown {
  /** True from the stop signal on: responses close their connections. */
  draining = false;
  /** True once only requests that have already been sent to replicas may finish. */
  closing = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly server: CallerServer,
    private readonly graceMs: number,
  ) {}

  /** Resolves when all responses have been written, or shortly before the grace period ends. */
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
    const unfinished = server.busy;
    server.endRunning();
    // The last refusals are written at once; what is left belongs to callers that don't read.
    if (server.busy > 0) await sleep(POLL_MS);
    const cut = server.busy;
    server.cutUnwritten();
    const tookMs = Math.round(clock.monotonicMs() - startedMs);
    log.info('stopped', {unfinished, cut, tookMs});
  }
}
