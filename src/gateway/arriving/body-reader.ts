import type { IncomingMessage } from 'node:http';

import { guarded } from '../../adapters/guarded';
import { HeldBytes } from '../../adapters/held-bytes';
import type { Instant } from '../../model';
import type { Clock } from '../../ports';

import type { Holding } from '../memory';
import { inputOf } from './request-server';

/** Size in bytes up to which a body always gets memory. */
const SMALL_BODY_BYTES = 64 * 1024;

/** Why a request's body is not read to its end; none of these requests has run. */
export type UnreadBody =
  /** It exceeds the configured size. */
  | { readonly kind: 'body-too-large'; readonly received: number; readonly declared: number }
  /** The host has no memory for it. */
  | { readonly kind: 'memory-short'; readonly received: number; readonly declared: number }
  /** The request must be answered before it has arrived. */
  | { readonly kind: 'body-late'; readonly received: number; readonly declared: number }
  /** The gateway stops before it has arrived. */
  | { readonly kind: 'stopping'; readonly received: number; readonly declared: number };

/** What a reader works with. */
export interface BodyReaderOptions {
  /** Counts the request, of which `headBytes` are its head. */
  readonly holding: Holding;
  readonly headBytes: number;
  readonly clock: Pick<Clock, 'now'>;
  readonly maxBytes: number;
  /** When the request must be answered, whatever has arrived of it. */
  readonly answerBy: Instant;
  onWhole(body: Buffer): void;
  onUnread(why: UnreadBody): void;
}

/** Returns the size that a request's head states; undefined for a body in chunks. */
const declaredSize = ({ headers }: IncomingMessage): number | undefined => {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
};

/**
 * Reads the body of one request. Load pattern: few callers send bodies of megabytes beside many with
 * small requests. Memory is taken for the whole body when its head is read, so that none is read
 * that can't be held; a small body never waits for that of a large one, and each request is answered
 * in time even if its body doesn't arrive.
 */
export class BodyReader {
  private readonly body = new HeldBytes();

  private received = 0;

  /** Bytes that are counted for this body; -1 before any are. */
  private claimed = -1;

  private isOver = false;

  private timer: NodeJS.Timeout | undefined;

  private readonly declared: number | undefined;

  constructor(
    private readonly req: IncomingMessage,
    private readonly options: BodyReaderOptions,
  ) {
    this.declared = declaredSize(req);
  }

  /** Begins to read. */
  start(): void {
    const { req } = this;
    const end = (): void => {
      req.socket.destroy();
    };
    req.on(
      'data',
      guarded('body-reader data', (chunk: Buffer) => this.onChunk(chunk), end),
    );
    req.on(
      'end',
      guarded('body-reader end', () => this.onEnd(), end),
    );
    const size = this.declared ?? 0;
    if (size > this.options.maxBytes) this.giveUp('body-too-large');
    else if (!this.claim(size)) this.giveUp('memory-short');
    else if (size > 0 || this.declared === undefined) this.startTimer();
  }

  /** Gives back the memory of the body. */
  release(): void {
    clearTimeout(this.timer);
    this.options.holding.resize(this.options.headBytes);
  }

  private claim(bytes: number): boolean {
    if (bytes <= this.claimed) return true;
    const { holding, headBytes } = this.options;
    if (!holding.claim(headBytes + bytes, bytes <= SMALL_BODY_BYTES)) return false;
    this.claimed = bytes;
    return true;
  }

  private onChunk(chunk: Buffer): void {
    inputOf(this.req.socket)?.onPiece(chunk.length);
    if (this.isOver) return;
    this.received += chunk.length;
    this.options.holding.noteProgress();
    if (this.received > this.options.maxBytes) this.giveUp('body-too-large');
    else if (!this.claim(this.received)) this.giveUp('memory-short');
    else this.body.push(chunk);
  }

  private onEnd(): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.options.holding.noteComplete();
    this.options.onWhole(this.body.take());
  }

  private startTimer(): void {
    const { answerBy, clock } = this.options;
    if (!Number.isFinite(answerBy)) return;
    const onDue = guarded('body-reader timer', () => {
      if (!this.req.complete) this.giveUp('body-late');
    });
    // Timers run before the sockets are polled, at which the rest may have arrived.
    const onTimer = guarded('body-reader timer', () => {
      setImmediate(onDue);
    });
    this.timer = setTimeout(onTimer, Math.max(0, answerBy - clock.now()));
  }

  /** Reads no more of the body, unless it has arrived. */
  giveUp(kind: UnreadBody['kind']): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.body.take();
    this.req.resume();
    this.options.onUnread({ kind, received: this.received, declared: this.declared ?? -1 });
  }
}
