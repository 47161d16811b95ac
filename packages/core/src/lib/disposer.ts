/** Collects clean-up callbacks so that an owner can release all its resources together. */

/** @public */
export interface Disposable {
  dispose(): void;
}

/** @public */
export class Disposer implements Disposable {
  private readonly cleanups: Array<() => void> = [];
  private disposed = false;

  /** Registers a callback; runs it immediately when already disposed. */
  add(cleanup: () => void): void {
    if (this.disposed) {
      cleanup();
      return;
    }
    this.cleanups.push(cleanup);
  }

  /** Runs `task` at an interval until this is disposed. */
  interval(intervalMs: number, task: () => void): void {
    const timer = setInterval(task, intervalMs);
    this.add(() => clearInterval(timer));
  }

  /** Runs the callbacks in reverse order of registration. */
  dispose(): void {
    if (this.disposed) return;
    this.disposed = true;
    while (this.cleanups.length > 0) this.cleanups.pop()?.();
  }
}
