/** Runs events in order of virtual time. */
import {Heap} from 'heap-js';

interface ScheduledEvent {
  readonly atMs: number;
  /** Order of events with the same time, so that runs are reproducible. */
  readonly order: number;
  readonly run: () => void;
}

export class VirtualClock {
  nowMs = 0;
  private nextOrder = 0;
  private readonly events = new Heap<ScheduledEvent>(
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  after(delayMs: number, run: () => void): void {
    this.events.push({atMs: this.nowMs + delayMs, order: this.nextOrder++, run});
  }

  every(intervalMs: number, run: () => void): void {
    this.after(intervalMs, () => {
      run();
      this.every(intervalMs, run);
    });
  }

  runUntil(endMs: number): void {
    for (;;) {
      const event = this.events.peek();
      if (event === undefined || event.atMs > endMs) break;
      this.events.pop();
      this.nowMs = event.atMs;
      event.run();
    }
    this.nowMs = endMs;
  }
}
