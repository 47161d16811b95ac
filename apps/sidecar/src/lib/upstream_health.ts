/** Watches whether the upstream answers, and tells a crash from a cut connection. */
import {Agent, request} from 'undici';
import {Disposer} from '@jasminepost/core';
import type {SidecarMetrics} from './sidecar_metrics.ts';

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const FAILURES_TO_UNHEALTHY = 2;
/** A crashing upstream may still accept connections for a moment. */
const CRASH_SETTLE_MS = 50;

/** @internal */
export class UpstreamHealth {
  healthy = false;
  private incarnation = '';
  private failures = 0;
  private readonly agent = new Agent({connections: 2, connect: {timeout: PROBE_TIMEOUT_MS}});
  private readonly disposer = new Disposer();
  private confirming: Promise<boolean> | undefined;

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

  /** True when the upstream has gone or restarted since the last good probe. */
  confirmCrash(): Promise<boolean> {
    this.confirming ??= this.checkCrash().finally(() => {
      this.confirming = undefined;
    });
    return this.confirming;
  }

  private async checkCrash(): Promise<boolean> {
    const before = this.incarnation;
    await new Promise(resolve => setTimeout(resolve, CRASH_SETTLE_MS));
    const now = await this.readIncarnation();
    const crashed = now === undefined || now !== before;
    this.metrics.upstream.increment(crashed ? 'crash' : 'cut');
    if (now === undefined) this.setHealthy(false);
    else this.incarnation = now;
    return crashed;
  }

  private async probe(): Promise<void> {
    const incarnation = await this.readIncarnation();
    if (incarnation === undefined) {
      this.failures += 1;
      if (this.failures >= FAILURES_TO_UNHEALTHY) this.setHealthy(false);
      return;
    }
    this.failures = 0;
    this.incarnation = incarnation;
    this.setHealthy(true);
  }

  private setHealthy(healthy: boolean): void {
    if (healthy === this.healthy) return;
    this.healthy = healthy;
    this.metrics.upstream.increment(healthy ? 'recovered' : 'unhealthy');
    this.onChange();
  }

  /** Identity of the running upstream; undefined when it does not answer. */
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
