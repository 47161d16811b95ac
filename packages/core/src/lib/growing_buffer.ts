/** Bytes that arrive in pieces of any size, kept contiguous. */

const INITIAL_BYTES = 1024;

/**
 * Copies each byte a constant number of times on average, whatever the size of the pieces, and
 * keeps no reference to them.
 *
 * @example
 * const buffer = new GrowingBuffer();
 * buffer.append(chunk);
 * const event = buffer.take(buffer.bytes.indexOf('\n\n') + 2);
 * @public
 */
export class GrowingBuffer {
  private memory = Buffer.alloc(0);
  private used = 0;

  get length(): number {
    return this.used;
  }

  /** Memory that it takes, in bytes. */
  get capacity(): number {
    return this.memory.length;
  }

  /** The bytes so far; valid until the next call of `append` or `take`. */
  get bytes(): Buffer {
    return this.memory.subarray(0, this.used);
  }

  append(piece: Uint8Array): void {
    const required = this.used + piece.length;
    if (required > this.memory.length) {
      const grown = Buffer.allocUnsafe(Math.max(INITIAL_BYTES, 2 * this.memory.length, required));
      this.memory.copy(grown, 0, 0, this.used);
      this.memory = grown;
    }
    this.memory.set(piece, this.used);
    this.used = required;
  }

  /** Removes the first `count` bytes and returns them. */
  take(count: number): Buffer {
    const taken = this.memory.subarray(0, count);
    const rest = this.memory.subarray(count, this.used);
    this.memory = Buffer.alloc(0);
    this.used = 0;
    if (rest.length > 0) this.append(rest);
    return taken;
  }

  clear(): void {
    this.memory = Buffer.alloc(0);
    this.used = 0;
  }
}
