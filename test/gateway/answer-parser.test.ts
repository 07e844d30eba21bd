import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { AnswerParser, type AnswerHead } from '../../src/gateway/sending/answer-parser';

const SEED = 20261203;

/** What the parser reported; `whole` if the connection did not truncate an answer. */
interface ParseResult {
  readonly heads: AnswerHead[];
  readonly bodies: string[];
  valid: boolean;
  whole: boolean;
}

/** Parses chunks, followed by the end of the connection. */
const parse = (chunks: readonly Buffer[]): ParseResult => {
  const result: ParseResult = { heads: [], bodies: [], valid: true, whole: true };
  let body = '';
  const parser = new AnswerParser({
    onInterim: () => {},
    onHead: (head) => {
      result.heads.push(head);
      body = '';
    },
    onBody: (bytes, start, end) => {
      body += bytes.toString('latin1', start, end);
    },
    onEnd: () => result.bodies.push(body),
  });
  result.valid = chunks.every((chunk) => parser.parse(chunk));
  result.whole = result.valid && parser.finish();
  return result;
};

/** Splits bytes at the given places, taken modulo the length. */
const splitAt = (bytes: Buffer, places: readonly number[]): readonly Buffer[] => {
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

describe('answers parsed from a connection', () => {
  it('are the same however the bytes are split into chunks', () => {
    fc.assert(
      fc.property(fc.array(text, { minLength: 1 }), fc.array(fc.nat()), (parts, places) => {
        const bytes = Buffer.from(sized(parts.join('')) + chunked(parts), 'latin1');
        const result = parse(splitAt(bytes, places));
        expect(result.valid).toEqual(true);
        expect(result.bodies).toEqual([parts.join(''), parts.join('')]);
      }),
      { seed: SEED },
    );
  });

  it('are not complete when they are truncated', () => {
    fc.assert(
      fc.property(text, fc.nat(), fc.boolean(), (body, place, isChunked) => {
        const bytes = Buffer.from(isChunked ? chunked([body]) : sized(body), 'latin1');
        const result = parse([bytes.subarray(0, place % bytes.length)]);
        expect(result.bodies).toEqual([]);
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
    ...[
      'HTTP/1.1 000 OK',
      'HTTP/1.1 099 OK',
      'HTTP/1.1 600 OK',
      'HTTP/1.1 20 OK',
      'HTTP/1.1 2000 OK',
      'HTTP/1.1 200.5 OK',
      'HTTP/1.1 200OK',
      'HTTP/1.1 200\tOK',
      'HTTP/1.1  200 OK',
      'HTTP/1.1 -200 OK',
      'HTTP/1.1 2e2 OK',
      'HTTP/1.1 200 O\0K',
      'HTTP/1.0 200 OK',
      'HTTP/2.0 200 OK',
      'HTTP/01.1 200 OK',
      'http/1.1 200 OK',
    ].map((line) => `${line}\r\nContent-Length: 0\r\n\r\n`),
    `HTTP/1.1 200 OK\r\nX: ${'y'.repeat(100_000)}\r\n\r\n`,
  ];
  malformed.forEach((bytes) => {
    it(`are refused: ${JSON.stringify(bytes.slice(0, 70))}`, () => {
      const result = parse([Buffer.from(bytes, 'latin1')]);
      expect([result.valid, result.bodies]).toEqual([false, []]);
    });
  });

  it('may lack a reason', () => {
    const lines = ['HTTP/1.1 200', 'HTTP/1.1 404 ', 'HTTP/1.1 503 Zu viel \xe4'];
    const bytes = lines.map((line) => `${line}\r\nContent-Length: 0\r\n\r\n`).join('');
    const { heads } = parse([Buffer.from(bytes, 'latin1')]);
    expect(heads.map(({ status }) => status)).toEqual([200, 404, 503]);
  });

  it('leave out interim answers, and mark those that end with their connection', () => {
    const result = parse([
      Buffer.from('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nrest'),
    ]);
    expect(
      result.heads.map(({ status, endsWithConnection }) => [status, endsWithConnection]),
    ).toEqual([[200, true]]);
    expect(result.bodies).toEqual(['rest']);
    const empty = parse([Buffer.from('HTTP/1.1 204 No Content\r\n\r\n')]);
    expect(empty.heads[0]?.endsWithConnection).toEqual(false);
  });

  it('never make the parser throw, whatever bytes arrive', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
        parse([Buffer.from('HTTP/1.1 '), Buffer.from(bytes)]);
      }),
      { seed: SEED },
    );
  });
});
