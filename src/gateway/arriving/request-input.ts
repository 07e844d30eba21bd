import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';
import type { Instant } from '../../model';
import type { Clock } from '../../ports';

import type { Holding, HostMemory } from '../memory';
import type { ReadingTurns } from '../reading-turns';
import { HeadScanner } from './head-scanner';
import type { ServingTurns } from './serving-turns';

/** Size in bytes of the first slice of a body that is parsed of what has been read from a socket. */
const FIRST_SLICE_BYTES = 2 * 1024;
/** Size in bytes up to which the slices after it grow. */
const MAX_SLICE_BYTES = 16 * 1024;
/** Number of pieces of a body that are cheap whatever their size. */
const FREE_PIECE_COUNT = 256;
/** Average size in bytes from which all pieces of a body are cheap. */
const CHEAP_PIECE_BYTES = 64;

/** What the inputs of a server share. */
export interface RequestInputOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** The turns in which requests are parsed that are sent ahead. */
  readonly turns: ServingTurns;
  /** The turns in which small pieces of bodies are parsed. */
  readonly pieceTurns: ReadingTurns;
  readonly memory: HostMemory;
  /** Number of unanswered requests of a connection at which no further one is parsed. */
  readonly maxOpenCount: number;
}

type Parse = (chunk: Buffer) => void;

/** Returns the size in bytes that a request's head states for its body; undefined if it is in chunks. */
const statedSize = ({ headers }: IncomingMessage): number | undefined =>
  headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined;

/**
 * What a socket of an HTTP server has read, which its parser gets in slices that end with a head at
 * the latest. Of one read, a connection has one request parsed at once, and those behind it one at a
 * time in its turns, once the one before is served and as long as few enough are unanswered; until
 * then they remain bytes, which are counted, and nothing more is read. Load patterns: a read of
 * 64 KiB holds 1,200 requests or 10,900 chunks of one byte, for each of which the parser makes
 * objects before anything can refuse them, and all sockets that are readable are read in one turn of
 * the event loop.
 */
export class RequestInput {
  /** The listeners of the server, which parse what they get. */
  private readonly parsers: readonly Parse[];

  /** What has been read and is not parsed. */
  private pending: Buffer | undefined;

  /** Bytes that are kept for it, which are those of the whole read. */
  private keptBytes = 0;

  /** When the bytes that are being parsed were read. */
  readAt: Instant = Number.POSITIVE_INFINITY;

  /** Bytes of answers that are counted here and that the caller has not taken. */
  private answerBytes = 0;

  /** Bytes that are counted. */
  private countedBytes = 0;

  private sliceBytes = FIRST_SLICE_BYTES;

  private pieceCount = 0;

  private bodyBytes = 0;

  /** Bytes of the body that are yet to be parsed; undefined if it is in chunks. */
  private bodyLeft: number | undefined;

  /** The request that was parsed last. */
  private current: IncomingMessage | undefined;

  private readonly scanner = new HeadScanner();

  /** Number of requests whose response has not ended. */
  private openCount = 0;

  /** Number of requests that wait for their turn to be served. */
  private queuedCount = 0;

  /** Whether a head may be parsed now. */
  private mayStart = false;

  /** Whether `advance` is to be called. */
  private isScheduled = false;

  /** Whether the socket is stopped, whatever the server does. */
  private isHeld = false;

  /** Whether the server has stopped the socket. */
  private isPaused = false;

  private isDropped = false;

  private readonly onData = guarded(
    'request-input data',
    (chunk: Buffer) => this.onRead(chunk),
    () => this.socket.destroy(),
  );

  private readonly onTick = guarded(
    'request-input tick',
    () => {
      this.isScheduled = false;
      this.advance();
    },
    () => this.socket.destroy(),
  );

  private readonly onTurn = guarded(
    'request-input turn',
    () => {
      this.isScheduled = false;
      this.mayStart = true;
      this.advance();
    },
    () => this.socket.destroy(),
  );

  /** Parses the next request in its turn; returns false if there is nothing to do any more. */
  private readonly readRequest = (): boolean => {
    const hasMore = this.hasMore();
    this.onTurn();
    return hasMore;
  };

