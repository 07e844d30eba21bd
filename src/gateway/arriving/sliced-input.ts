import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';

import type { Holding, HostMemory } from '../memory';
import type { ReadingTurns } from '../reading-turns';

/** Size in bytes of the first slice that is parsed of what has been read from a socket. */
const FIRST_SLICE_BYTES = 2 * 1024;
/** Size in bytes up to which the slices after it grow. */
const MAX_SLICE_BYTES = 16 * 1024;
/** Number of pieces of a body that are cheap whatever their size. */
const FREE_PIECE_COUNT = 256;
/** Average size in bytes from which all pieces of a body are cheap. */
const CHEAP_PIECE_BYTES = 64;

/** What inputs share. */
export interface SlicedInputOptions {
  readonly turns: ReadingTurns;
  readonly memory: HostMemory;
}

type Parse = (chunk: Buffer) => void;

/**
 * What a socket of an HTTP server has read, which its parser gets in slices. Once the pieces of a
 * body are many and small, each slice waits for its turn, and the socket is stopped meanwhile. Load
 * pattern: the parser would take a whole read of 64 KiB at once, with 10,900 chunks of one byte, and
 * then go on to the next one; a body of few or large pieces is parsed as it comes.
 */
export class SlicedInput {
  /** The listeners of the server, which parse what they get. */
  private readonly parsers: readonly Parse[];

  /** What has been read and is not parsed. */
  private pending: Buffer | undefined;

  private sliceBytes = FIRST_SLICE_BYTES;

  private pieceCount = 0;

  private bodyBytes = 0;

  /** Size of the body that is being read; undefined if it isn't stated. */
  private statedBytes: number | undefined = 0;

  /** Whether `advance` is to be called. */
  private isScheduled = false;

  /** Whether the socket is stopped, whatever the server does. */
  private isHeld = false;

  /** Whether the server has stopped the socket. */
  private isPaused = false;

  private isDropped = false;

  private readonly onData = guarded(
    'sliced-input data',
    (chunk: Buffer) => this.onRead(chunk),
    () => this.socket.destroy(),
  );

  private readonly peer: string;

  /** Counts what waits for its turn. */
  private readonly holding: Holding | undefined;

  /** Without `options` all is parsed as it comes. */
  constructor(
    private readonly socket: Socket,
    private readonly options: SlicedInputOptions | undefined,
  ) {
    const peer = { kind: 'caller', id: `${socket.remoteAddress}:${socket.remotePort}` } as const;
    this.peer = `${peer.kind} ${peer.id}`;
    this.holding = options?.memory.open(peer, () => {
      this.drop();
      socket.destroy();
    });
    this.parsers = socket.listeners('data') as Parse[];
    socket.removeAllListeners('data');
    socket.on('data', this.onData);
    socket.on(
      'resume',
      guarded('sliced-input resume', () => this.scheduleAdvance()),
    );
  }

  /** Notes that a body begins; `bytes` is its size, undefined if it isn't stated. */
  startBody(bytes: number | undefined): void {
    this.pieceCount = 0;
    this.bodyBytes = 0;
    this.statedBytes = bytes;
  }

  /** Notes that the parser has given a piece of the body. */
  onPiece(bytes: number): void {
    this.pieceCount += 1;
    this.bodyBytes += bytes;
  }

  /** Reads and parses nothing more. */
  drop(): void {
    this.isDropped = true;
    this.pending = undefined;
    this.holding?.close();
    this.hold();
  }

  /** Parses nothing more, as an error has ended the parser. */
  dropPending(): void {
    this.pending = undefined;
  }

  private get isCostly(): boolean {
    return (
      this.options !== undefined &&
      this.pieceCount > FREE_PIECE_COUNT + this.bodyBytes / CHEAP_PIECE_BYTES
    );
  }

