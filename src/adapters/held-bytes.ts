/** Sizes in bytes of the blocks that pieces are copied to; a block is as large as all before it. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Size in bytes from which a piece may be kept where it is, as its object is small beside it. */
const MIN_KEPT_BYTES = 4096;
/** Bytes of the heap that a block takes beside its memory. */
const BLOCK_OBJECT_BYTES = 200;
/** Size in bytes up to which copying byte by byte is faster than a call of the runtime. */
const MAX_LOOP_BYTES = 8;

/**
 * Bytes of a peer that wait to be used, first in, first out. They take at most about twice their
 * number in memory, in whatever pieces they arrive: a view of each piece would cost a hundred bytes
 * of the heap, and would keep all that was read with it.
 */
export class HeldBytes {
  /** Full blocks, the oldest first. */
  private blocks: Buffer[] = [];

  /** The block that is filled, up to `used`. */
  private tail: Buffer | undefined;

  private used = 0;

  private size = 0;

  /** Number of bytes that are held. */
  get length(): number {
    return this.size;
  }

  /** Bytes of memory that they take, with the objects that they are kept in. */
  get memoryBytes(): number {
    const blocks = this.tail ? [...this.blocks, this.tail] : this.blocks;
    return blocks.reduce((sum, { buffer }) => sum + buffer.byteLength + BLOCK_OBJECT_BYTES, 0);
  }

  /** Adds the bytes from `start` to `end`, which must not change any more. */
  push(bytes: Buffer, start = 0, end = bytes.length): void {
    const size = end - start;
    const isTailUsed = !this.tail || 2 * this.used >= this.tail.length;
    const isMostOfItsMemory = 2 * size >= bytes.buffer.byteLength;
    if (size >= MIN_KEPT_BYTES && isMostOfItsMemory && isTailUsed) {
      this.seal();
      this.blocks.push(bytes.subarray(start, end));
    } else this.copy(bytes, start, end);
    this.size += size;
  }

  /** Removes the first bytes, at most `most`, and returns them. */
  take(most = this.size): Buffer {
    const size = Math.min(most, this.size);
    this.seal();
    this.size -= size;
    const [first] = this.blocks;
    if (first && first.length === size) {
      this.blocks.shift();
      return first;
    }
    const taken = Buffer.allocUnsafeSlow(size);
    let filled = 0;
    let count = 0;
    for (const block of this.blocks) {
      if (filled + block.length > size) break;
      filled += block.copy(taken, filled);
      count += 1;
    }
    this.blocks.splice(0, count);
    const [next] = this.blocks;
    if (next && filled < size) {
      next.copy(taken, filled, 0, size - filled);
      this.blocks[0] = next.subarray(size - filled);
    }
    return taken;
  }

  private copy(bytes: Buffer, start: number, end: number): void {
    for (let at = start; at < end;) {
      const tail = this.tailWithRoom();
      const size = Math.min(tail.length - this.used, end - at);
      if (size > MAX_LOOP_BYTES) bytes.copy(tail, this.used, at, at + size);
      else for (let i = 0; i < size; i++) tail[this.used + i] = bytes[at + i] ?? 0;
      this.used += size;
      at += size;
    }
  }

  private tailWithRoom(): Buffer {
    if (this.tail && this.used < this.tail.length) return this.tail;
    this.seal();
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.size));
    this.tail = Buffer.allocUnsafeSlow(size);
    return this.tail;
  }

  /** Closes the block that is filled. */
  private seal(): void {
    if (this.tail && this.used > 0) this.blocks.push(this.tail.subarray(0, this.used));
    this.tail = undefined;
    this.used = 0;
  }
}
