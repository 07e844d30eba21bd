import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { AnswerParser, type AnswerHead } from '../../src/gateway/answer-parser';

const SEED = 20261203;

interface Seen {
  readonly heads: AnswerHead[];
  readonly bodies: string[];
  valid: boolean;
  whole: boolean;
}

/** Parses chunks, then the end of the connection. */
const parse = (chunks: readonly Buffer[]): Seen => {
  const seen: Seen = { heads: [], bodies: [], valid: true, whole: true };
  let body = '';
  const parser = new AnswerParser({
    onHead: (head) => {
      seen.heads.push(head);
      body = '';
    },
    onBody: (chunk) => {
      body += chunk.toString('latin1');
    },
    onEnd: () => seen.bodies.push(body),
  });
  seen.valid = chunks.every((chunk) => parser.take(chunk));
  seen.whole = seen.valid && parser.finish();
  return seen;
};

const cutAt = (bytes: Buffer, places: readonly number[]): readonly Buffer[] => {
  const cuts = [...new Set([0, ...places.map((place) => place % bytes.length), bytes.length])];
  return cuts
    .sort((a, b) => a - b)
    .slice(1)
    .map((end, i) => bytes.subarray(cuts[i], end));
};

const sized = (body: string): string =>
  `HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const chunked = (parts: readonly string[]): string =>
  `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${parts
    .map((part) => `${part.length.toString(16)}\r\n${part}\r\n`)
    .join('')}0\r\n\r\n`;

const text = fc.string({
  minLength: 1,
  maxLength: 40,
  unit: fc.constantFrom('a', 'b', '0', '\r', '\n'),
});

describe('answers read off a connection', () => {
  it('are the same however the bytes are cut', () => {
    fc.assert(
      fc.property(fc.array(text, { minLength: 1 }), fc.array(fc.nat()), (parts, places) => {
        const bytes = Buffer.from(sized(parts.join('')) + chunked(parts), 'latin1');
        const seen = parse(cutAt(bytes, places));
        expect(seen.valid).toEqual(true);
        expect(seen.bodies).toEqual([parts.join(''), parts.join('')]);
      }),
      { seed: SEED },
    );
  });

  it('are not whole when they are cut off', () => {
    fc.assert(
      fc.property(text, fc.nat(), fc.boolean(), (body, place, isChunked) => {
        const bytes = Buffer.from(isChunked ? chunked([body]) : sized(body), 'latin1');
        const seen = parse([bytes.subarray(0, place % bytes.length)]);
        expect(seen.bodies).toEqual([]);
      }),
      { seed: SEED },
    );
  });

  const malformed: readonly string[] = [
    'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\na\r\n0\r\n\r\n',
    'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
    'SSH-2.0-x\r\n\r\n',
    `HTTP/1.1 200 OK\r\nX: ${'y'.repeat(100_000)}\r\n\r\n`,
  ];
  malformed.forEach((bytes) => {
    it(`are refused: ${JSON.stringify(bytes.slice(0, 70))}`, () => {
      const seen = parse([Buffer.from(bytes, 'latin1')]);
      expect([seen.valid, seen.bodies]).toEqual([false, []]);
    });
  });

  it('skip interim answers, and tell those that end with their connection', () => {
    const seen = parse([
      Buffer.from('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nrest'),
    ]);
    expect(
      seen.heads.map(({ status, endsWithConnection }) => [status, endsWithConnection]),
    ).toEqual([[200, true]]);
    expect(seen.bodies).toEqual(['rest']);
    const empty = parse([Buffer.from('HTTP/1.1 204 No Content\r\n\r\n')]);
    expect(empty.heads[0]?.endsWithConnection).toEqual(false);
  });

  it('never throw', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
        parse([Buffer.from('HTTP/1.1 '), Buffer.from(bytes)]);
      }),
      { seed: SEED },
    );
  });
});
