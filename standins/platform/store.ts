/** A stand-in for the platform's store: keyed topics of one partition, read by offset or whole. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { closeServer, listen, sendJson, type StandIn } from '../server';

/** How the store treats calls. */
export type StoreFaultMode = 'well' | 'busy' | 'silent' | 'reset' | 'cut-short';

interface StoredRecord {
  readonly offset: number;
  readonly key: string;
  readonly value: Buffer;
}

/** A running store and its controls. */
export interface StoreStandIn extends StandIn {
  mood: StoreFaultMode;
  /** Calls answered or refused so far. */
  calls: number;
  /** Writes a record; without a value the key is removed. */
  put(topic: string, key: string, value?: unknown): void;
  /** Deletes all records but the newest of each key. */
  compact(topic: string): void;
}

const HEAD_BYTES = 16;
const LENGTH_BYTES = 4;
const GONE = 410;
const BUSY = 503;
const PAGE = 500;

class Topic {
  readonly records: StoredRecord[] = [];

  first = 0;

  get end(): number {
    return (this.records.at(-1)?.offset ?? -1) + 1;
  }

  newest(): readonly StoredRecord[] {
    const byKey = new Map(this.records.map((record) => [record.key, record]));
    return [...byKey.values()]
      .filter(({ value }) => value.length > 0)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }
}

const encode = ({ key, value }: StoredRecord): Buffer => {
  const name = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + name.length + value.length);
  head.writeUInt8(name.length, LENGTH_BYTES);
  return Buffer.concat([head, name, value]);
};

const pageOf = (topic: Topic, from: number): Buffer => {
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeBigUInt64BE(BigInt(topic.end));
  head.writeBigUInt64BE(BigInt(topic.first), HEAD_BYTES / 2);
  return Buffer.concat([head, ...topic.records.filter(({ offset }) => offset >= from).map(encode)]);
};

/** The store's state and its calls. */
class Store implements StoreStandIn {
  port = 0;

  mood: StoreFaultMode = 'well';

  calls = 0;

  private readonly topics = new Map<string, Topic>();

  private readonly waiting = new Set<() => void>();

  readonly server = createServer((req, res) => this.handle(req, res));

  put(name: string, key: string, value?: unknown): void {
    const topic = this.topicOf(name);
    const text = typeof value === 'string' ? value : JSON.stringify(value ?? '');
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(text);
    topic.records.push({ offset: topic.end, key, value: bytes });
    [...this.waiting].forEach((answer) => answer());
  }

  compact(name: string): void {
    const topic = this.topicOf(name);
    const { end } = topic;
    const kept = [...topic.newest()].sort((x, y) => x.offset - y.offset);
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
    this.calls += 1;
    const url = new URL(req.url ?? '/', 'http://store');
    switch (this.mood) {
      case 'silent':
        return;
      case 'reset':
        req.socket.destroy();
        return;
      case 'busy':
        sendJson(res, BUSY, { error: 'busy' });
        return;
      case 'cut-short':
        res.writeHead(200, { 'content-length': '100' });
        res.write('0123456789', () => req.socket.destroy());
        return;
      case 'well':
        if (url.pathname === '/redwingmount/log-newest') this.readNewest(res, url.searchParams);
        else if (url.pathname === '/redwingmount/log-read') this.readFrom(res, url.searchParams);
        else sendJson(res, 404, { error: 'no such call' });
    }
  }

  private readNewest(res: ServerResponse, query: URLSearchParams): void {
    const topic = this.topicOf(query.get('topic') ?? '');
    const after = query.get('after') ?? '';
    const rest = topic.newest().filter(({ key }) => key > after);
    sendJson(res, 200, {
      items: rest.slice(0, PAGE).map(({ key, value, offset }) => ({
        key,
        value: value.toString('base64'),
        offset,
      })),
      hasMore: rest.length > PAGE,
      end: topic.end,
    });
  }

  private readFrom(res: ServerResponse, query: URLSearchParams): void {
    const topic = this.topicOf(query.get('topic') ?? '');
    const from = Number(query.get('from'));
    const answer = (): void => {
      this.waiting.delete(answer);
      if (res.writableEnded) return;
      if (from < topic.first) sendJson(res, GONE, { first: topic.first });
      else res.end(pageOf(topic, from));
    };
    if (from < topic.end || from < topic.first) {
      answer();
      return;
    }
    this.waiting.add(answer);
    setTimeout(answer, Number(query.get('waitMs') ?? 0)).unref();
  }
}

/** Starts a store on loopback. */
export const startStore = async (): Promise<StoreStandIn> => {
  const store = new Store();
  store.port = await listen(store.server, 0);
  return store;
};