  private onRead(chunk: Buffer): void {
    if (this.isDropped) return;
    const isSmall = !this.pending && chunk.length <= FIRST_SLICE_BYTES;
    if (isSmall && !this.isHeld && !this.isCostly) {
      this.parse(chunk);
      return;
    }
    this.pending = this.pending ? Buffer.concat([this.pending, chunk]) : chunk;
    this.sliceBytes = FIRST_SLICE_BYTES;
    if (!this.isHeld && !this.isScheduled) this.advance();
  }

  /** Parses the next slice, or has it parsed in its turn. */
  private advance(): void {
    if (!this.hasMore()) return;
    if (this.isCostly) {
      this.waitForTurn();
    } else if (!this.socket.isPaused()) {
      this.parseSlice();
      this.sliceBytes = Math.min(2 * this.sliceBytes, MAX_SLICE_BYTES);
      this.scheduleAdvance();
    }
  }

  /** Whether there is something to parse, and still a parser for it. */
  private hasMore(): boolean {
    if (!this.pending) return false;
    const isOver = this.socket.destroyed || !this.socket.listeners('data').includes(this.onData);
    if (isOver) this.pending = undefined;
    return !isOver;
  }

  /** Goes on once the pieces that the parser has given were taken, which it may hold until then. */
  private scheduleAdvance(): void {
    if (this.isScheduled || this.isHeld || !this.pending) return;
    this.isScheduled = true;
    const advance = guarded(
      'sliced-input tick',
      () => {
        this.isScheduled = false;
        this.advance();
      },
      () => this.socket.destroy(),
    );
    process.nextTick(advance);
  }

  private parseSlice(): void {
    const { pending } = this;
    if (!pending) return;
    // The rest of a body of a stated size is one piece.
    const size = Math.max(this.sliceBytes, (this.statedBytes ?? 0) - this.bodyBytes);
    this.pending = pending.length > size ? pending.subarray(size) : undefined;
    this.parse(this.pending ? pending.subarray(0, size) : pending);
  }

  private parse(bytes: Buffer): void {
    this.parsers.forEach((parse) => parse.call(this.socket, bytes));
  }

  private waitForTurn(): void {
    this.hold();
    const onTurn = guarded(
      'sliced-input turn',
      () => {
        this.sliceBytes = FIRST_SLICE_BYTES;
        if (!this.isPaused && this.hasMore()) this.parseSlice();
        this.onTurnOver();
      },
      () => this.socket.destroy(),
    );
    this.options?.turns.add(this.peer, () => {
      onTurn();
      return false;
    });
  }

  private onTurnOver(): void {
    if (this.isDropped) return;
    if (!this.isPaused && this.hasMore()) this.waitForTurn();
    else this.release();
  }

  /** Stops the socket until `release`, and takes down what the server has it do meanwhile. */
  private hold(): void {
    if (this.isHeld) return;
    const { socket } = this;
    this.isPaused = socket.isPaused();
    this.isHeld = true;
    this.holding?.resize(this.pending?.length ?? 0);
    socket.pause();
    Object.assign(socket, {
      pause: () => {
        this.isPaused = true;
        return socket;
      },
      resume: () => {
        this.isPaused = false;
        return socket;
      },
    });
  }

  private release(): void {
    const { socket } = this;
    this.isHeld = false;
    this.holding?.resize(0);
    Reflect.deleteProperty(socket, 'pause');
    Reflect.deleteProperty(socket, 'resume');
    if (!this.isPaused) socket.resume();
  }
}

const inputs = new WeakMap<Socket, SlicedInput>();

/** Has the connections that a server takes from now on parsed in slices; see `SlicedInput`. */
export const sliceInputs = (server: Server, options?: SlicedInputOptions): void => {
  server.on(
    'connection',
    guarded('sliced-input connection', (socket: Socket) => {
      inputs.set(socket, new SlicedInput(socket, options));
    }),
  );
};

/** Returns the input of a socket; undefined if it is not parsed in slices. */
export const inputOf = (socket: Socket): SlicedInput | undefined => inputs.get(socket);
