import { Readable } from 'node:stream';

import type { HeldBytes } from '../../adapters/held-bytes';

/** Size in bytes of what is passed on at once. */
const MAX_PIECE_BYTES = 64 * 1024;
/** Number of bytes that wait to be passed on above which no more is read from the upstream. */
const MAX_WAITING_BYTES = 64 * 1024;

/**
 * The body of a large answer, passed on as it arrives. Small pieces are joined: what waits for a slow
 * caller would else cost an object for each of them.
 */
export class AnswerStream extends Readable {
  private isWanted = false;

  private isWhole = false;

  /** Called whenever bytes have been passed on. */
  onTaken: (() => void) | undefined;

  constructor(private readonly held: HeldBytes) {
    // Asks for more only when all has been taken, so that what waits is joined and counted.
    super({ highWaterMark: 1 });
  }

  /** Whether so much waits to be passed on that no more is to be read. */
  get isFull(): boolean {
    return this.held.length > MAX_WAITING_BYTES;
  }

  /** Passes on what has been added to the held bytes, as far as it is wanted. */
  passOn(): void {
    if (!this.isWanted) return;
    if (this.held.length > 0) {
      this.isWanted = false;
      this.push(this.held.take(MAX_PIECE_BYTES));
      this.onTaken?.();
    } else if (this.isWhole) {
      this.isWanted = false;
      this.push(null);
    }
  }

  /** Marks the body as whole. */
  finish(): void {
    this.isWhole = true;
    this.passOn();
  }

  override _read(): void {
    this.isWanted = true;
    this.passOn();
  }
}
