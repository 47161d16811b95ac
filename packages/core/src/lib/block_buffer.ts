/** Bytes that arrive in pieces of any size, kept in blocks that are never copied to grow. */

const BLOCK_BYTES = 65_536;

/**
 * Copies each byte once until `take`, and keeps no reference to the pieces. Unlike a buffer that
 * doubles, it leaves no garbage while it grows.
 *
 * @example
 * const buffer = new BlockBuffer(announcedBytes);
 * buffer.append(chunk);
 * const body = buffer.take();
 * @public
 */
export class BlockBuffer {
  private blocks: Buffer[] = [];
  /** Bytes in the last block. */
  private lastUsed = 0;
  private allocated = 0;

  /** @param expectedBytes - Length of the first block; 0 if the length is not known. */
  constructor(private readonly expectedBytes = 0) {}

  /** Memory that it takes, in bytes. */
  get capacity(): number {
    return this.allocated;
  }

  append(piece: Buffer): void {
    let from = 0;
    while (from < piece.length) {
      const block = this.lastBlock(piece.length - from);
      const copied = piece.copy(block, this.lastUsed, from);
      this.lastUsed += copied;
      from += copied;
    }
  }

  /** Removes all bytes and returns them, in memory of exactly their length. */
  take(): Buffer {
    const {blocks, lastUsed} = this;
    const last = blocks.pop();
    this.clear();
    if (last === undefined) return Buffer.alloc(0);
    if (blocks.length === 0 && lastUsed === last.length) return last;
    return Buffer.concat([...blocks, last.subarray(0, lastUsed)]);
  }

  clear(): void {
    this.blocks = [];
    this.lastUsed = 0;
    this.allocated = 0;
  }

  /** The last block, or a new one if it is full. */
  private lastBlock(requiredBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.lastUsed < last.length) return last;
    const firstBytes = this.expectedBytes > 0 ? this.expectedBytes : requiredBytes;
    const block = Buffer.allocUnsafeSlow(last === undefined ? firstBytes : BLOCK_BYTES);
    this.blocks.push(block);
    this.lastUsed = 0;
    this.allocated += block.length;
    return block;
  }
}
