/** Reports queue occupancy and service time to entries; the report also serves as heartbeat. */
import {RepeatingTask} from '@jasminepost/core';
import type {LoadMessage, MeshLink, MeshServer} from '@jasminepost/mesh';
import type {AdmissionQueue} from '@jasminepost/policy';
import type {Attempt} from './attempt.ts';

/** @internal */
export class LoadReporter {
  private readonly task = new RepeatingTask(() => {
    this.server.broadcast(this.message());
    return this.intervalMs();
  });

  constructor(
    private readonly server: MeshServer,
    private readonly queue: AdmissionQueue<Attempt>,
    private readonly intervalMs: () => number,
  ) {}

  start(): void {
    this.task.start(this.intervalMs());
  }

  dispose(): void {
    this.task.dispose();
  }

  reportTo(link: MeshLink): void {
    link.send(this.message());
  }

  private message(): LoadMessage {
    return {
      type: 'load',
      paid: this.queue.occupancy('paid'),
      trial: this.queue.occupancy('trial'),
      serviceMs: Math.round(this.queue.meanServiceMs),
      nextMs: Math.ceil(this.intervalMs()),
    };
  }
}
