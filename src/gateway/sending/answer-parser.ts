import { validateHeaderName, validateHeaderValue } from 'node:http';
import { HTTPParser } from 'http-parser-js';

/** Status line and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Header names and values alternating, as received. */
  readonly rawHeaders: readonly string[];
  /** Whether the connection may carry another request. */
  readonly keepsAlive: boolean;
  /** Value of Content-Length in bytes; undefined if the header is absent. */
  readonly length: number | undefined;
  /** Whether the body ends with the connection, so that a truncated body looks complete. */
  readonly endsWithConnection: boolean;
}

/** Functions that the parser calls as it reads answers. */
export interface AnswerHandler {
  /** Called for the head of an interim answer, which is skipped. */
  onInterim(): void;
  onHead(head: AnswerHead): void;
  /** Receives the next part of the body: the bytes from `start` to `end`. */
  onBody(bytes: Buffer, start: number, end: number): void;
  /** Called when the answer is complete; `hasMore` if more bytes have been received behind it. */
  onEnd(hasMore: boolean): void;
}

/**
 * Maximum size in bytes of the headers of an answer; the library checks its own limit only per
 * chunk.
 */
const MAX_HEAD_BYTES = 64 * 1024;
/** Maximum length in bytes of the size line of a chunk. */
const MAX_CHUNK_LINE_BYTES = 1024;
const CHUNK_SIZE_LINE = /^[0-9a-fA-F]{1,12}[ \t]*(;.*)?$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
/** A status of three digits, behind which a space or the end of the line follows. */
const STATUS_LINE = /^HTTP\/1\.1 (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?$/;
/** First digit of the interim statuses 1xx. */
const INTERIM_CLASS = 1;
const SWITCHING_PROTOCOLS = 101;
/** Statuses whose answers have no body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The range of statuses of answers that are not interim. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Throws unless an answer with this status and these headers can be written again. */
const checkWritable = (status: number, rawHeaders: readonly string[]): void => {
  if (!(status >= MIN_FINAL_STATUS && status <= MAX_STATUS))
    throw new Error('malformed status: expected 200 to 599');
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] ?? '';
    validateHeaderName(name);
    validateHeaderValue(name, rawHeaders[i + 1] ?? '');
  }
};

/** Internal state of the library's parser, most of which its own types leave out. */
interface ParserState {
  readonly offset: number;
  readonly end: number;
  readonly line: string;
  readonly info: object;
  consumeLine(): string | undefined;
  RESPONSE_LINE(): void;
  BODY_CHUNKHEAD(): void;
}

type LibraryParser = InstanceType<typeof HTTPParser>;

const stateOf = (parser: LibraryParser): ParserState => parser as unknown as ParserState;

/** Parses a status line strictly; the library accepts any text behind the digits of the status. */
const readStatusLine = (parser: ParserState): void => {
  const line = parser.consumeLine();
  if (!line) return;
  const [, digits, statusMessage = ''] = STATUS_LINE.exec(line) ?? [];
  if (digits === undefined) throw new Error('malformed status line');
  const statusCode = Number(digits);
  Object.assign(parser.info, { versionMajor: 1, versionMinor: 1, statusCode, statusMessage });
  const isInterim = Math.floor(statusCode / 100) === INTERIM_CLASS;
  const hasNoBody = isInterim || BODYLESS_STATUSES.has(statusCode);
  Object.assign(parser, { state: 'HEADER', ...(hasNoBody ? { body_bytes: 0 } : {}) });
};

/** Parses the size line of a chunk strictly; the library accepts any text as a size. */
const readChunkHead = (parser: ParserState): void => {
  const line = parser.consumeLine();
  if (line === undefined) {
    if (parser.line.length > MAX_CHUNK_LINE_BYTES) throw new Error('malformed chunk size');
    return;
  }
  if (!CHUNK_SIZE_LINE.test(line)) throw new Error('malformed chunk size');
  const size = Number.parseInt(line, 16);
  const state = size === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
  Object.assign(parser, { body_bytes: size, state });
};

const createParser = (): LibraryParser => {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  const state = stateOf(parser);
  state.RESPONSE_LINE = () => readStatusLine(state);
  state.BODY_CHUNKHEAD = () => readChunkHead(state);
  return parser;
};

/** Returns the first value of a header; `name` in lower case. */
export const headerOf = (rawHeaders: readonly string[], name: string): string | undefined => {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() === name) return rawHeaders[i + 1];
  }
  return undefined;
};

/** Returns all values of a header, in order; `name` in lower case. */
export const headersOf = (rawHeaders: readonly string[], name: string): readonly string[] =>
  rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1]?.toLowerCase() === name);

const hasTransferCoding = (rawHeaders: readonly string[]): boolean =>
  headerOf(rawHeaders, 'transfer-encoding') !== undefined;

/**
 * Returns the Content-Length in bytes, undefined if there is none; throws if the framing is
 * ambiguous.
 */
const announcedLength = (rawHeaders: readonly string[]): number | undefined => {
  const lengths = headersOf(rawHeaders, 'content-length');
  const codings = headersOf(rawHeaders, 'transfer-encoding');
  if (codings.length > 0) {
    const isChunked = codings.length === 1 && codings[0]?.toLowerCase() === 'chunked';
    if (!isChunked || lengths.length > 0)
      throw new Error('ambiguous framing: not a single chunked, or with Content-Length');
    return undefined;
  }
  if (lengths.length === 0) return undefined;
  const [first = ''] = lengths;
  if (!CONTENT_LENGTH.test(first) || lengths.some((each) => each !== first)) {
    throw new Error('malformed content-length: expected one number, repeated at most identically');
  }
  return Number(first);
};

/** Parses the HTTP/1.1 answers on one connection, one after the other. */
export class AnswerParser {
  private readonly parser = createParser();

  /** Whether the answer being read is an interim one (1xx), which is skipped. */
  private isInterim = false;

  private moreFollows = false;

  /**
   * Whether the coming answer has no body because its request is a HEAD; set it before each answer.
   */
  hasNoBody = false;

  constructor(private readonly events: AnswerHandler) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.onHead(info);
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      events.onBody(chunk, offset, offset + length);
    };
    this.parser[HTTPParser.kOnMessageComplete] = () => {
      const { offset, end } = stateOf(this.parser);
      if (this.isInterim) this.isInterim = false;
      else events.onEnd(offset < end || this.moreFollows);
    };
  }

  /**
   * Parses received bytes, behind which more may have been received; returns false if they are
   * malformed.
   */
  parse(chunk: Buffer, moreFollows = false): boolean {
    this.moreFollows = moreFollows;
    try {
      return typeof this.parser.execute(chunk) === 'number';
    } catch {
      return false;
    }
  }

  /** Handles the end of the connection; returns false if it truncates an answer. */
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
    if (headBytes > MAX_HEAD_BYTES) throw new Error('answer headers exceed the size limit');
    if (Math.floor(status / 100) === INTERIM_CLASS) {
      this.isInterim = true;
      this.events.onInterim();
      return 1;
    }
    checkWritable(status, rawHeaders);
    const length = announcedLength(rawHeaders);
    this.events.onHead({
      status,
      // The library reuses its array for the next answer.
      rawHeaders: [...rawHeaders],
      keepsAlive: info.shouldKeepAlive,
      length,
      endsWithConnection:
        !this.hasNoBody &&
        length === undefined &&
        !hasTransferCoding(rawHeaders) &&
        !BODYLESS_STATUSES.has(status),
    });
    return this.hasNoBody ? 1 : 0;
  }
}
