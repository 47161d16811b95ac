/** Tells entries the expected wait; the report is the heartbeat too. */
import type {LoadMessage, MeshLink, MeshServer} from '@jasminepost/mesh';
import type {AdmissionQueue} from '@jasminepost/policy';
import type {Attempt} from './attempt.ts';

/** @internal */
export class LoadReporter {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly server: MeshServer,
    private readonly queue: AdmissionQueue<Attempt>,
    private readonly intervalMs: () => number,
  ) {}

  start(): void {
    this.schedule();
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  reportTo(link: MeshLink): void {
    link.send(this.message());
  }

  private schedule(): void {
    this.timer = setTimeout(() => {
      this.server.broadcast(this.message());
      this.schedule();
    }, this.intervalMs());
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
