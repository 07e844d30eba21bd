import { expect } from 'earl';
import http from 'node:http';
import { after, afterEach, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { ConnectionPool } from '../../src/gateway/sending/connection-pool';
import type { ExchangeResult } from '../../src/gateway/sending/exchange';
import { startEndlessUpstream, type EndlessUpstream } from '../../standins/platform';

import { connectionContext, GatewayHarness, routeOf, SOME_CALLER } from './harness';

const ID_HEADER = 'x-redwingmount-request-id';
const DEADLINE_MS = 1500;
/** Most bytes of an answer's head, of an interim answer or of framing that are read. */
const MAX_FRAMING_BYTES = 512 * 1024;
/** Most bytes of answers to other requests that are read and dropped. */
const MAX_SKIPPED_BYTES = 4 * 2 ** 20;
/** Most bytes of a body that are read while nobody takes them on; sockets hold some of it. */
const MAX_UNREAD_BODY_BYTES = 16 * 2 ** 20;
const ROUTE_TIMEOUT_MS = 2000;
const HEAD = `HTTP/1.1 200 OK\r\nX-Redwingmount-Request-Id: r\r\nX-Redwingmount-Response-Signature: s\r\n`;

/** What comes before the bytes without end, and what is repeated. */
const ENDLESS_FRAMING: Readonly<Record<string, readonly [start: string, repeated: string]>> = {
  'a status line': ['', 'x'],
  'one header': ['HTTP/1.1 200 OK\r\nA: ', 'x'],
  headers: ['HTTP/1.1 200 OK\r\n', 'A: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n'],
  'interim answers': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
  'a chunk extension': [`${HEAD}Transfer-Encoding: chunked\r\n\r\n5;a=`, 'x'],
  'chunk extensions': [
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    `1;${'a'.repeat(900)}\r\nx\r\n`,
  ],
  trailers: [
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    'A: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n',
  ],
  'one trailer': [`${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\nA: `, 'x'],
  'answers to other requests': [
    '',
    'HTTP/1.1 200 OK\r\nX-Redwingmount-Request-Id: q\r\nContent-Length: 1\r\n\r\nx',
  ],
  'one answer to some other request': [
    'HTTP/1.1 200 OK\r\nX-Redwingmount-Request-Id: q\r\n\r\n',
    'x',
  ],
};

describe('bytes without end from an upstream', () => {
  let upstream: EndlessUpstream;
  afterEach(() => upstream.close());

  const exchange = async (): Promise<{ result: ExchangeResult; pool: ConnectionPool }> => {
    const clock = { now: () => performance.now(), wall: () => Date.now() };
    const pool = new ConnectionPool('upstream', connectionContext(ID_HEADER, clock), () => {});
    const result = await pool.run(
      {
        id: 'u',
        service: 's',
        endpoint: { address: '127.0.0.1', port: upstream.port },
        dataCentre: 'd',
        slots: 1,
        state: 'ready',
        born: 0,
        reportSequence: 0,
        warmedUpAt: 0,
      },
      {
        requestId: 'r',
        method: 'GET',
        bytes: () => Buffer.from('GET / HTTP/1.1\r\n\r\n'),
        maySend: () => true,
        deadline: clock.now() + DEADLINE_MS,
        signal: new AbortController().signal,
        idempotent: true,
        ...SOME_CALLER,
      },
    );
    return { result, pool };
  };

  Object.entries(ENDLESS_FRAMING).forEach(([what, [start, repeated]]) =>
    it(`end an exchange after a bounded number: ${what}`, async () => {
      upstream = await startEndlessUpstream(start, repeated);
      const { result, pool } = await exchange();
      expect(result.kind).toEqual('failed');
      for (let i = 0; i < 100 && upstream.openCount > 0; i++) await sleep(10);
      expect(upstream.openCount).toEqual(0);
      const { takenBytes } = upstream;
      const most = what.includes('other request') ? MAX_SKIPPED_BYTES : MAX_FRAMING_BYTES;
      expect({ takenBytes, keeps: takenBytes <= most }).toEqual({
        takenBytes,
        keeps: true,
      });
      pool.close();
    }),
  );

  it('are no part of the answer to the next request on the connection', async () => {
    upstream = await startEndlessUpstream(`${HEAD}Content-Length: 2\r\n\r\nok`, 'x');
    const { result, pool } = await exchange();
    expect(result.kind === 'answered' && result.body.kind === 'whole').toEqual(true);
    for (let i = 0; i < 100 && upstream.openCount > 0; i++) await sleep(10);
    expect(upstream.openCount).toEqual(0);
    pool.close();
  });
});

describe('a body without end through a gateway', () => {
  let harness: GatewayHarness;
  let upstream: EndlessUpstream;
  before(async () => {
    upstream = await startEndlessUpstream(
      (id) => `${HEAD.replace(': r\r', `: ${id}\r`)}Transfer-Encoding: chunked\r\n\r\n`,
      `400\r\n${'x'.repeat(1024)}\r\n`,
    );
    harness = await GatewayHarness.start(0, [
      routeOf('/read/', 'safe', { timeoutMs: ROUTE_TIMEOUT_MS }),
    ]);
    harness.store.put('keyed.servers', 'i-0', {
      address: `127.0.0.1:${upstream.port}`,
      info: { service: 'shop', version: 'v1', zone: 'takoradi', slots: 6 },
      status: { state: 'ready', sequence: 1, warmupLeftMs: 0 },
      born: 1,
    });
    await harness.until(() => harness.count('upstream-joined') === 1);
  });
  after(async () => {
    await harness.close();
    await upstream.close();
  });

  it('looks broken to its caller, and ends by the time-out of the route', async () => {
    const startedAt = Date.now();
    const seen = await harness.request('endless', '/read/x', { deadlineMs: 10_000 });
    expect(seen.isTruncated).toEqual(true);
    expect(Date.now() - startedAt < 2 * ROUTE_TIMEOUT_MS).toEqual(true);
    await harness.until(() => upstream.openCount === 0);
  });

  it('is read no further than its caller reads', async () => {
    const takenBefore = upstream.takenBytes;
    const req = http.request({
      host: '127.0.0.1',
      port: harness.ports.callers,
      path: '/read/slow',
      headers: { host: 'shop.example', [ID_HEADER]: 'slow', 'x-redwingmount-deadline-ms': '10000' },
    });
    const res = await new Promise<http.IncomingMessage>((resolve, reject) => {
      req.on('response', resolve).on('error', reject).end();
    });
    res.on('error', () => {});
    res.socket.pause();
    await sleep(ROUTE_TIMEOUT_MS / 2);
    const takenBytes = upstream.takenBytes - takenBefore;
    expect({ takenBytes, keeps: takenBytes <= MAX_UNREAD_BODY_BYTES }).toEqual({
      takenBytes,
      keeps: true,
    });
    await harness.until(() => upstream.openCount === 0);
    req.destroy();
  });

  it('ends when its caller leaves', async () => {
    const controller = new AbortController();
    const sent = harness
      .request('left', '/read/x', { deadlineMs: 10_000, signal: controller.signal })
      .catch(() => undefined);
    await harness.until(() => upstream.openCount === 1);
    controller.abort();
    await sent;
    await harness.until(() => upstream.openCount === 0);
  });
});
