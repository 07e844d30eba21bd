/**
 * A stand-in for the platform's store: single-partition topics of keyed records, read by offset or
 * by newest record of each key.
 */
import { randomBytes } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { closeServer, listen, sendJson, type StandIn } from '../server';

import { writeWithoutEnd } from './endless-upstream';
import { inPieces } from './responses';

/**
 * How the store treats requests: `well` answers them, `busy` refuses with 503, `silent` never
 * answers, `reset` closes the connection, `cut-short` closes it within the body, `spoilt` answers
 * with random bytes, `in-pieces` answers in chunks of one byte, `endless` in such chunks without end.
 */
export type StoreFaultMode =
  'well' | 'busy' | 'silent' | 'reset' | 'cut-short' | 'spoilt' | 'in-pieces' | 'endless';

interface StoredRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty when the record removes the key. */
  readonly value: Buffer;
  /** Time at which it was written, in Unix milliseconds. */
  readonly at: number;
}

/** A running store and its controls. */
export interface StoreStandIn extends StandIn {
  /** The fault mode of requests from now on. */
  mood: StoreFaultMode;
  /** Topics whose reads are refused with 503, whatever the mood. */
  readonly refusedTopics: Set<string>;
  /** The waits of all reads by offset received, in milliseconds, by topic. */
  readonly waits: readonly { readonly topic: string; readonly wait: number }[];
  /** Number of requests received, whatever became of them. */
  requestCount: number;
  /**
   * Appends a record: a string as it is, other values as JSON. Without a value the key is removed.
   */
  put(topic: string, key: string, value?: unknown): void;
  /** Number of the store's copy, in the header Store-Era of all answers. */
  readonly era: number;
  /**
   * Comes back from a copy: records written at `until` (Unix milliseconds) or later are gone, their
   * offsets are given out again, the era rises by one and waiting reads are reset.
   */
  restoreCopy(until: number): void;
  /** Deletes all records but the newest of each key that is not removed, and the last record. */
  compact(topic: string): void;
}

/** Size of a page's header: the end offset and the first offset, 64 bits each. */
const PAGE_HEADER_BYTES = 16;
const RECORD_LENGTH_BYTES = 4;
/** Size in bytes of an answer in the mode `spoilt`. */
const SPOILT_BYTES = 200;
const STATUS_GONE = 410;
const STATUS_SERVICE_UNAVAILABLE = 503;
/** Maximum number of items in one answer of `log-newest`. */
const MAX_NEWEST_ITEM_COUNT = 500;

/** A topic of one partition. */
class Topic {
  records: StoredRecord[] = [];

  /** Reads from an offset below this one are answered 410. */
  first = 0;

  /** Offset that the next record gets. */
  get end(): number {
    return (this.records.at(-1)?.offset ?? -1) + 1;
  }

  /** Returns the newest record of each key that is not removed, ordered by key. */
  newestOfEachKey(): readonly StoredRecord[] {
    const byKey = new Map(this.records.map((record) => [record.key, record]));
    return [...byKey.values()]
      .filter(({ value }) => value.length > 0)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }
}

/** Encodes a record: 32-bit length of the rest, 8-bit key length, key, value. */
const encodeRecord = ({ key, value }: StoredRecord): Buffer => {
  const name = Buffer.from(key);
  const head = Buffer.alloc(RECORD_LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + name.length + value.length);
  head.writeUInt8(name.length, RECORD_LENGTH_BYTES);
  return Buffer.concat([head, name, value]);
};

/** Encodes a page: its header, then all records from offset `from` on. */
const encodePage = (topic: Topic, from: number): Buffer => {
  const head = Buffer.alloc(PAGE_HEADER_BYTES);
  head.writeBigUInt64BE(BigInt(topic.end));
  head.writeBigUInt64BE(BigInt(topic.first), PAGE_HEADER_BYTES / 2);
  return Buffer.concat([
    head,
    ...topic.records.filter(({ offset }) => offset >= from).map(encodeRecord),
  ]);
};

/** The topics and the HTTP server of the store. */
class Store implements StoreStandIn {
  port = 0;

  mood: StoreFaultMode = 'well';

  readonly refusedTopics = new Set<string>();

  readonly waits: { readonly topic: string; readonly wait: number }[] = [];

  requestCount = 0;

  era = 1;

  private readonly topics = new Map<string, Topic>();

  private readonly waitingReads = new Map<() => void, IncomingMessage>();

  readonly server = createServer((req, res) => this.handle(req, res));

  put(name: string, key: string, value?: unknown): void {
    const topic = this.topicOf(name);
    const text = typeof value === 'string' ? value : JSON.stringify(value ?? '');
    const stated = value instanceof Buffer ? value : Buffer.from(text);
    const bytes = value === undefined ? Buffer.alloc(0) : stated;
    topic.records.push({ offset: topic.end, key, value: bytes, at: Date.now() });
    [...this.waitingReads.keys()].forEach((answer) => answer());
  }

