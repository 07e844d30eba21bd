import net from 'node:net';

import { guarded } from '../../adapters/guarded';
import { HeldBytes } from '../../adapters/held-bytes';
import { headCostOf, unfinishedHeadCostOf, type Peer } from '../../core/memory';
import type { Endpoint, Instant, Millis } from '../../model';
import type { Clock } from '../../ports';

import type { Holding, HostMemory } from '../memory';
import { AnswerInput, type SliceTurns } from './answer-input';
import { AnswerParser, headerOf, type AnswerHead } from './answer-parser';
import { AnswerStream } from './answer-stream';
import type { Exchange, ExchangeFault, ExchangeResult } from './exchange';
import { startTimers } from './exchange-timers';
import { idleTimeOf } from './idle-time';
import { ReceivedBytes } from './received-bytes';

/**
 * Maximum size in bytes of an answer that is held until complete, so that the request can be
 * retried if the answer breaks off.
 */
const MAX_HELD_ANSWER_BYTES = 2 * 2 ** 20;
/** Ends a count at the latest when the request is over for which the bytes are held. */
const closeWhen = (over: AbortSignal, holding: Holding): void => {
  if (over.aborted) holding.close();
  over.addEventListener(
    'abort',
    guarded('upstream-connection abort', () => holding.close()),
    { once: true },
  );
};

/** What the connections of a pool share. */
export interface ConnectionContext {
  readonly idHeader: string;
  readonly clock: Clock;
  readonly memory: HostMemory;
  readonly turns: SliceTurns;
}

/** The exchange in progress on a connection, with what has been read of its answer. */
interface RunningExchange {
  readonly exchange: Exchange;
  readonly resolve: (result: ExchangeResult) => void;
  readonly stopTimers: () => void;
  /** Counts what is held; for the upstream, and for the caller once the answer is streamed. */
  holding: Holding;
  head?: AnswerHead;
  /** Bytes of the heap that the head takes, as the account counts them. */
  headBytes: number;
  readonly held: HeldBytes;
  stream?: AnswerStream;
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

  /** What has been received in the current exchange. */
  private received = new ReceivedBytes();

  /** Number of pieces that have been parsed. */
  private pieces = 0;

  private readonly input: AnswerInput;

  private hasEnded = false;

  private hasClosed = false;

