import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Instant } from '../model';

/** Number of requests of one connection that are served at the same time. */
const MAX_SERVED_COUNT = 8;
/**
 * Number of further requests that may wait before nothing more is read; a disconnection is not
 * noticed while nothing is read.
 */
const MAX_WAITING_COUNT = 32;

/** A request and its response. */
export interface CallerExchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/**
 * The unanswered requests of one connection. Load pattern: a caller sends many requests before the
 * first response; they must neither fill the upstreams nor be lost when the connection closes.
 */
export class Pipeline {
  /** The request that was read last. */
  last: CallerExchange | undefined;

  /** When the head of the last request was read. */
  lastReadAt: Instant = Number.NEGATIVE_INFINITY;

  /** Responses that are not closed, in the order of their requests. */
  private readonly open = new Set<ServerResponse>();

  private readonly waiting: (() => void)[] = [];

  private servedCount = 0;

  private isClosing = false;

  /** Whether reading is paused here; it may be for other reasons too. */
  private isPaused = false;

  constructor(private readonly socket: Socket) {}

  /**
   * Calls `serve` at once or when few enough requests are served. Returns false if an earlier
   * response closes the connection, so that the request counts as not read.
   */
  add(exchange: CallerExchange, serve: () => void): boolean {
    if (this.isClosing) return false;
    this.last = exchange;
    const { res } = exchange;
    this.open.add(res);
    res.once('close', () => this.open.delete(res));
    if (this.servedCount < MAX_SERVED_COUNT) this.serve(exchange, serve);
    else this.waiting.push(() => this.serve(exchange, serve));
    if (this.waiting.length >= MAX_WAITING_COUNT) {
      this.isPaused = true;
      this.socket.pause();
    }
    return true;
  }

  /** Number of requests whose responses are not closed, waiting ones included. */
  get openCount(): number {
    return this.open.size;
  }

  /** Number of requests that have been read and are not served yet. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Whether no request was read behind that of this response. */
  isLast(res: ServerResponse): boolean {
    return this.last?.res === res;
  }

  /** Requests that are read from now on get no response, as the connection closes before. */
  close(): void {
    this.isClosing = true;
    this.waiting.length = 0;
  }

  private serve({ res }: CallerExchange, serve: () => void): void {
    this.servedCount += 1;
    res.once('close', () => {
      this.servedCount -= 1;
      if (this.socket.destroyed) this.close();
      this.waiting.shift()?.();
      if (!this.isPaused || this.waiting.length >= MAX_WAITING_COUNT) return;
      this.isPaused = false;
      this.socket.resume();
    });
    serve();
  }
}
