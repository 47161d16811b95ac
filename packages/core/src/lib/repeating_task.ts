/** Runs a task repeatedly, one run at a time. */
import type {Disposable} from './disposer.ts';

/** @public */
export class RepeatingTask implements Disposable {
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  /**
   * @param run - Runs the task once and returns the milliseconds until the next run.
   * @example
   * const task = new RepeatingTask(async () => (await poll()) ? 100 : 1000);
   * task.start(0);
   */
  constructor(private readonly run: () => Promise<number> | number) {}

  /** Schedules the first run; does not keep the process alive. */
  start(delayMs: number): void {
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.runOnce(), delayMs);
    this.timer.unref();
  }

  /** Makes a scheduled run due immediately; has no effect while a run is in progress. */
  runSoon(): void {
    if (this.timer === undefined) return;
    clearTimeout(this.timer);
    this.start(0);
  }

  dispose(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async runOnce(): Promise<void> {
    this.timer = undefined;
    const delayMs = await this.run();
    this.start(delayMs);
  }
}
