import { expect } from 'earl';
import { createHash } from 'node:crypto';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import {
  answerOf,
  CallerServerScene,
  HOST_MEMORY_BYTES,
  requestText,
  textOf,
  turns,
  until,
} from './caller-server-scene';

const CHUNKED = 'Transfer-Encoding: chunked';
const PIECE = '1\r\nx\r\n';
/** Number of chunks of one byte in a slice of 2 KiB, and those that are cheap in any case. */
const MAX_PIECES_A_TURN = Math.ceil(2048 / PIECE.length) + 256;
/** What one read of 64 KiB holds. */
const PIECES_A_READ = 10_900;

/** Returns a body in chunks of `size` bytes of the text, with its end. */
const chunkedText = (text: string, size: number): string => {
  const chunks = Array.from({ length: Math.ceil(text.length / size) }, (_, i) =>
    text.slice(i * size, (i + 1) * size),
  );
  return `${chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')}0\r\n\r\n`;
};

const digitsOf = (count: number): string =>
  Array.from({ length: count }, (_, i) => String(i % 7)).join('');

const digestOf = (bytes: Buffer | string): string =>
  createHash('sha256').update(bytes).digest('hex');

describe('the input of callers', () => {
  let scene: CallerServerScene;
  /** Pieces of bodies that arrived in each turn of the event loop. */
  let piecesByTurn: number[];
  let isCounting: boolean;
  /** Digests of the bodies that arrived whole, by request. */
  const bodies = new Map<string, string>();

  beforeEach(async () => {
    scene = new CallerServerScene();
    piecesByTurn = [0];
    isCounting = true;
    bodies.clear();
    const count = (): void => {
      piecesByTurn.push(0);
      if (isCounting) setImmediate(count);
    };
    setImmediate(count);
    scene.caller.server.prependListener('request', (req) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => {
        chunks.push(Buffer.from(chunk));
        piecesByTurn[piecesByTurn.length - 1]! += 1;
      });
      req.on('end', () => bodies.set(req.url ?? '', digestOf(Buffer.concat(chunks))));
    });
    await scene.listen();
  });
  afterEach(() => {
    isCounting = false;
    scene.close();
  });

  const pieceCount = (): number => piecesByTurn.reduce((sum, count) => sum + count, 0);

  const writeWithoutEnd = (socket: Socket): void => {
    const write = (): void => {
      if (!socket.destroyed && socket.write(PIECE.repeat(4000))) setImmediate(write);
    };
    socket.on('drain', write);
    socket.on('connect', write);
  };

  const replyTo = (...ids: readonly string[]): void =>
    ids.forEach((id) => {
      scene.replies.set(id, answerOf(id, { kind: 'whole', bytes: Buffer.from(`<${id}>`) }));
    });

  /** Guards against a few callers that hold the event loop with reads of 10,900 chunks each. */
  it('is parsed a slice in a turn for all callers whose bodies come in small pieces', async () => {
    ['a', 'b', 'c', 'd'].forEach((id) => {
      writeWithoutEnd(scene.connect(requestText(id, [CHUNKED])));
    });
    await until(() => pieceCount() > 6 * PIECES_A_READ);
    // The first slice of each body is parsed as it comes, all of them perhaps in one turn.
    expect(Math.max(...piecesByTurn)).toBeLessThan(5 * MAX_PIECES_A_TURN);
    expect(pieceCount()).toBeLessThan((piecesByTurn.length + 4) * MAX_PIECES_A_TURN);
  });

  it('lets a request beside them be read and answered', async () => {
    ['a', 'b'].forEach((id) => writeWithoutEnd(scene.connect(requestText(id, [CHUNKED]))));
    await until(() => pieceCount() > PIECES_A_READ);
    replyTo('x');
    const before = { pieces: pieceCount(), turns: piecesByTurn.length };
    const caller = scene.connect(textOf(['x']));
    await until(() => caller.received.includes('<x>'));
    const turnCount = piecesByTurn.length - before.turns + 1;
    expect(pieceCount() - before.pieces <= turnCount * MAX_PIECES_A_TURN).toEqual(true);
  });

  [1, 3, 50, 700, 40_000].forEach((size) => {
    it(`gives a body in chunks of ${size} bytes whole, and those behind it in order`, async () => {
      replyTo('a', 'b', 'c');
      const body = digitsOf(20_000);
      const texts = [
        requestText('a', [CHUNKED]) + chunkedText(body, size),
        textOf(['b']),
        requestText('c', [CHUNKED]) + chunkedText(body, size),
      ];
      const caller = scene.connect(texts.join(''));
      await until(() => caller.received.includes('<c>'));
      expect(caller.received).toMatchRegex(/<a>[^<]*<b>[^<]*<c>/);
      const digest = digestOf(body);
      expect([bodies.get('/a'), bodies.get('/c')]).toEqual([digest, digest]);
    });
  });

  it('gives a large body of a stated length whole', async () => {
    replyTo('a');
    const body = digitsOf(250_000);
    const caller = scene.connect(requestText('a', [`Content-Length: ${body.length}`]) + body);
    await until(() => caller.received.includes('<a>'));
    expect(bodies.get('/a')).toEqual(digestOf(body));
  });

  it('is parsed to its end for a caller that reads its answers late', async () => {
    const ids = Array.from({ length: 35 }, (_, i) => `q${i}`);
    const bytes = Buffer.alloc(HOST_MEMORY_BYTES / 400, 'x');
    ids.forEach((id) => scene.replies.set(id, answerOf(id, { kind: 'whole', bytes })));
    const padding = `X-Padding: ${'p'.repeat(1000)}`;
    const caller = scene.connect(ids.map((id) => requestText(id, [padding])).join(''));
    caller.pause();
    await until(() => scene.served.length > 0);
    await turns(50);
    caller.resume();
    await until(() => scene.served.length === ids.length);
    await until(() => caller.received.split('HTTP/1.1 200').length - 1 === ids.length);
    expect(scene.served).toEqual(ids);
  });

  it('that breaks the protocol is answered once', async () => {
    const caller = scene.connect(
      requestText('a', [CHUNKED]) + PIECE.repeat(2000) + 'zz\r\n'.repeat(4000),
    );
    await until(() => caller.destroyed || caller.readableEnded);
    expect(caller.received.split('HTTP/1.1 ').length - 1).toEqual(1);
    expect(caller.received).toMatchRegex(/^HTTP\/1.1 400 /);
  });

  it('ends with a caller that leaves while it waits for a turn', async () => {
    const caller = scene.connect(requestText('a', [CHUNKED]));
    writeWithoutEnd(caller);
    await until(() => pieceCount() > PIECES_A_READ);
    caller.destroy();
    await until(() => scene.caller.inFlight === 0);
  });

  it('of a body that is too large is answered, and the connection closes', async () => {
    const caller = scene.connect(requestText('a', [CHUNKED]) + chunkedText(digitsOf(400_000), 40));
    await until(() => caller.readableEnded);
    expect(caller.received).toMatchRegex(/^HTTP\/1.1 413 /);
  });
});