  private readonly peer: string;

  /** Counts what waits to be parsed. */
  private readonly holding: Holding;

  constructor(
    private readonly socket: Socket,
    private readonly options: RequestInputOptions,
  ) {
    const peer = { kind: 'caller', id: `${socket.remoteAddress}:${socket.remotePort}` } as const;
    this.peer = `${peer.kind} ${peer.id}`;
    this.holding = options.memory.open(peer, () => {
      this.stop();
      socket.destroy();
    });
    this.parsers = socket.listeners('data') as Parse[];
    socket.removeAllListeners('data');
    socket.on('data', this.onData);
    socket.on(
      'resume',
      guarded('request-input resume', () => this.schedule()),
    );
  }

  /** Whether bytes have been read that are not parsed. */
  get hasPending(): boolean {
    return this.pending !== undefined;
  }

  /** Notes that the parser has read the head of a request. */
  onHead(req: IncomingMessage): void {
    this.current = req;
    this.pieceCount = 0;
    this.bodyBytes = 0;
    this.bodyLeft = statedSize(req);
    this.mayStart = false;
    this.openCount += 1;
  }

  /** Counts the bytes of an answer, until all responses have ended. */
  countAnswer(bytes: number): void {
    this.answerBytes += bytes;
    this.count();
  }

  /** Notes that the response to a request has ended. */
  onResponseEnd(): void {
    this.openCount -= 1;
    if (this.openCount === 0) this.answerBytes = 0;
    this.count();
    this.schedule();
  }

  private count(): void {
    const bytes = this.keptBytes + this.answerBytes;
    if (bytes === this.countedBytes) return;
    this.countedBytes = bytes;
    this.holding.resize(bytes);
  }

  /** Notes that a request waits to be served; none is parsed meanwhile. */
  onQueued(): void {
    this.queuedCount += 1;
  }

  /** Notes that the turn of a request to be served has come. */
  onServed(): void {
    this.queuedCount -= 1;
    if (this.isHeld) this.schedule();
  }

  /** Notes that the parser has given a piece of the body. */
  onPiece(bytes: number): void {
    this.pieceCount += 1;
    this.bodyBytes += bytes;
  }

  /** Reads and parses nothing more. */
  stop(): void {
    this.drop();
    this.hold();
  }

  /** Parses nothing more; what is read is dropped, so that a disconnection is still noticed. */
  discard(): void {
    this.drop();
    if (this.isHeld) this.release();
    this.socket.resume();
  }

  /** Parses nothing of what has been read, as an error has ended the parser. */
  dropPending(): void {
    this.setPending(undefined);
  }

  private drop(): void {
    this.isDropped = true;
    this.setPending(undefined);
    this.count();
  }

  /** Notes that the socket has closed. */
  close(): void {
    this.drop();
    this.holding.close();
  }

  private setPending(bytes: Buffer | undefined): void {
    this.pending = bytes;
    if (!bytes) this.keptBytes = 0;
  }

  /** Whether the connection may have one more request parsed. */
  private get mayTake(): boolean {
    return this.queuedCount === 0 && this.openCount < this.options.maxOpenCount;
  }

  /** Whether the last request has been parsed to its end. */
  private get isBetweenRequests(): boolean {
    return !this.current || this.current.complete;
  }

  private get isCostly(): boolean {
    return this.pieceCount > FREE_PIECE_COUNT + this.bodyBytes / CHEAP_PIECE_BYTES;
  }

  private onRead(chunk: Buffer): void {
    if (this.isDropped) return;
    this.readAt = this.options.clock.now();
    const isWaiting = this.pending !== undefined || this.isHeld;
    this.pending = this.pending ? Buffer.concat([this.pending, chunk]) : chunk;
    this.keptBytes = Math.max(this.keptBytes, this.pending.length);
    if (isWaiting) return;
    this.sliceBytes = FIRST_SLICE_BYTES;
    this.mayStart = this.mayTake;
    this.advance();
  }

