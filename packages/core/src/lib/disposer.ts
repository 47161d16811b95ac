/** Collects clean-up work so that an owner releases everything it registered. */

/** @public */
export interface Disposable {
  dispose(): void;
}

/** @public */
export class Disposer implements Disposable {
  private readonly cleanups: Array<() => void> = [];
  private disposed = false;

  /** Registers a clean-up; runs it at once when already disposed. */
  add(cleanup: () => void): void {
    if (this.disposed) {
      cleanup();
      return;
    }
    this.cleanups.push(cleanup);
  }

  /** Starts an interval that ends with this disposer and does not keep the process alive. */
  interval(intervalMs: number, task: () => void): void {
    const timer = setInterval(task, intervalMs);
    this.add(() => clearInterval(timer));
  }

  /** Runs the clean-ups, last registered first. */
  dispose(): void {
    if (this.disposed) return;
    this.disposed = true;
    while (this.cleanups.length > 0) this.cleanups.pop()?.();
  }
}
