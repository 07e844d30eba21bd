import net from 'node:net';
import { PassThrough } from 'node:stream';

import { guarded } from '../../adapters/guarded';
import type { Endpoint, Instant, Millis } from '../../model';
import type { Clock } from '../../ports';

import { AnswerParser, headerOf, type AnswerHead } from './answer-parser';
import type { Exchange, ExchangeFault, ExchangeResult } from './exchange';

/**
 * Maximum size in bytes of an answer that is held until complete, so that the request can be
 * retried if the answer breaks off.
 */
const MAX_HELD_ANSWER_BYTES = 2 * 2 ** 20;
/**
 * Maximum number of bytes around the body of an answer: heads, interim answers, chunk framing and
 * trailers.
 */
const MAX_FRAMING_BYTES = 128 * 1024;
/** Number of bytes of framing that each byte of the body may add to that. */
const MAX_FRAMING_RATIO = 16;
/** Maximum number of bytes of answers to other requests that are skipped in an exchange. */
const MAX_SKIPPED_BYTES = 2 * 2 ** 20;
/** Idle time-out in milliseconds of a connection if the upstream sends no Keep-Alive timeout. */
const DEFAULT_IDLE_MS: Millis = 4000;
/** Time in milliseconds by which a connection is given up before the upstream would close it. */
const IDLE_MARGIN_MS: Millis = 1000;
const MILLIS_PER_SECOND = 1000;

/** Returns the milliseconds for which a connection may be reused after an answer with this head. */
const idleTimeOf = (head: AnswerHead): Millis => {
  const match = /timeout=(\d+)/.exec(headerOf(head.rawHeaders, 'keep-alive') ?? '');
  if (!match) return DEFAULT_IDLE_MS;
  return Math.max(0, Number(match[1]) * MILLIS_PER_SECOND - IDLE_MARGIN_MS);
};

/** The exchange in progress on a connection, with what has been read of its answer. */
interface RunningExchange {
  readonly exchange: Exchange;
  readonly resolve: (result: ExchangeResult) => void;
  readonly stopTimers: () => void;
  head?: AnswerHead;
  chunks: Buffer[];
  size: number;
  stream?: PassThrough;
}

/**
 * A connection to an upstream, for one request at a time. Bytes that arrive while no request is in
 * progress and answers with the id of another request never reach a caller; after either, the
 * connection is not reused.
 */
export class UpstreamConnection {
  /** When the connection became idle. */
  idleSince: Instant = 0;

  /** Time in milliseconds for which it was idle before its current request; 0 if it was new. */
  private idleFor: Millis = 0;

  /** Until when the idle connection may be reused. */
  usableUntil: Instant = 0;

  /** Whether the current request is the first one on the connection. */
  private isFirst = true;

  private readonly socket: net.Socket;

  private readonly parser: AnswerParser;

  private connected = false;

  /** Whether the connection must not carry another request. */
  private unusable = false;

  /** Whether the answer being read belongs to no current request and is dropped. */
  private skippingAnswer = false;

  private running: RunningExchange | undefined;

  /** Numbers of bytes received in the current exchange: all, the answer's body, and skipped ones. */
  private received = { all: 0, body: 0, skipped: 0 };

  constructor(
    endpoint: Endpoint,
    private readonly idHeader: string,
    private readonly clock: Clock,
    private readonly onAnswerHead: (head: AnswerHead) => void,
    private readonly onIdle: (connection: UpstreamConnection) => void,
    private readonly onClose: (connection: UpstreamConnection) => void,
  ) {
    this.parser = new AnswerParser({
      onHead: (head) => this.onHead(head),
      onBody: (chunk) => this.onBody(chunk),
      onEnd: (hasMore) => this.onEnd(hasMore),
    });
    this.socket = net.connect({ host: endpoint.address, port: endpoint.port, noDelay: true });
    const end = (): void => {
      this.socket.destroy();
    };
    this.socket.on(
      'data',
      guarded('upstream-connection data', (chunk: Buffer) => this.onData(chunk), end),
    );
    this.socket.on(
      'end',
      guarded('upstream-connection end', () => this.onSocketEnd(), end),
    );
    this.socket.on('error', guarded('upstream-connection error', end));
    this.socket.on(
      'close',
      guarded('upstream-connection close', () => {
        this.fail(this.connected ? 'reset' : 'connect-failed');
        this.onClose(this);
      }),
    );
  }

  /** Whether the connection may carry another request. */
  get isOpen(): boolean {
    return !this.unusable && !this.socket.destroyed;
  }

