/** A stand-in for the platform's store: the two keyed topics that a gateway reads. */
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer } from 'node:http';

import { listen } from './net.mjs';

const PAGE_HEADER_BYTES = 16;
const RECORD_LENGTH_BYTES = 4;
const MAX_NEWEST_COUNT = 500;
/** Size of the records in one answer where the call names none, in kilobytes. */
const MAX_KB = 1024;
const BYTES_PER_KB = 1024;

/** Encodes a record: 4 bytes of length, 1 byte of key length, key, value. */
const encodeRecord = ({ key, value }) => {
  const name = Buffer.from(key);
  const head = Buffer.alloc(RECORD_LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + name.length + value.length);
  head.writeUInt8(name.length, RECORD_LENGTH_BYTES);
  return Buffer.concat([head, name, value]);
};

/** A topic of one partition; offsets are indices, and no record expires. */
class Topic {
  records = [];

  waiting = new Set();

  newest() {
    const byKey = new Map(
      this.records.map((record, offset) => [record.key, { ...record, offset }]),
    );
    return [...byKey.values()]
      .filter(({ value }) => value.length > 0)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }
}

/** The store; `put` is what the operator and the backends write. */
export class Store {
  topics = new Map();

  server = createServer((req, res) => this.onRequest(req, res));

  async start(address) {
    this.address = address;
    this.port = await listen(this.server, address);
  }

  topic(name) {
    const known = this.topics.get(name) ?? new Topic();
    this.topics.set(name, known);
    return known;
  }

  /** Appends a record; without a value the key is removed. */
  put(topicName, key, value) {
    const topic = this.topic(topicName);
    topic.records.push({
      key,
      value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)),
    });
    [...topic.waiting].forEach((answer) => answer());
  }

  onRequest(req, res) {
    const url = new URL(req.url, 'http://store');
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    res.setHeader('store-era', '1');
    if (url.pathname === '/redwingmount/log-newest') {
      const after = url.searchParams.get('after') ?? '';
      const rest = topic.newest().filter(({ key }) => key > after);
      const body = JSON.stringify({
        items: rest
          .slice(0, MAX_NEWEST_COUNT)
          .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset })),
        hasMore: rest.length > MAX_NEWEST_COUNT,
        end: topic.records.length,
      });
      res.setHeader('content-type', 'application/json');
      res.end(body);
      return;
    }
    if (url.pathname !== '/redwingmount/log-read') {
      res.statusCode = 404;
      res.end();
      return;
    }
    const from = Number(url.searchParams.get('from'));
    if (from > topic.records.length) {
      res.statusCode = 410;
      res.end(JSON.stringify({ first: 0 }));
      return;
    }
    const answer = () => {
      topic.waiting.delete(answer);
      if (res.writableEnded || res.destroyed) return;
      const head = Buffer.alloc(PAGE_HEADER_BYTES);
      head.writeBigUInt64BE(BigInt(topic.records.length));
      const limit = Number(url.searchParams.get('maxKb') ?? MAX_KB) * BYTES_PER_KB;
      const page = [head];
      let size = 0;
      topic.records.slice(from).every((record) => {
        const bytes = encodeRecord(record);
        if (size > 0 && size + bytes.length > limit) return false;
        size += bytes.length;
        page.push(bytes);
        return true;
      });
      res.end(Buffer.concat(page));
    };
    if (from < topic.records.length) {
      answer();
      return;
    }
    topic.waiting.add(answer);
    setTimeout(answer, Number(url.searchParams.get('waitMs') ?? 0)).unref();
  }
}
