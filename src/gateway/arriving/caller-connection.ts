import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';
import type { Peer } from '../../core/memory';
import type { Instant } from '../../model';
import type { Clock } from '../../ports';

import type { Holding } from '../memory';
import { inputOf } from './request-server';

/** Number of requests of one connection that are served at the same time. */
const MAX_SERVED_COUNT = 8;
/** Number of unanswered requests after which a connection takes no more, and closes behind them. */
export const MAX_OPEN_COUNT = 40;

/**
 * A request of a caller and its response. It ends when the response is complete or the caller
 * leaves, whichever comes first; whatever works or waits for the request ends with it.
 */
export class CallerExchange {
  private readonly controller = new AbortController();

  private readonly listeners: (() => void)[] = [];

  /** Whether the request has its reply, which may wait for those of earlier requests. */
  private hasReply = false;

  private isBrokenOff = false;

  private answerBrokenOff: (() => void) | undefined;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    /** Counts what is held for the request: its head, its body, then its answer. */
    readonly holding: Holding,
    /** What its head counts for. */
    readonly headBytes: number,
  ) {
    this.onEnd(() => holding.close());
    res.once(
      'close',
      guarded('caller-connection close', () => this.end()),
    );
  }

  /** Drops the head of the request, which nothing reads any more; the response keeps the rest. */
  forgetHead(): void {
    Object.assign(this.req, { rawHeaders: [], headers: {} });
  }

  /** Aborted at the end of the exchange. */
  get ended(): AbortSignal {
    return this.controller.signal;
  }

  /** Calls `listener` once, at the end of the exchange or at once if it has ended. */
  onEnd(listener: () => void): void {
    if (this.ended.aborted) listener();
    else this.listeners.push(listener);
  }

  /** Whether there is nothing to be done for the request any more. */
  get isSettled(): boolean {
    return this.hasReply || this.ended.aborted;
  }

  /** Takes the reply of the request, which has one; returns whether this is the first. */
  takeReply(): boolean {
    const isFirst = !this.hasReply;
    this.hasReply = true;
    return isFirst;
  }

  /** Sets how the request is answered if it is broken off now, in place of what was set before. */
  onBreakOff(answer: () => void): void {
    this.answerBrokenOff = answer;
    if (this.isBrokenOff) this.breakOff();
  }

  /** Answers the request at once, unless it has its reply. */
  breakOff(): void {
    this.isBrokenOff = true;
    if (!this.isSettled) this.answerBrokenOff?.();
  }

  /** Ends the exchange; ending it again has no effect. */
  end(): void {
    if (this.ended.aborted) return;
    this.forgetHead();
    this.controller.abort();
    this.listeners.splice(0).forEach((listener) => listener());
  }
}

/** An exchange that is not over, and the response that waits for those of earlier requests. */
interface OpenExchange {
  readonly exchange: CallerExchange;
  respond?: () => void;
  /** Whether it is served, or has been. */
  isServed?: boolean;
  /** Whether its answer may still break off, and end the connection, once it is begun. */
  mayBreakOff?: boolean;
}

/** Ends exchanges, the last ones first, so that none that waits is served in the place of one. */
const endAll = (open: readonly OpenExchange[]): void =>
  open.toReversed().forEach(({ exchange }) => exchange.end());

/**
 * The connection of a caller with its unanswered requests. Reading never stops while a request is
 * served, so that a disconnection is noticed, and ends all exchanges: Node's server itself reports
 * it only to the response that is being written. Load pattern: a caller sends many requests before
 * the first response; they must neither fill the upstreams nor outlive their caller.
 */
export class CallerConnection {
  /** The connection as a peer that bytes are held for. */
  readonly peer: Peer;

  /** The request that was taken last. */
  last: CallerExchange | undefined;

  /** When the head of the last request was read. */
  lastReadAt: Instant = Number.NEGATIVE_INFINITY;

  /** When the caller left; undefined while it is connected. */
  leftAt: Instant | undefined;

  /** In the order of the requests. */
  private readonly open: OpenExchange[] = [];

  private readonly waiting: { readonly exchange: CallerExchange; readonly serve: () => void }[] =
    [];

  private servedCount = 0;

  private readonly leave: () => void;

  /** Whether no further requests are taken. */
  isClosing = false;

