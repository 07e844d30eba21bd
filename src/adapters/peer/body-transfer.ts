/** Transfers bodies over a peer connection, with credit-based flow control. */
import { Readable } from 'node:stream';

import { BodyError, bodyFaultOf, type BodyFault } from '../../model';

import type { BodyDirection, Frame } from './frame';

/** Size in bytes that a sender may send of each body before the receiver grants more. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;

/** Size in bytes of the longest piece of a body in one frame. */
const MAX_CHUNK_BYTES = 64 * 1024;

/** Size in bytes of received data up to which the stream asks for more. */
const RECEIVE_BUFFER_BYTES = 64 * 1024;

type SendFrame = (frame: Frame) => void;

const BODY_FAULTS: ReadonlySet<string> = new Set<BodyFault>([
  'truncated',
  'mismatched',
  'timeout',
  'cancelled',
  'peer-lost',
]);

const isBodyFault = (fault: string): fault is BodyFault => BODY_FAULTS.has(fault);

/** The receiving end of a body: a stream that grants the sender credit as it is read. */
export class BodyReceiver extends Readable {
  /** Bytes received for which the sender has not been granted new credit. */
  private uncreditedBytes = 0;

  /** Whether the sender has ended the body, complete or not. */
  private ended = false;

  constructor(
    private readonly id: number,
    private readonly flow: BodyDirection,
    private readonly send: SendFrame,
    private readonly onAbandoned: () => void,
  ) {
    super({ highWaterMark: RECEIVE_BUFFER_BYTES });
    // Readers get the error too; without a listener it would end the process.
    this.on('error', () => {});
  }

  /** Adds bytes that the sender has sent. */
  accept(bytes: Uint8Array): void {
    if (this.destroyed) return;
    this.uncreditedBytes += bytes.length;
    this.push(bytes);
  }

  /** Ends the stream, after the sender has sent the whole body. */
  finish(): void {
    this.ended = true;
    if (!this.destroyed) this.push(null);
  }

  /** Fails the stream with a body fault. An unknown fault counts as `truncated`. */
  fail(fault: string): void {
    this.ended = true;
    this.destroy(new BodyError(isBodyFault(fault) ? fault : 'truncated'));
  }

  override _read(): void {
    if (this.uncreditedBytes === 0) return;
    this.send({ t: 'credit', id: this.id, flow: this.flow, bytes: this.uncreditedBytes });
    this.uncreditedBytes = 0;
  }

  override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
    if (!this.ended) this.onAbandoned();
    done(err);
  }
}

/** The sending end of a body: sends a stream's bytes as far as the receiver has granted credit. */
export class BodySender {
  /** Bytes that may be sent before the receiver grants more. */
  private creditBytes = INITIAL_CREDIT_BYTES;

  /** Wakes `sendChunk` while it waits for credit. */
  private resumeSending: (() => void) | undefined;

  private stopped = false;

  constructor(
    private readonly id: number,
    private readonly flow: BodyDirection,
    private readonly send: SendFrame,
  ) {}

  /** Sends all of `body`, then `end`, or `broken` if the stream fails. Never rejects. */
  async sendAll(body: Readable): Promise<void> {
    const { id, flow } = this;
    try {
      for await (const chunk of body) {
        await this.sendChunk(chunk as Buffer);
        if (this.stopped) return;
      }
      this.send({ t: 'end', id, flow });
    } catch (err) {
      if (!this.stopped) this.send({ t: 'broken', id, flow, fault: bodyFaultOf(err) });
    }
  }

  /** Adds to the credit, in bytes. */
  grant(bytes: number): void {
    if (bytes > 0) this.creditBytes += bytes;
    this.resumeSending?.();
  }

  /** Stops sending, as the receiver wants no more. `sendAll` then destroys the stream. */
  stop(): void {
    this.stopped = true;
    this.resumeSending?.();
  }

  private async sendChunk(chunk: Buffer): Promise<void> {
    let rest = chunk;
    while (rest.length > 0 && !this.stopped) {
      if (this.creditBytes <= 0) {
        await new Promise<void>((resolve) => {
          this.resumeSending = resolve;
        });
        continue;
      }
      const piece = rest.subarray(0, Math.min(MAX_CHUNK_BYTES, this.creditBytes));
      this.creditBytes -= piece.length;
      this.send({ t: 'data', id: this.id, flow: this.flow, bytes: piece });
      rest = rest.subarray(piece.length);
    }
  }
}
