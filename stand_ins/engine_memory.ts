/** Memory and orders of the engine stand-in. */

export interface EngineItem {
  readonly name: string;
  readonly sizeMiB: number;
  state: 'loading' | 'ready' | 'unloading';
}

export interface EngineOrderBody {
  readonly fence: number;
  readonly operation: 'load' | 'unload' | 'barrier';
  readonly item: string;
  readonly sizeMiB: number;
}

export type EngineOrderOutcome = 'accepted' | 'stale_fence' | 'no_room';

/** Applies orders; counts the loads that would have exceeded memory. */
export class EngineMemory {
  readonly items = new Map<string, EngineItem>();
  highestFence = 0;
  overcommits = 0;
  peakMiB = 0;
  loads = 0;
  unloads = 0;

  constructor(
    readonly totalMiB: number,
    private readonly honoursFencing: boolean,
    /** Fetches the weights of an item; resolves when they are in memory. */
    private readonly fetchWeights: (item: string) => Promise<void>,
  ) {}

  usedMiB(): number {
    let used = 0;
    for (const item of this.items.values()) used += item.sizeMiB;
    return used;
  }

  apply(order: EngineOrderBody): EngineOrderOutcome {
    if (this.honoursFencing && order.fence <= this.highestFence) return 'stale_fence';
    this.highestFence = Math.max(this.highestFence, order.fence);
    switch (order.operation) {
      case 'barrier':
        return 'accepted';
      case 'unload':
        if (this.items.delete(order.item)) this.unloads += 1;
        return 'accepted';
      case 'load':
        return this.load(order);
    }
  }

  private load(order: EngineOrderBody): EngineOrderOutcome {
    if (this.items.has(order.item)) return 'accepted';
    const requiredMiB = this.usedMiB() + order.sizeMiB;
    this.peakMiB = Math.max(this.peakMiB, requiredMiB);
    if (requiredMiB > this.totalMiB) {
      this.overcommits += 1;
      return 'no_room';
    }
    const item: EngineItem = {name: order.item, sizeMiB: order.sizeMiB, state: 'loading'};
    this.items.set(order.item, item);
    this.loads += 1;
    void this.fetchWeights(order.item).then(() => {
      item.state = 'ready';
    });
    return 'accepted';
  }
}