  /** Parses the next slice, or has it parsed in its turn, or once the server lets it. */
  private advance(): void {
    if (!this.hasMore() || this.isServerPaused) this.release();
    else if (this.mustWait) this.wait();
    else {
      this.parseSlice();
      if (!this.pending) this.release();
      else if (this.isBetweenRequests && !this.mayStart) this.wait();
      else this.schedule();
    }
  }

  /** Whether what follows is not parsed at once. */
  private get mustWait(): boolean {
    return this.isBetweenRequests ? !this.mayStart : this.isCostly;
  }

  /** Whether the server itself has stopped the socket. */
  private get isServerPaused(): boolean {
    return this.isHeld ? this.isPaused : this.socket.isPaused();
  }

  /** Whether there is something to parse, and still a parser for it. */
  private hasMore(): boolean {
    if (this.socket.destroyed) this.setPending(undefined);
    return this.pending !== undefined;
  }

  /** Goes on once the pieces that the parser has given were taken, which it may hold until then. */
  private schedule(): void {
    if (this.isScheduled || !this.pending) return;
    this.isScheduled = true;
    process.nextTick(this.onTick);
  }

  private parseSlice(): void {
    const { pending } = this;
    if (!pending) return;
    const size = this.isBetweenRequests ? this.sizeToHeadEnd(pending) : this.sizeInBody(pending);
    const slice = pending.subarray(0, size);
    this.sliceBytes = Math.min(2 * this.sliceBytes, MAX_SLICE_BYTES);
    this.setPending(size < pending.length ? pending.subarray(size) : undefined);
    this.parsers.forEach((parse) => parse.call(this.socket, slice));
  }

  /** Returns the number of bytes up to the end of a head, if it is among them. */
  private sizeToHeadEnd(bytes: Buffer): number {
    const size = this.scanner.scan(bytes);
    if (size === undefined) return bytes.length;
    this.scanner.restart();
    return size;
  }

  /** Returns the number of bytes of the next slice of a body. */
  private sizeInBody(bytes: Buffer): number {
    // The last chunk of a body ends as a head does.
    if (!this.bodyLeft) return this.sizeToHeadEnd(bytes.subarray(0, this.sliceBytes));
    // The rest of a body of a stated size is one piece.
    const size = Math.min(bytes.length, this.bodyLeft);
    this.bodyLeft -= size;
    return size;
  }

  /** Stops the socket until the next slice may be parsed. */
  private wait(): void {
    this.hold();
    if (this.isScheduled) return;
    if (!this.isBetweenRequests) this.waitForPieces();
    else if (this.mayTake) this.waitForRequest();
  }

  /** Has the next request parsed in its turn. */
  private waitForRequest(): void {
    this.isScheduled = true;
    this.options.turns.addReading(this.readRequest);
  }

  /** Has the next small pieces of a body parsed in their turn. */
  private waitForPieces(): void {
    this.isScheduled = true;
    const onTurn = guarded(
      'request-input turn',
      () => {
        this.isScheduled = false;
        this.sliceBytes = FIRST_SLICE_BYTES;
        if (!this.isPaused && this.hasMore()) this.parseSlice();
        this.advance();
      },
      () => this.socket.destroy(),
    );
    this.options.pieceTurns.add(this.peer, () => {
      onTurn();
      return false;
    });
  }

  /** Stops the socket until `release`, and takes down what the server has it do meanwhile. */
  private hold(): void {
    this.count();
    if (this.isHeld) return;
    const { socket } = this;
    this.isPaused = socket.isPaused();
    this.isHeld = true;
    socket.pause();
    Object.assign(socket, {
      pause: () => {
        this.isPaused = true;
        return socket;
      },
      resume: () => {
        this.isPaused = false;
        this.schedule();
        return socket;
      },
    });
  }

  private release(): void {
    this.count();
    if (!this.isHeld) return;
    const { socket } = this;
    this.isHeld = false;
    Reflect.deleteProperty(socket, 'pause');
    Reflect.deleteProperty(socket, 'resume');
    if (!this.isPaused) socket.resume();
  }
}
