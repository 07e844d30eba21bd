import { expect } from 'earl';
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { ConnectionPool, type ConnectionTarget } from '../../src/gateway/sending/connection-pool';
import type { ExchangeResult } from '../../src/gateway/sending/exchange';

import { connectionContext, GatewayHarness, routeOf, SOME_CALLER } from './harness';

const ID_HEADER = 'X-Redwingmount-Request-Id';
const SIGNED = 'X-Redwingmount-Response-Signature: s';

const headOf = (id: string, ...more: readonly string[]): string =>
  ['HTTP/1.1 200 OK', `${ID_HEADER}: ${id}`, SIGNED, ...more, '\r\n'].join('\r\n');

/** Heads by the framing that they announce. */
const HEADS: Readonly<Record<string, (id: string) => string>> = {
  'a length': (id) => headOf(id, 'Content-Length: 12'),
  'no body': (id) => headOf(id, 'Content-Length: 0'),
  chunks: (id) => headOf(id, 'Transfer-Encoding: chunked'),
  'the end of the connection': (id) => headOf(id),
  'a length, after interim answers': (id) =>
    `HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n${headOf(id, 'Content-Length: 12')}`,
  'the end of the connection, after an interim answer': (id) =>
    `HTTP/1.1 102 Processing\r\n\r\n${headOf(id)}`,
  'a length large enough for a stream': (id) => headOf(id, 'Content-Length: 4000000'),
};

/** How the upstream ends the connection. */
const ENDS: Readonly<Record<string, (socket: Socket, bytes: string) => void>> = {
  closed: (socket, bytes) => socket.end(bytes),
  reset: (socket, bytes) => socket.write(bytes, () => socket.resetAndDestroy()),
};

const REQUEST_ID = /^x-redwingmount-request-id: *(.*)$/im;

/** Guards against a head that is broken off and passed on as an answer that looks complete. */
describe('an answer whose head is broken off', () => {
  const closers: (() => Promise<unknown> | void)[] = [];
  afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close();
  });

  /** Starts an upstream that answers each request with the bytes of `answer`. */
  const startUpstream = async (
    answer: (id: string) => string,
    end: (socket: Socket, bytes: string) => void,
  ): Promise<number> => {
    const server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', (chunk) =>
        end(socket, answer(REQUEST_ID.exec(chunk.toString('latin1'))?.[1] ?? '')),
      );
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closers.push(() => {
      server.close();
    });
    return (server.address() as AddressInfo).port;
  };

  const exchange = (
    pool: ConnectionPool<ConnectionTarget>,
    port: number,
    method: string,
  ): Promise<ExchangeResult> =>
    pool.run(
      { id: 'u', born: 0, endpoint: { address: '127.0.0.1', port } },
      {
        requestId: 'r',
        method,
        bytes: () => Buffer.from(`${method} / HTTP/1.1\r\n${ID_HEADER}: r\r\n\r\n`),
        maySend: () => true,
        deadline: performance.now() + 60_000,
        signal: new AbortController().signal,
        idempotent: true,
        ...SOME_CALLER,
      },
    );

  Object.entries(HEADS).forEach(([framing, head]) =>
    Object.entries(ENDS).forEach(([how, end]) =>
      it(`at any byte is no answer: framed by ${framing}, ${how}`, async () => {
        const whole = head('r');
        let length = 0;
        const port = await startUpstream(() => whole.slice(0, length), end);
        const clock = { now: () => performance.now(), wall: () => Date.now() };
        const pool = new ConnectionPool<ConnectionTarget>(
          'upstream',
          connectionContext(ID_HEADER.toLowerCase(), clock),
          () => {},
        );
        closers.push(() => pool.close());
        for (length = 0; length < whole.length; length++) {
          const method = length % 2 === 0 ? 'GET' : 'HEAD';
          const { kind } = await exchange(pool, port, method);
          expect({ kind, read: whole.slice(0, length) }).toEqual({
            kind: 'failed',
            read: whole.slice(0, length),
          });
        }
      }),
    ),
  );

  it('is no success for the caller, whether its request may be repeated or not', async () => {
    const heads = Object.values(HEADS);
    let cut = 0;
    let answeredCount = 0;
    const port = await startUpstream(
      (id) => {
        answeredCount += 1;
        const head = heads[cut % heads.length]?.(id) ?? '';
        return head.slice(0, Math.floor((head.length * (cut + 1)) / 30));
      },
      (socket, bytes) => socket.end(bytes),
    );
    const harness = await GatewayHarness.start(0, [
      routeOf('/read/', 'safe'),
      routeOf('/w/', 'unsafe'),
    ]);
    closers.push(() => harness.close());
    harness.store.put('keyed.servers', 'i-0', {
      address: `127.0.0.1:${port}`,
      info: { service: 'shop', version: 'v1', zone: 'takoradi', slots: 6 },
      status: { state: 'ready', sequence: 1, warmupLeftMs: 0 },
      born: 1,
    });
    await harness.until(() => harness.count('upstream-joined') === 1);
    for (cut = 0; cut < 28; cut++) {
      const path = cut % 4 < 2 ? '/read/x' : '/w/x';
      const { status } = await harness.request(`cut-${cut}`, path);
      expect(status >= 500).toEqual(true);
    }
    expect(answeredCount).toBeGreaterThanOrEqual(14);
  });
});
