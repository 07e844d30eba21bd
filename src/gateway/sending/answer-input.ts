/** Number of bytes that are parsed at once, and how many they grow to while that is cheap. */
const MIN_SLICE_BYTES = 2 * 1024;
const MAX_SLICE_BYTES = 16 * 1024;
/** Number of pieces in a slice, such as chunks of a body, up to which it is cheap. */
const MAX_CHEAP_PIECES = 64;
/** Number of pieces that are read at once before the rest waits for its turns. */
const MAX_PIECES_AT_ONCE = 512;

const NOTHING = Buffer.alloc(0);

/** Functions that an input calls. */
export interface AnswerInputHandler {
  /** Parses bytes, behind which more have been received or not; returns the number of pieces. */
  parse(slice: Buffer, moreFollows: boolean): number;
  /** Called when the rest waits for its turns; no more should be received meanwhile. */
  onWait(): void;
  /** Called when all that waited has been parsed. */
  onRead(): void;
}

/** Reads what costs much by byte, a slice in a turn of the event loop for all peers together. */
export interface SliceTurns {
  add(peer: string, read: () => boolean): void;
}

/**
 * What has been received from an upstream and is to be parsed. Load pattern: an upstream sends
 * without end in pieces of a few bytes, each of which costs as much as one of kilobytes; answers of
 * other upstreams must not wait for them. An answer in few or large pieces is parsed as it comes.
 */
export class AnswerInput {
  private unread: Buffer = NOTHING;

  private sliceBytes = MIN_SLICE_BYTES;

  constructor(
    private readonly peer: string,
    private readonly turns: SliceTurns,
    private readonly handler: AnswerInputHandler,
  ) {}

  /** Number of bytes that wait to be parsed. */
  get waiting(): number {
    return this.unread.length;
  }

  /** Parses received bytes, or has the rest parsed in turns. */
  push(chunk: Buffer): void {
    const isWaiting = this.unread.length > 0;
    this.unread = isWaiting ? Buffer.concat([this.unread, chunk]) : chunk;
    if (isWaiting || !this.readAtOnce()) return;
    this.handler.onWait();
    this.turns.add(this.peer, () => {
      this.readSlice();
      if (this.unread.length > 0) return true;
      this.handler.onRead();
      return false;
    });
  }

  /** Reads on as long as that is cheap; returns whether more waits. */
  private readAtOnce(): boolean {
    let pieces = 0;
    while (this.unread.length > 0 && pieces <= MAX_PIECES_AT_ONCE) {
      const read = this.readSlice();
      const isCheap = read <= MAX_CHEAP_PIECES;
      if (!isCheap) pieces += read;
      this.sliceBytes = isCheap ? Math.min(MAX_SLICE_BYTES, 2 * this.sliceBytes) : MIN_SLICE_BYTES;
    }
    return this.unread.length > 0;
  }

  /** Parses the next bytes; returns the number of pieces. */
  private readSlice(): number {
    const slice = this.unread.subarray(0, this.sliceBytes);
    const rest = this.unread.subarray(slice.length);
    this.unread = rest.length === 0 ? NOTHING : rest;
    return this.handler.parse(slice, rest.length > 0);
  }
}
