import { HTTPParser } from 'http-parser-js';

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, as sent. */
  readonly rawHeaders: readonly string[];
  /** Whether the connection may carry another request. */
  readonly keepsAlive: boolean;
  /** The body's length as announced; undefined when it is chunked or ends with its connection. */
  readonly length: number | undefined;
  /** Its body ends with the connection, so that an early end can't be told from the right one. */
  readonly endsWithConnection: boolean;
}

/** What a parser tells of the bytes that it reads. */
export interface AnswerEvents {
  onHead(head: AnswerHead): void;
  onBody(chunk: Buffer): void;
  /** The answer is whole. `hasMore`: bytes follow that belong to no part of it. */
  onEnd(hasMore: boolean): void;
}

/** The most that the headers of an answer may have; the library counts only whole chunks. */
const MAX_HEAD_BYTES = 64 * 1024;
/** The longest line that announces a chunk. */
const MAX_CHUNK_LINE = 1024;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,12}[ \t]*(;.*)?$/;
const LENGTH = /^\d{1,15}$/;
const CONTINUE_CLASS = 1;
const SWITCHING_PROTOCOLS = 101;

/** What the library's parser keeps of its progress; its own types hide most of it. */
interface ParserState {
  readonly offset: number;
  readonly end: number;
  readonly line: string;
  consumeLine(): string | undefined;
  BODY_CHUNKHEAD(): void;
}

type LibraryParser = InstanceType<typeof HTTPParser>;

const stateOf = (parser: LibraryParser): ParserState => parser as unknown as ParserState;

/** Reads the line that announces a chunk; the library would take any text for a size. */
const readChunkHead = (parser: ParserState): void => {
  const line = parser.consumeLine();
  if (line === undefined) {
    if (parser.line.length > MAX_CHUNK_LINE) throw new Error('malformed chunk size');
    return;
  }
  if (!CHUNK_SIZE.test(line)) throw new Error('malformed chunk size');
  const size = Number.parseInt(line, 16);
  const state = size === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
  Object.assign(parser, { body_bytes: size, state });
};

const createParser = (): LibraryParser => {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  const state = stateOf(parser);
  state.BODY_CHUNKHEAD = () => readChunkHead(state);
  return parser;
};

export const headerOf = (rawHeaders: readonly string[], name: string): string | undefined => {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() === name) return rawHeaders[i + 1];
  }
  return undefined;
};

const allOf = (rawHeaders: readonly string[], name: string): readonly string[] =>
  rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1]?.toLowerCase() === name);

/** Statuses whose answers have no body. */
const BODYLESS: ReadonlySet<number> = new Set([204, 304]);

const hasCoding = (rawHeaders: readonly string[]): boolean =>
  headerOf(rawHeaders, 'transfer-encoding') !== undefined;

/** The announced length; throws where framing is ambiguous. */
const announcedLength = (rawHeaders: readonly string[]): number | undefined => {
  const lengths = allOf(rawHeaders, 'content-length');
  const codings = allOf(rawHeaders, 'transfer-encoding');
  if (codings.length > 0) {
    const isChunked = codings.length === 1 && codings[0]?.toLowerCase() === 'chunked';
    if (!isChunked || lengths.length > 0) throw new Error('ambiguous framing');
    return undefined;
  }
  if (lengths.length === 0) return undefined;
  const [first = ''] = lengths;
  if (!LENGTH.test(first) || lengths.some((each) => each !== first)) {
    throw new Error('malformed content-length');
  }
  return Number(first);
};

/** Reads HTTP/1.1 answers off one connection, one after the other. */
export class AnswerParser {
  private readonly parser = createParser();

  private isInterim = false;

  /** Whether the answer now read has no body by its request's method. */
  bodyless = false;

  constructor(private readonly events: AnswerEvents) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.onHead(info);
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      events.onBody(chunk.subarray(offset, offset + length));
    };
    this.parser[HTTPParser.kOnMessageComplete] = () => {
      const { offset, end } = stateOf(this.parser);
      if (this.isInterim) this.isInterim = false;
      else events.onEnd(offset < end);
    };
  }

  /** Takes bytes; false when they are not HTTP/1.1 answers. */
  take(chunk: Buffer): boolean {
    try {
      return typeof this.parser.execute(chunk) === 'number';
    } catch {
      return false;
    }
  }

  /** The connection has ended in order; false when an answer was cut off by that. */
  finish(): boolean {
    try {
      return this.parser.finish() === undefined;
    } catch {
      return false;
    }
  }

  private onHead(info: {
    readonly statusCode: number;
    readonly headers: readonly string[];
    readonly shouldKeepAlive: boolean;
  }): number {
    const { statusCode: status, headers: rawHeaders } = info;
    if (status === SWITCHING_PROTOCOLS) throw new Error('unexpected upgrade');
    const headBytes = rawHeaders.reduce((sum, part) => sum + part.length, 0);
    if (headBytes > MAX_HEAD_BYTES) throw new Error('head too long');
    if (Math.floor(status / 100) === CONTINUE_CLASS) {
      this.isInterim = true;
      return 1;
    }
    const length = announcedLength(rawHeaders);
    this.events.onHead({
      status,
      // The library reuses its array for the next answer.
      rawHeaders: [...rawHeaders],
      keepsAlive: info.shouldKeepAlive,
      length,
      endsWithConnection:
        !this.bodyless && length === undefined && !hasCoding(rawHeaders) && !BODYLESS.has(status),
    });
    return this.bodyless ? 1 : 0;
  }
}
