import { Readable } from 'node:stream';

/** A body that is whole in memory; readers that know it take `bytes` and spare the stream. */
export class BufferedBody extends Readable {
  constructor(readonly bytes: Buffer) {
    super();
  }

  override _read(): void {
    if (this.bytes.length > 0) this.push(this.bytes);
    this.push(null);
  }
}
