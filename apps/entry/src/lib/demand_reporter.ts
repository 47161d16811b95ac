/** Reports the requests per model and class to the sidecar that holds the planner role. */
import {RepeatingTask, type RequestClass} from '@jasminepost/core';
import type {Fleet} from '@jasminepost/mesh';

/** @internal */
export class DemandReporter {
  private counts: Record<RequestClass, Record<string, number>> = {paid: {}, trial: {}};
  private readonly task = new RepeatingTask(() => this.report());
  private currentIntervalMs = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly intervalMs: () => number,
  ) {}

  start(): void {
    this.currentIntervalMs = this.intervalMs();
    this.task.start(this.currentIntervalMs);
  }

  dispose(): void {
    this.task.dispose();
  }

  countRequest(requestClass: RequestClass, model: string): void {
    const counts = this.counts[requestClass];
    counts[model] = (counts[model] ?? 0) + 1;
  }

  private report(): number {
    const intervalMs = this.currentIntervalMs;
    const {paid, trial} = this.counts;
    this.counts = {paid: {}, trial: {}};
    for (const replica of this.fleet.replicas.values()) {
      if ((replica.status?.plannerTerm ?? 0) === 0) continue;
      replica.client.link?.send({type: 'demand', paid, trial, intervalMs});
    }
    this.currentIntervalMs = this.intervalMs();
    return this.currentIntervalMs;
  }
}