  constructor(
    endpoint: Endpoint,
    private readonly peer: Peer,
    private readonly context: ConnectionContext,
    private readonly onAnswerHead: (head: AnswerHead) => void,
    private readonly onIdle: (connection: UpstreamConnection) => void,
    private readonly onClose: (connection: UpstreamConnection) => void,
  ) {
    this.parser = new AnswerParser({
      onInterim: () => {
        this.received.heads += 1;
      },
      onHead: (head) => this.onHead(head),
      onBody: (bytes, start, end) => this.onBody(bytes, start, end),
      onEnd: (hasMore) => this.onEnd(hasMore),
    });
    this.input = new AnswerInput(`${peer.kind} ${peer.id}`, context.turns, {
      parse: (slice, moreFollows) => this.parse(slice, moreFollows),
      onWait: () => this.socket.pause(),
      onRead: () => this.onInputRead(),
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
      guarded('upstream-connection close', () => this.onSocketClose()),
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
    this.received = new ReceivedBytes();
    this.isFirst = !this.connected;
    this.idleFor = this.connected ? this.context.clock.now() - this.idleSince : 0;
    return new Promise((resolve) => {
      const giveUp = (why: ExchangeFault): void => {
        this.fail(why);
        this.close();
      };
      const timers = startTimers(
        exchange,
        this.connected ? undefined : connectBy,
        this.context.clock,
        (why) => {
          const isOver = why === 'connect-timeout' && this.connected;
          if (this.running?.exchange === exchange && !isOver) giveUp(why);
        },
      );
      this.running = {
        exchange,
        resolve,
        stopTimers: () => timers.stop(),
        holding: this.context.memory.open(this.peer, (isOverShare) =>
          giveUp(isOverShare ? 'held-too-much' : 'memory-short'),
        ),
        headBytes: 0,
        held: new HeldBytes(),
      };
      if (exchange.signal.aborted) giveUp('cancelled');
      else if (this.connected) this.send(exchange);
      else {
        this.socket.once(
          'connect',
          guarded('upstream-connection connect', () => {
            this.connected = true;
            timers.onConnected();
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
    this.input.push(chunk);
  }

  /** Parses received bytes; returns the number of pieces in them. */
  private parse(slice: Buffer, moreFollows: boolean): number {
    if (!this.running) {
      this.close();
      return 0;
    }
    const before = this.pieces;
    this.received.all += slice.length;
    if (this.parser.parse(slice, moreFollows) && !this.received.isExcessive) this.countHeld();
    else {
      this.fail('malformed');
      this.close();
    }
    return this.pieces - before;
  }

  /** Goes on once all that has been received is parsed. */
  private onInputRead(): void {
    this.resumeReading();
    if (this.hasEnded) this.onSocketEnd();
    if (this.hasClosed) this.onSocketClose();
  }

  /** Counts what is held of the answer, and passes on what can be. */
  private countHeld(): void {
    const { running } = this;
    if (!running) return;
    running.stream?.passOn();
    const { memory } = this.context;
    // What has arrived of a head is in the heap.
    const framing = running.head
      ? running.headBytes
      : memory.heapBytes(unfinishedHeadCostOf(this.received.all));
    const held = framing + running.held.length + this.input.waiting;
    if (!running.holding.resize(held)) return;
    if (running.stream?.isFull) this.socket.pause();
  }

  private resumeReading(): void {
    if (this.input.waiting === 0 && !this.running?.stream?.isFull) this.socket.resume();
  }

  /** Handles the end of the connection, once all that has been received is read. */
  private onSocketClose(): void {
    this.hasClosed = true;
    if (this.running && this.input.waiting > 0) return;
    this.fail(this.connected ? 'reset' : 'connect-failed');
    this.onClose(this);
  }

  /** Handles the end of the bytes from the upstream, once they are read. */
  private onSocketEnd(): void {
    this.hasEnded = true;
    if (this.input.waiting > 0) return;
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
    this.received.heads += 1;
    this.onAnswerHead(head);
    const { running } = this;
    if (!running) {
      this.unusable = true;
      this.skippingAnswer = true;
      return;
    }
    const id = headerOf(head.rawHeaders, this.context.idHeader);
    if (id !== undefined && id !== running.exchange.requestId) {
      this.unusable = true;
      this.skippingAnswer = true;
      return;
    }
    running.head = head;
    running.headBytes = this.context.memory.heapBytes(headCostOf(head.rawHeaders));
    if (head.length !== undefined && head.length > MAX_HELD_ANSWER_BYTES)
      this.startStream(running, head);
  }

  private onBody(bytes: Buffer, start: number, end: number): void {
    const { running } = this;
    this.pieces += 1;
    if (this.skippingAnswer) this.received.skipped += end - start;
    if (this.skippingAnswer || !running?.head) return;
    this.received.body += end - start;
    running.held.push(bytes, start, end);
    if (!running.stream && running.held.length > MAX_HELD_ANSWER_BYTES)
      this.startStream(running, running.head);
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
    const { holding } = running;
    if (running.stream) {
      running.stream.finish();
      // What the stream still holds no longer stops the connection.
      this.socket.resume();
    } else if (holding.resize(running.headBytes + running.held.length)) {
      const { isFirst } = this;
      const body = { kind: 'whole', bytes: running.held.take(), holding } as const;
      closeWhen(running.exchange.requestEnded, holding);
      running.resolve({ kind: 'answered', head, body, isFirst });
    }
    if (hasMore || !head.keepsAlive || this.unusable) {
      this.close();
      return;
    }
    this.idleSince = this.context.clock.now();
    this.usableUntil = this.idleSince + idleTimeOf(head);
    this.onIdle(this);
  }

  /**
   * Starts to stream a large answer; from here on the only way to report a failure is to break it
   * off.
   */
  private startStream(running: RunningExchange, head: AnswerHead): void {
    const { exchange, held, headBytes, holding: collected } = running;
    const { memory } = this.context;
    // From here on the caller decides for how long bytes are held.
    collected.close();
    const stream = new AnswerStream(held);
    const holding = memory.open(exchange.caller, () => stream.destroy(new Error('memory-short')));
    stream.onTaken = () => {
      holding.resize(headBytes + held.length);
      if (this.running?.exchange === exchange) this.resumeReading();
    };
    this.running = { ...running, stream, holding };
    stream.on(
      'close',
      guarded('upstream-connection close', () => {
        holding.close();
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
    running.holding.close();
    running.stream?.destroy(new Error(why));
    running.resolve({
      kind: 'failed',
      why: why === 'reset' && running.head ? 'truncated' : why,
      sent: this.connected && why !== 'held-back',
      idleFor: this.idleFor,
    });
  }
}
