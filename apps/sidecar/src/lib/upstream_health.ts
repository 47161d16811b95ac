/** Probes the upstream's health, and distinguishes a crash from a cut connection. */
import {Agent, request} from 'undici';
import {Disposer, httpConnector} from '@jasminepost/core';
import type {SidecarMetrics} from './sidecar_metrics.ts';

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const UNHEALTHY_AFTER_FAILURES = 2;
/** A crashing upstream may still accept connections for a moment; the check waits this long. */
const CRASH_CHECK_DELAY_MS = 50;

/** @internal */
export class UpstreamHealth {
  healthy = false;
  private incarnation = '';
  private consecutiveFailures = 0;
  private readonly agent = new Agent({
    connections: 2,
    connect: httpConnector({timeout: PROBE_TIMEOUT_MS}),
  });
  private readonly disposer = new Disposer();
  private pendingCheck: Promise<boolean> | undefined;

  constructor(
    private readonly upstreamUrl: string,
    private readonly metrics: SidecarMetrics,
    private readonly onChange: () => void,
  ) {}

  start(): void {
    void this.probe();
    this.disposer.interval(PROBE_INTERVAL_MS, () => void this.probe());
  }

  dispose(): void {
    this.disposer.dispose();
    void this.agent.destroy();
  }

  /** Whether the upstream has stopped or restarted since the last successful probe. */
  confirmCrash(): Promise<boolean> {
    this.pendingCheck ??= this.checkCrash().finally(() => {
      this.pendingCheck = undefined;
    });
    return this.pendingCheck;
  }

  private async checkCrash(): Promise<boolean> {
    const incarnationBefore = this.incarnation;
    await new Promise(resolve => setTimeout(resolve, CRASH_CHECK_DELAY_MS));
    const incarnationNow = await this.readIncarnation();
    const crashed = incarnationNow === undefined || incarnationNow !== incarnationBefore;
    this.metrics.upstream.increment(crashed ? 'crash' : 'cut');
    if (incarnationNow === undefined) this.setHealthy(false);
    else this.incarnation = incarnationNow;
    return crashed;
  }

  private async probe(): Promise<void> {
    const incarnation = await this.readIncarnation();
    if (incarnation === undefined) {
      this.consecutiveFailures += 1;
      if (this.consecutiveFailures >= UNHEALTHY_AFTER_FAILURES) this.setHealthy(false);
      return;
    }
    this.consecutiveFailures = 0;
    this.incarnation = incarnation;
    this.setHealthy(true);
  }

  private setHealthy(healthy: boolean): void {
    if (healthy === this.healthy) return;
    this.healthy = healthy;
    this.metrics.upstream.increment(healthy ? 'recovered' : 'unhealthy');
    this.onChange();
  }

  /** Incarnation of the running upstream; undefined when it does not respond. */
  private async readIncarnation(): Promise<string | undefined> {
    try {
      const res = await request(`${this.upstreamUrl}/health`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      const text = await res.body.text();
      return res.statusCode === 200 ? text : undefined;
    } catch {
      return undefined;
    }
  }
}
