import { expect } from 'earl';
import fc from 'fast-check';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { writeReply } from '../../src/gateway/arriving/replies';
import { AnswerParser, type AnswerHead } from '../../src/gateway/sending/answer-parser';

import { answerOf, CallerServerScene, textOf, until } from './caller-server-scene';

const BODY = Buffer.from('body');
const HTTP_VERSIONS = [
  [1, 0],
  [1, 1],
] as const;

/** Returns the heads that the parser takes from the bytes of one answer. */
const headsIn = (bytes: Buffer): readonly AnswerHead[] => {
  const heads: AnswerHead[] = [];
  const parser = new AnswerParser({
    onInterim: () => {},
    onHead: (head) => heads.push(head),
    onBody: () => {},
    onEnd: () => {},
  });
  parser.parse(bytes);
  return heads;
};

/** Writes an answer with a head to a caller who speaks the HTTP version; throws if it can't be. */
const writeTo = ([major, minor]: readonly [number, number], head: AnswerHead): void => {
  const req = Object.assign(new IncomingMessage(new Socket()), {
    method: 'GET',
    httpVersionMajor: major,
    httpVersionMinor: minor,
  });
  const body = { kind: 'whole', bytes: BODY } as const;
  writeReply(
    new ServerResponse(req),
    { kind: 'answer', head, body, upstream: undefined },
    minor === 0,
  );
};

const anyText = fc
  .uint8Array({ maxLength: 6 })
  .map((bytes) => Buffer.from(bytes).toString('latin1'));
const headerName = fc.oneof(
  fc.constantFrom('X-A', 'Connection', 'Content-Length', 'Trailer', 'Date'),
  anyText,
);
const headerValue = fc.oneof(fc.constantFrom('a', '4', 'close', 'x-a', 'chunked'), anyText);

describe('an answer whose head is spoilt', () => {
  /** Guards against heads that are taken and can't be written again. */
  it('is taken only if it can be written to a caller', () => {
    let takenCount = 0;
    fc.assert(
      fc.property(
        fc.oneof(
          fc.integer({ min: 0, max: 9999 }),
          fc.integer({ min: 200, max: 599 }),
          fc.constantFrom(0, 99, 200, 599, 600),
        ),
        fc.array(fc.tuple(headerName, headerValue), { maxLength: 4 }),
        (status, headers) => {
          const lines = headers.map(([name, value]) => `${name}: ${value}`);
          const text = [`HTTP/1.1 ${status} X`, ...lines, '', ''].join('\r\n');
          headsIn(Buffer.from(text, 'latin1')).forEach((head) => {
            takenCount += 1;
            expect([head.status, status >= 200 && status <= 599]).toEqual([status, true]);
            HTTP_VERSIONS.forEach((version) => writeTo(version, head));
          });
        },
      ),
      { numRuns: 3000, seed: 51 },
    );
    expect(takenCount).toBeGreaterThan(300);
  });

  it('is malformed with one wrong byte in a name or a value', () => {
    const taken = (text: string): number => headsIn(Buffer.from(text, 'latin1')).length;
    expect(taken('HTTP/1.1 200 OK\r\nX-A: sig.1\r\n\r\n')).toEqual(1);
    expect(taken('HTTP/1.1 200 OK\r\nX-A: \x01ig.1\r\n\r\n')).toEqual(0);
    expect(taken('HTTP/1.1 200 OK\r\nX\x01A: sig.1\r\n\r\n')).toEqual(0);
    expect(taken('HTTP/1.1 999 OK\r\nX-A: sig.1\r\n\r\n')).toEqual(0);
  });
});

describe('a reply that can not be written', () => {
  let scene: CallerServerScene;
  beforeEach(async () => {
    scene = new CallerServerScene();
    await scene.listen();
  });
  afterEach(() => scene.close());

  /** Guards against an exception in a reply that waited for an earlier one. */
  it('fails its request alone, pipelined behind another one', async () => {
    const answer = answerOf('q1', { kind: 'whole', bytes: BODY });
    if (answer.kind !== 'answer') throw new Error('expected an answer');
    const head = { ...answer.head, rawHeaders: ['x-a', '\x01'] };
    scene.replies.set('q1', { ...answer, head });
    const caller = scene.connect(textOf(['q0', 'q1', 'q2']));
    await until(() => scene.served.length === 3);
    scene.answer('q0');
    scene.answer('q2');
    await until(() => caller.received.includes('<q2>'));
    expect(caller.received.split('HTTP/1.1 ').map((part) => part.slice(0, 3))).toEqual([
      '',
      '200',
      '502',
      '200',
    ]);
  });
});