  /** `onLeave` is called when the caller has left, before the exchanges end. */
  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    onLeave: (connection: CallerConnection) => void,
  ) {
    this.peer = { kind: 'caller', id: `${socket.remoteAddress}:${socket.remotePort}` };
    const leave = guarded('caller-connection leave', () => {
      if (this.leftAt !== undefined) return;
      this.leftAt = clock.now();
      this.isClosing = true;
      try {
        onLeave(this);
      } finally {
        endAll(this.open);
      }
    });
    // Before the server's own listeners, which end the response that is being written.
    socket.prependListener('end', leave);
    socket.prependListener('close', leave);
    this.leave = leave;
  }

  /**
   * Closes the connection of a caller for which too much is held. What is held is let go of at once:
   * the event comes only after all sockets are polled, which may fill the memory.
   */
  disconnect(): void {
    this.leave();
    this.socket.destroy();
  }

  /** Number of unanswered requests, waiting ones included. */
  get openCount(): number {
    return this.open.length;
  }

  /** Number of requests that are to be served and wait for earlier ones. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Takes a request that is about to be read. Returns false if the connection closes before its
   * response, so that it counts as not read.
   */
  add(exchange: CallerExchange): boolean {
    this.lastReadAt = this.clock.now();
    if (this.isClosing) return false;
    this.last = exchange;
    this.open.push({ exchange });
    exchange.onEnd(() => this.remove(exchange));
    if (this.open.length < MAX_OPEN_COUNT) return true;
    this.isClosing = true;
    exchange.req.once(
      'end',
      guarded('caller-connection end', () => inputOf(this.socket)?.discard()),
    );
    return true;
  }

  /**
   * Calls `serve` at once, or when few enough requests are served and no answer before it may break
   * off; never once it is settled.
   */
  serve(exchange: CallerExchange, serve: () => void): void {
    if (exchange.isSettled) return;
    if (this.mustWait(exchange)) {
      this.waiting.push({ exchange, serve });
      return;
    }
    this.servedCount += 1;
    const found = this.open.find((open) => open.exchange === exchange);
    if (found) found.isServed = true;
    exchange.onEnd(() => {
      this.servedCount -= 1;
      this.serveWaiting();
    });
    serve();
  }

  /** Has the requests behind that of this exchange wait until it ends, unless they are served. */
  holdBehind(exchange: CallerExchange): void {
    const found = this.open.find((open) => open.exchange === exchange);
    if (found) found.mayBreakOff = true;
  }

  private mustWait(exchange: CallerExchange): boolean {
    if (this.servedCount >= MAX_SERVED_COUNT) return true;
    const at = this.open.findIndex((open) => open.exchange === exchange);
    return this.open.slice(0, Math.max(0, at)).some(({ mayBreakOff }) => mayBreakOff);
  }

  /** Serves the requests that need not wait any more. */
  private serveWaiting(): void {
    for (;;) {
      const [next] = this.waiting;
      if (!next || this.mustWait(next.exchange)) return;
      this.waiting.shift();
      this.serve(next.exchange, next.serve);
    }
  }

  /**
   * Calls `respond` once all earlier requests are answered; never if the exchange ends before, or if
   * the request has another reply.
   */
  respond(exchange: CallerExchange, respond: () => void): void {
    if (!exchange.takeReply()) return;
    const [first] = this.open;
    if (first?.exchange === exchange) {
      respond();
      return;
    }
    const found = this.open.find((open) => open.exchange === exchange);
    if (found) found.respond = respond;
  }

  /** Whether a request behind that of this exchange is served, so that it may have run. */
  hasServedBehind(exchange: CallerExchange): boolean {
    const at = this.open.findIndex((open) => open.exchange === exchange);
    return this.open.slice(at + 1).some(({ isServed }) => isServed);
  }

  /** Whether no request was taken after that of this exchange, and none waits to be parsed. */
  isLast(exchange: CallerExchange): boolean {
    return this.last === exchange && !inputOf(this.socket)?.hasPending;
  }

  /** Takes no further requests, and drops what is read from now on. */
  close(): void {
    this.isClosing = true;
    inputOf(this.socket)?.discard();
  }

  /** Takes no further requests, and gives up those behind an exchange that ends the connection. */
  closeAfter(exchange: CallerExchange): void {
    this.close();
    const at = this.open.findIndex((open) => open.exchange === exchange);
    endAll(this.open.slice(at + 1));
  }

  private remove(exchange: CallerExchange): void {
    const at = this.open.findIndex((open) => open.exchange === exchange);
    if (at >= 0) this.open.splice(at, 1);
    const waitsAt = this.waiting.findIndex((waiting) => waiting.exchange === exchange);
    if (waitsAt >= 0) this.waiting.splice(waitsAt, 1);
    const [first] = this.open;
    const respond = first?.respond;
    if (!first || !respond) return;
    delete first.respond;
    respond();
  }
}
