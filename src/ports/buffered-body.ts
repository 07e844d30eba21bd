import { Readable } from 'node:stream';

/**
 * A body that is complete in memory. Readers that recognise the class may take `bytes` directly.
 */
export class BufferedBody extends Readable {
  constructor(readonly bytes: Buffer) {
    super();
  }

  override _read(): void {
    if (this.bytes.length > 0) this.push(this.bytes);
    this.push(null);
  }
}
