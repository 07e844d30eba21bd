import net from 'node:net';
import { PassThrough, type Readable } from 'node:stream';

import type { Endpoint, Instant, Millis } from '../model';
import type { Clock } from '../ports';

import { AnswerParser, headerOf, type AnswerHead } from './answer-parser';

/** An answer's body: held whole, or still on its way because it is large. */
export type AnswerBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly stream: Readable };

/** Why an exchange brought no answer. */
export type ExchangeFault =
  | 'connect-failed'
  | 'connect-timeout'
  | 'reset'
  | 'truncated'
  | 'malformed'
  | 'timeout'
  | 'cancelled';

/** How an exchange ended. */
export type ExchangeResult =
  | { readonly kind: 'answered'; readonly head: AnswerHead; readonly body: AnswerBody }
  | {
      readonly kind: 'failed';
      readonly why: ExchangeFault;
      /** Bytes of the request may have reached the upstream. */
      readonly sent: boolean;
      /** How long the connection had been idle; 0 if it was new. */
      readonly idleFor: Millis;
    };

/** One request to an upstream. */
export interface Exchange {
  readonly requestId: string | undefined;
  readonly method: string;
  /** Head and body as they go out; made when the connection stands, as time passes until then. */
  readonly bytes: () => Buffer;
  /** Past it the exchange is given up. */
  readonly deadline: Instant;
  readonly signal: AbortSignal;
}

/** The largest answer that is held whole, so that a failure half-way can be repeated. */
const HELD_BYTES = 2 * 2 ** 20;
/** How long a connection may stay idle where the upstream names no time. */
const DEFAULT_IDLE: Millis = 4000;
/** By how much a connection is given up before the upstream closes it. */
const IDLE_MARGIN: Millis = 1000;
const MILLIS_PER_SECOND = 1000;

const idleTimeOf = (head: AnswerHead): Millis => {
  const match = /timeout=(\d+)/.exec(headerOf(head.rawHeaders, 'keep-alive') ?? '');
  if (!match) return DEFAULT_IDLE;
  return Math.max(0, Number(match[1]) * MILLIS_PER_SECOND - IDLE_MARGIN);
};

/** The exchange under way on a connection. */
interface Running {
  readonly exchange: Exchange;
  readonly resolve: (result: ExchangeResult) => void;
  readonly stop: () => void;
  head?: AnswerHead;
  chunks: Buffer[];
  size: number;
  stream?: PassThrough;
}

/**
 * One connection to an upstream. Bytes that no request waits for, and answers to another request,
 * never reach a caller; after either, the connection carries no further request.
 */
export class UpstreamConnection {
  /** When it became idle. */
  idleSince: Instant = 0;

  /** How long it was idle before the request that it carries; 0 if it is new. */
  private idleFor: Millis = 0;

  /** Until when it may be used again. */
  usableUntil: Instant = 0;

  private readonly socket: net.Socket;

  private readonly parser: AnswerParser;

  private connected = false;

  private poisoned = false;

  /** Reading an answer that belongs to another request. */
  private skipping = false;

  private running: Running | undefined;

  constructor(
    endpoint: Endpoint,
    private readonly idHeader: string,
    private readonly clock: Clock,
    private readonly onIdle: (connection: UpstreamConnection) => void,
    private readonly onClose: (connection: UpstreamConnection) => void,
  ) {
    this.parser = new AnswerParser({
      onHead: (head) => this.onHead(head),
      onBody: (chunk) => this.onBody(chunk),
      onEnd: (hasMore) => this.onEnd(hasMore),
    });
    this.socket = net.connect({ host: endpoint.address, port: endpoint.port, noDelay: true });
    this.socket.on('data', (chunk: Buffer) => this.onData(chunk));
    this.socket.on('end', () => this.onFinish());
    this.socket.on('error', () => this.socket.destroy());
    this.socket.on('close', () => {
      this.fail(this.connected ? 'reset' : 'connect-failed');
      this.onClose(this);
    });
  }

  get isOpen(): boolean {
    return !this.poisoned && !this.socket.destroyed;
  }

