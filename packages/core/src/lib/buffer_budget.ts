/** Limits the memory that buffers in a process take together. */

/** @public */
export interface BudgetedBuffer {
  /** Memory that it takes now. */
  readonly bufferedBytes: number;
  /** True when it has made no progress for a long time; it is then evicted before others. */
  readonly isStalled?: boolean;
  /** Frees its memory by ending the work that it is for. */
  evict(): void;
}

/**
 * Each buffer may grow while there is memory left; once there is none, the largest is evicted, so
 * that a few that grow without end don't displace the small ones of sound peers. Stalled buffers
 * are evicted before all others. Memory that can't be freed on demand is held.
 *
 * @example
 * const budget = new BufferBudget(32 * 1024 * 1024);
 * budget.update(buffer); // after each change of its size
 * @public
 */
export class BufferBudget {
  private readonly bytesByBuffer = new Map<BudgetedBuffer, number>();
  private total = 0;

  /** @param parent - Larger budget in which the bytes of this one are held; none by default. */
  constructor(
    readonly maxBytes: number,
    private readonly parent?: BufferBudget,
  ) {}

  /** Bytes of all buffers and of held memory. */
  get usedBytes(): number {
    return this.total;
  }

  /** Records the current size of a buffer. */
  update(buffer: BudgetedBuffer): void {
    const {bufferedBytes} = buffer;
    const before = this.bytesByBuffer.get(buffer) ?? 0;
    if (bufferedBytes > 0) this.bytesByBuffer.set(buffer, bufferedBytes);
    else this.bytesByBuffer.delete(buffer);
    this.hold(bufferedBytes - before);
  }

  /** Adds memory that stays in use until it is released; evicts buffers to make room. */
  hold(bytes: number): void {
    this.add(bytes);
    while (this.total > this.maxBytes && this.bytesByBuffer.size > 0) this.evictFirst();
  }

  /** Subtracts memory that `hold` has added. */
  release(bytes: number): void {
    this.add(-bytes);
  }

  /**
   * True when a new buffer may grow to a size: there is room, or others would be evicted first.
   *
   * @example
   * if (!budget.admits(announcedBytes)) refuse();
   */
  admits(bytes: number): boolean {
    let freeBytes = this.maxBytes - this.total;
    if (freeBytes >= bytes) return true;
    for (const [buffer, otherBytes] of this.bytesByBuffer) {
      if (buffer.isStalled === true || otherBytes > bytes) freeBytes += otherBytes;
      if (freeBytes >= bytes) return true;
    }
    return false;
  }

  private add(bytes: number): void {
    this.total += bytes;
    this.parent?.hold(bytes);
  }

  private evictFirst(): void {
    let first: BudgetedBuffer | undefined;
    let firstBytes = 0;
    let isFirstStalled = false;
    for (const [buffer, bytes] of this.bytesByBuffer) {
      const isStalled = buffer.isStalled === true;
      const isBefore = isStalled === isFirstStalled ? bytes > firstBytes : isStalled;
      if (isBefore) [first, firstBytes, isFirstStalled] = [buffer, bytes, isStalled];
    }
    if (first === undefined) return;
    this.bytesByBuffer.delete(first);
    this.add(-firstBytes);
    first.evict();
  }
}
