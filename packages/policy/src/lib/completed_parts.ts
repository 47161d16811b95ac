/** Remembers which prompt parts were in completed requests. */

/** Parts that are remembered; the one completed longest ago is dropped first. */
const MAX_PARTS = 20_000;

/** @internal */
export class CompletedParts {
  private readonly times = new Map<string, number>();

  /** Records a completion; the latest one counts, in whatever order they are recorded. */
  add(key: string, atMs: number): void {
    const latestMs = Math.max(atMs, this.times.get(key) ?? Number.NEGATIVE_INFINITY);
    this.times.delete(key);
    this.times.set(key, latestMs);
    if (this.times.size > MAX_PARTS) this.times.delete(this.times.keys().next().value!);
  }

  /** Time of the latest completion; undefined if none is known. */
  completedMs(key: string): number | undefined {
    return this.times.get(key);
  }
}