  /** Sends one request and resolves with its answer; the connection must be new or idle. */
  run(exchange: Exchange, connectBy: Instant): Promise<ExchangeResult> {
    this.idleFor = this.connected ? this.clock.now() - this.idleSince : 0;
    return new Promise((resolve) => {
      const giveUp = (why: 'timeout' | 'cancelled' | 'connect-timeout'): void => {
        this.fail(why);
        this.close();
      };
      const until = (deadline: Instant, why: 'timeout' | 'connect-timeout'): NodeJS.Timeout =>
        setTimeout(() => giveUp(why), Math.max(0, deadline - this.clock.now()));
      const timer = until(exchange.deadline, 'timeout');
      const connectTimer = this.connected ? undefined : until(connectBy, 'connect-timeout');
      const onAbort = (): void => giveUp('cancelled');
      exchange.signal.addEventListener('abort', onAbort, { once: true });
      this.running = {
        exchange,
        resolve,
        stop: () => {
          clearTimeout(timer);
          clearTimeout(connectTimer);
          exchange.signal.removeEventListener('abort', onAbort);
        },
        chunks: [],
        size: 0,
      };
      if (exchange.signal.aborted) giveUp('cancelled');
      else if (this.connected) this.send(exchange);
      else {
        this.socket.once('connect', () => {
          this.connected = true;
          clearTimeout(connectTimer);
          if (this.running?.exchange === exchange) this.send(exchange);
        });
      }
    });
  }

  close(): void {
    this.poisoned = true;
    this.socket.destroy();
  }

  private send(exchange: Exchange): void {
    this.parser.bodyless = exchange.method === 'HEAD';
    this.socket.write(exchange.bytes());
  }

  private onData(chunk: Buffer): void {
    if (!this.running) {
      this.close();
      return;
    }
    if (this.parser.take(chunk)) return;
    this.fail('malformed');
    this.close();
  }

  private onFinish(): void {
    const isWhole = this.parser.finish();
    // An end between answers is an orderly close; one before any answer is a reset.
    if (this.running) this.fail(this.running.head && !isWhole ? 'truncated' : 'reset');
    this.close();
  }

  private onHead(head: AnswerHead): void {
    const { running } = this;
    if (!running) {
      this.poisoned = true;
      this.skipping = true;
      return;
    }
    const id = headerOf(head.rawHeaders, this.idHeader);
    if (id !== undefined && id !== running.exchange.requestId) {
      this.poisoned = true;
      this.skipping = true;
      return;
    }
    running.head = head;
    if (head.length !== undefined && head.length > HELD_BYTES) this.startStream(running, head);
  }

  private onBody(chunk: Buffer): void {
    const { running } = this;
    if (this.skipping || !running?.head) return;
    if (running.stream) {
      if (!running.stream.write(chunk)) this.socket.pause();
      return;
    }
    // The parser's chunk is a view of the socket's buffer, which is not reused.
    running.chunks.push(chunk);
    running.size += chunk.length;
    if (running.size > HELD_BYTES) this.startStream(running, running.head);
  }

  private onEnd(hasMore: boolean): void {
    if (this.skipping) {
      this.skipping = false;
      return;
    }
    const { running } = this;
    if (!running?.head) return;
    const { head } = running;
    this.running = undefined;
    running.stop();
    if (running.stream) running.stream.end();
    else {
      const bytes = Buffer.concat(running.chunks, running.size);
      running.resolve({ kind: 'answered', head, body: { kind: 'whole', bytes } });
    }
    if (hasMore || !head.keepsAlive || this.poisoned) {
      this.close();
      return;
    }
    this.idleSince = this.clock.now();
    this.usableUntil = this.idleSince + idleTimeOf(head);
    this.onIdle(this);
  }

  /** Passes a large answer on as it comes; from here on it can only be broken off. */
  private startStream(running: Running, head: AnswerHead): void {
    const stream = new PassThrough();
    running.chunks.forEach((chunk) => stream.write(chunk));
    this.running = { ...running, chunks: [], stream };
    const { exchange } = running;
    stream.on('drain', () => this.socket.resume());
    stream.on('close', () => {
      if (this.running?.exchange === exchange) this.close();
    });
    // Whoever reads the stream sees the error; without a listener it would end the process.
    stream.on('error', () => {});
    running.resolve({ kind: 'answered', head, body: { kind: 'stream', stream } });
  }

  private fail(why: ExchangeFault): void {
    const { running } = this;
    if (!running) return;
    this.running = undefined;
    running.stop();
    running.stream?.destroy(new Error(why));
    running.resolve({
      kind: 'failed',
      why: why === 'reset' && running.head ? 'truncated' : why,
      sent: this.connected,
      idleFor: this.idleFor,
    });
  }
}