  restoreCopy(until: number): void {
    this.era += 1;
    this.topics.forEach((topic) =>
      Object.assign(topic, { records: topic.records.filter(({ at }) => at < until) }),
    );
    this.waitingReads.forEach((req) => req.socket.destroy());
    this.waitingReads.clear();
  }

  compact(name: string): void {
    const topic = this.topicOf(name);
    const { end } = topic;
    const kept = [...topic.newestOfEachKey()].sort((x, y) => x.offset - y.offset);
    const last = topic.records.at(-1);
    topic.records.length = 0;
    topic.records.push(...kept);
    if (last && topic.records.at(-1) !== last) topic.records.push(last);
    topic.first = end;
  }

  close(): Promise<void> {
    return closeServer(this.server);
  }

  private topicOf(name: string): Topic {
    const known = this.topics.get(name) ?? new Topic();
    this.topics.set(name, known);
    return known;
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    this.requestCount += 1;
    const url = new URL(req.url ?? '/', 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const wait = Number(url.searchParams.get('waitMs') ?? 0);
    if (url.searchParams.has('from')) this.waits.push({ topic, wait });
    res.setHeader('store-era', String(this.era));
    if (this.refusedTopics.has(topic)) {
      sendJson(res, STATUS_SERVICE_UNAVAILABLE, { error: 'busy' });
      return;
    }
    switch (this.mood) {
      case 'silent':
        return;
      case 'reset':
        req.socket.destroy();
        return;
      case 'busy':
        sendJson(res, STATUS_SERVICE_UNAVAILABLE, { error: 'busy' });
        return;
      case 'cut-short':
        res.writeHead(200, { 'content-length': '100' });
        res.write('0123456789', () => req.socket.destroy());
        return;
      case 'spoilt':
        res.end(randomBytes(SPOILT_BYTES));
        return;
      case 'endless':
        req.socket.write(this.chunkedHead());
        writeWithoutEnd(req.socket, '1\r\nx\r\n');
        return;
      case 'in-pieces':
      case 'well':
        if (url.pathname === '/redwingmount/log-newest') this.readNewest(res, url.searchParams);
        else if (url.pathname === '/redwingmount/log-read')
          this.readFrom(req, res, url.searchParams);
        else sendJson(res, 404, { error: 'unknown path' });
    }
  }

  /** Answers 200 with a body, as JSON unless it is bytes; in pieces in that mode. */
  private send(res: ServerResponse, body: unknown): void {
    if (this.mood === 'in-pieces') {
      const bytes = body instanceof Buffer ? body : Buffer.from(JSON.stringify(body));
      res.socket?.write(this.chunkedHead());
      res.socket?.write(inPieces(bytes));
      res.socket?.end('0\r\n\r\n');
    } else if (body instanceof Buffer) res.end(body);
    else sendJson(res, 200, body);
  }

  private chunkedHead(): string {
    return `HTTP/1.1 200 OK\r\nStore-Era: ${this.era}\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
  }

  /** Answers the newest records of the keys after the query's `after`, as one page of JSON. */
  private readNewest(res: ServerResponse, query: URLSearchParams): void {
    const topic = this.topicOf(query.get('topic') ?? '');
    const after = query.get('after') ?? '';
    const rest = topic.newestOfEachKey().filter(({ key }) => key > after);
    this.send(res, {
      items: rest.slice(0, MAX_NEWEST_ITEM_COUNT).map(({ key, value, offset }) => ({
        key,
        value: value.toString('base64'),
        offset,
      })),
      hasMore: rest.length > MAX_NEWEST_ITEM_COUNT,
      end: topic.end,
    });
  }

  /** Answers a long poll of `waitMs` for records from the query's `from` on. */
  private readFrom(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): void {
    const topic = this.topicOf(query.get('topic') ?? '');
    const from = Number(query.get('from'));
    const answer = (): void => {
      this.waitingReads.delete(answer);
      if (res.writableEnded) return;
      if (from < topic.first || from > topic.end)
        sendJson(res, STATUS_GONE, { first: topic.first });
      else this.send(res, encodePage(topic, from));
    };
    if (from !== topic.end || from < topic.first) {
      answer();
      return;
    }
    this.waitingReads.set(answer, req);
    setTimeout(answer, Number(query.get('waitMs') ?? 0)).unref();
  }
}

/** Starts a store on a free port of loopback. */
export const startStore = async (): Promise<StoreStandIn> => {
  const store = new Store();
  store.port = await listen(store.server, 0);
  return store;
};
