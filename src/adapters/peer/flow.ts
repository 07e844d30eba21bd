/** One body on a peer connection, with credit-based back-pressure. */
import { Readable } from 'node:stream';

import { BodyError, bodyFaultOf, type BodyFault } from '../../model';

import type { Flow, Frame } from './frame';

/** Bytes that may be on their way before the receiver grants more. */
export const FLOW_WINDOW_BYTES = 256 * 1024;

/** The longest piece of a body in one frame. */
const CHUNK_BYTES = 64 * 1024;

const BUFFER_BYTES = 64 * 1024;

type Send = (frame: Frame) => void;

const FAULTS: ReadonlySet<string> = new Set<BodyFault>([
  'truncated',
  'mismatched',
  'timeout',
  'cancelled',
  'peer-lost',
]);

const isBodyFault = (fault: string): fault is BodyFault => FAULTS.has(fault);

/** The receiving end: a stream that grants credit as it is read. */
export class FlowReceiver extends Readable {
  private ungranted = 0;

  private ended = false;

  constructor(
    private readonly id: number,
    private readonly flow: Flow,
    private readonly send: Send,
    private readonly onAbandoned: () => void,
  ) {
    super({ highWaterMark: BUFFER_BYTES });
    // The fault reaches whoever reads; without a listener it would end the process.
    this.on('error', () => {});
  }

  /** Takes one piece from the sender. */
  accept(bytes: Uint8Array): void {
    if (this.destroyed) return;
    this.ungranted += bytes.length;
    this.push(bytes);
  }

  /** The sender has sent the whole body. */
  finish(): void {
    this.ended = true;
    if (!this.destroyed) this.push(null);
  }

  /** The body broke off at or before the sender. */
  fail(fault: string): void {
    this.ended = true;
    this.destroy(new BodyError(isBodyFault(fault) ? fault : 'truncated'));
  }

  override _read(): void {
    if (this.ungranted === 0) return;
    this.send({ t: 'credit', id: this.id, flow: this.flow, bytes: this.ungranted });
    this.ungranted = 0;
  }

  override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
    if (!this.ended) this.onAbandoned();
    done(err);
  }
}

/** The sending end: sends a stream's bytes as far as credit goes. */
export class FlowSender {
  private credit = FLOW_WINDOW_BYTES;

  private wake: (() => void) | undefined;

  private stopped = false;

  constructor(
    private readonly id: number,
    private readonly flow: Flow,
    private readonly send: Send,
  ) {}

  /** Sends all of `body`, then its end, or that it broke off. Never rejects. */
  async run(body: Readable): Promise<void> {
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

  /** More bytes may be sent. */
  grant(bytes: number): void {
    if (bytes > 0) this.credit += bytes;
    this.wake?.();
  }

  /** The receiver wants no more; the stream being sent is destroyed by the loop's exit. */
  stop(): void {
    this.stopped = true;
    this.wake?.();
  }

  private async sendChunk(chunk: Buffer): Promise<void> {
    let rest = chunk;
    while (rest.length > 0 && !this.stopped) {
      if (this.credit <= 0) {
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
        continue;
      }
      const piece = rest.subarray(0, Math.min(CHUNK_BYTES, this.credit));
      this.credit -= piece.length;
      this.send({ t: 'data', id: this.id, flow: this.flow, bytes: piece });
      rest = rest.subarray(piece.length);
    }
  }
}
