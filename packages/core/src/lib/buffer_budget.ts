/** Limits the memory that all buffers of one kind in a process take together. */

/** @public */
export interface BudgetedBuffer {
  /** Memory that it takes now. */
  readonly bufferedBytes: number;
  /** Frees its memory by ending the work that it is for. */
  evict(): void;
}

/**
 * Each buffer may grow while there is memory left; once there is none, the largest is evicted, so
 * that a few that grow without end don't displace the small ones of sound peers.
 *
 * @example
 * const budget = new BufferBudget(32 * 1024 * 1024);
 * budget.update(buffer); // after each change of its size
 * @public
 */
export class BufferBudget {
  private readonly bytesByBuffer = new Map<BudgetedBuffer, number>();
  private total = 0;

  constructor(private readonly maxBytes: number) {}

  /** Records the current size of a buffer. */
  update(buffer: BudgetedBuffer): void {
    const {bufferedBytes} = buffer;
    this.total += bufferedBytes - (this.bytesByBuffer.get(buffer) ?? 0);
    if (bufferedBytes > 0) this.bytesByBuffer.set(buffer, bufferedBytes);
    else this.bytesByBuffer.delete(buffer);
    while (this.total > this.maxBytes) this.evictLargest();
  }

  private evictLargest(): void {
    let largest: BudgetedBuffer | undefined;
    let largestBytes = 0;
    for (const [buffer, bytes] of this.bytesByBuffer) {
      if (bytes > largestBytes) [largest, largestBytes] = [buffer, bytes];
    }
    this.total -= largestBytes;
    if (largest === undefined) return;
    this.bytesByBuffer.delete(largest);
    largest.evict();
  }
}