  /**
   * Sends one request and resolves with its result; never rejects. The connection must be new or
   * idle, and a new one must be connected by `connectBy`.
   */
  run(exchange: Exchange, connectBy: Instant): Promise<ExchangeResult> {
    this.received = { all: 0, body: 0, skipped: 0 };
    this.isFirst = !this.connected;
    this.idleFor = this.connected ? this.clock.now() - this.idleSince : 0;
    return new Promise((resolve) => {
      const giveUp = (why: 'timeout' | 'cancelled' | 'connect-timeout'): void => {
        this.fail(why);
        this.close();
      };
      const isOver = (why: 'timeout' | 'connect-timeout'): boolean =>
        this.running?.exchange !== exchange || (why === 'connect-timeout' && this.connected);
      // Timers run before the sockets are polled, at which the answer may have arrived in time.
      const until = (deadline: Instant, why: 'timeout' | 'connect-timeout'): NodeJS.Timeout =>
        setTimeout(
          guarded('upstream-connection timer', () =>
            setImmediate(
              guarded('upstream-connection timer', () => {
                if (!isOver(why)) giveUp(why);
              }),
            ),
          ),
          Math.max(0, deadline - this.clock.now()),
        );
      const timer = until(exchange.deadline, 'timeout');
      const connectTimer = this.connected ? undefined : until(connectBy, 'connect-timeout');
      const onAbort = guarded('upstream-connection abort', () => giveUp('cancelled'));
      exchange.signal.addEventListener('abort', onAbort, { once: true });
      this.running = {
        exchange,
        resolve,
        stopTimers: () => {
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
        this.socket.once(
          'connect',
          guarded('upstream-connection connect', () => {
            this.connected = true;
            clearTimeout(connectTimer);
            if (this.running?.exchange === exchange) this.send(exchange);
          }),
        );
      }
    });
  }

  /** Closes the connection at the end of its current exchange. */
  retire(): void {
    this.unusable = true;
  }

  close(): void {
    this.unusable = true;
    this.socket.destroy();
  }

  private send(exchange: Exchange): void {
    if (!exchange.maySend()) {
      this.fail('held-back');
      this.close();
      return;
    }
    this.parser.hasNoBody = exchange.method === 'HEAD';
    this.socket.write(exchange.bytes());
  }

  private onData(chunk: Buffer): void {
    if (!this.running) {
      this.close();
      return;
    }
    this.received.all += chunk.length;
    if (this.parser.parse(chunk) && !this.isExcessive) return;
    this.fail('malformed');
    this.close();
  }

  /** Whether the upstream has sent more than an answer may have beside its body. */
  private get isExcessive(): boolean {
    const { all, body, skipped } = this.received;
    const framing = all - body - skipped;
    return framing > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body || skipped > MAX_SKIPPED_BYTES;
  }

  /** Handles the end of the bytes from the upstream. */
  private onSocketEnd(): void {
    if (this.isReset) {
      this.fail('reset');
      this.close();
      return;
    }
    const isWhole = this.parser.finish();
    // Without a request in progress this is an orderly close; before an answer's head, a reset.
    if (this.running) this.fail(this.running.head && !isWhole ? 'truncated' : 'reset');
    this.close();
  }

  /**
   * Whether the connection has been reset. Node may report a reset as the end of the bytes where
   * some before it were still unread; the socket then has no peer any more.
   */
  private get isReset(): boolean {
    return this.socket.remoteAddress === undefined;
  }

  private onHead(head: AnswerHead): void {
    this.onAnswerHead(head);
    const { running } = this;
    if (!running) {
      this.unusable = true;
      this.skippingAnswer = true;
      return;
    }
    const id = headerOf(head.rawHeaders, this.idHeader);
    if (id !== undefined && id !== running.exchange.requestId) {
      this.unusable = true;
      this.skippingAnswer = true;
      return;
    }
    running.head = head;
    if (head.length !== undefined && head.length > MAX_HELD_ANSWER_BYTES)
      this.startStream(running, head);
  }

  private onBody(chunk: Buffer): void {
    const { running } = this;
    if (this.skippingAnswer) this.received.skipped += chunk.length;
    if (this.skippingAnswer || !running?.head) return;
    this.received.body += chunk.length;
    if (running.stream) {
      if (!running.stream.write(chunk)) this.socket.pause();
      return;
    }
    // The chunk is a view of the socket's buffer; no copy is needed, as that is not reused.
    running.chunks.push(chunk);
    running.size += chunk.length;
    if (running.size > MAX_HELD_ANSWER_BYTES) this.startStream(running, running.head);
  }

  private onEnd(hasMore: boolean): void {
    if (this.skippingAnswer) {
      this.skippingAnswer = false;
      return;
    }
    const { running } = this;
    if (!running?.head) return;
    const { head } = running;
    this.running = undefined;
    running.stopTimers();
    if (running.stream) {
      running.stream.end();
      // A stream that has ended drains without an event.
      this.socket.resume();
    } else {
      const bytes = Buffer.concat(running.chunks, running.size);
      const { isFirst } = this;
      running.resolve({ kind: 'answered', head, body: { kind: 'whole', bytes }, isFirst });
    }
    if (hasMore || !head.keepsAlive || this.unusable) {
      this.close();
      return;
    }
    this.idleSince = this.clock.now();
    this.usableUntil = this.idleSince + idleTimeOf(head);
    this.onIdle(this);
  }

  /**
   * Starts to stream a large answer; from here on the only way to report a failure is to break it
   * off.
   */
  private startStream(running: RunningExchange, head: AnswerHead): void {
    const stream = new PassThrough();
    running.chunks.forEach((chunk) => stream.write(chunk));
    this.running = { ...running, chunks: [], stream };
    const { exchange } = running;
    stream.on(
      'drain',
      guarded('upstream-connection drain', () => this.socket.resume()),
    );
    stream.on(
      'close',
      guarded('upstream-connection close', () => {
        if (this.running?.exchange === exchange) this.close();
      }),
    );
    // The reader handles the error; without any listener it would end the process.
    stream.on('error', () => {});
    const { isFirst } = this;
    running.resolve({ kind: 'answered', head, body: { kind: 'stream', stream }, isFirst });
  }

  /** Ends the exchange in progress, if any, with a failure. */
  private fail(why: ExchangeFault): void {
    const { running } = this;
    if (!running) return;
    this.running = undefined;
    running.stopTimers();
    running.stream?.destroy(new Error(why));
    running.resolve({
      kind: 'failed',
      why: why === 'reset' && running.head ? 'truncated' : why,
      sent: this.connected && why !== 'held-back',
      idleFor: this.idleFor,
    });
  }
}
