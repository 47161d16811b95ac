/** Tells entries the expected wait; the report is the heartbeat too. */
import type {LoadMessage, MeshLink, MeshServer} from '@jasminepost/mesh';
import type {AdmissionQueue} from '@jasminepost/policy';
import type {Attempt} from './attempt.ts';
import type {UpstreamGate} from './upstream_gate.ts';

/** @internal */
export class LoadReporter {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly server: MeshServer,
    private readonly gate: UpstreamGate,
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
      paidWaitMs: Math.round(this.queue.expectedWaitMs('paid')),
      trialWaitMs: Math.round(this.queue.expectedWaitMs('trial')),
      running: this.queue.running.size,
      queued: this.gate.inProgress - this.queue.running.size,
      nextMs: Math.ceil(this.intervalMs()),
    };
  }
}
