/** Writing and reading of the numbers in compact datagrams. */

/** Number of values that a byte of a variable-length number holds; its top bit means more follow. */
const VARINT_BASE = 128;
const MAX_VARINT_BYTES = 8;
const FLOAT64_BYTES = 8;
const UINT32_BYTES = 4;

/** Collects the bytes of a datagram. */
export class ByteWriter {
  private readonly bytes: number[] = [];

  byte(value: number): this {
    this.bytes.push(value);
    return this;
  }

  uint32(value: number): this {
    this.bytes.push(value >>> 24, (value >>> 16) & 0xff, (value >>> 8) & 0xff, value & 0xff);
    return this;
  }

  /** Writes a safe integer of 0 or more, seven bits a byte. */
  varint(value: number): this {
    let rest = value;
    while (rest >= VARINT_BASE) {
      this.bytes.push((rest % VARINT_BASE) + VARINT_BASE);
      rest = Math.floor(rest / VARINT_BASE);
    }
    this.bytes.push(rest);
    return this;
  }

  float64(value: number): this {
    const buffer = Buffer.alloc(FLOAT64_BYTES);
    buffer.writeDoubleBE(value);
    this.bytes.push(...buffer);
    return this;
  }

  toBuffer(): Buffer {
    return Buffer.from(this.bytes);
  }
}

/** Reads the numbers of a datagram; throws a RangeError on one that is cut short or malformed. */
export class ByteReader {
  private at = 0;

  constructor(private readonly bytes: Buffer) {}

  get isAtEnd(): boolean {
    return this.at >= this.bytes.length;
  }

  byte(): number {
    const value = this.bytes.readUInt8(this.at);
    this.at += 1;
    return value;
  }

  uint32(): number {
    const value = this.bytes.readUInt32BE(this.at);
    this.at += UINT32_BYTES;
    return value;
  }

  varint(): number {
    let value = 0;
    for (let i = 0; i < MAX_VARINT_BYTES; i++) {
      const byte = this.byte();
      value += (byte % VARINT_BASE) * VARINT_BASE ** i;
      if (byte < VARINT_BASE) {
        if (!Number.isSafeInteger(value)) break;
        return value;
      }
    }
    throw new RangeError('expected a number of at most 53 bits');
  }

  float64(): number {
    const value = this.bytes.readDoubleBE(this.at);
    this.at += FLOAT64_BYTES;
    return value;
  }

  /** Skips a block of bytes that begins with its length. */
  skipBlock(): void {
    const length = this.varint();
    if (this.at + length > this.bytes.length) throw new RangeError('expected a whole block');
    this.at += length;
  }
}
