import { expect } from 'earl';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Readable } from 'node:stream';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { ConnectionPool } from '../../src/gateway/sending/connection-pool';
import type { ExchangeResult } from '../../src/gateway/sending/exchange';
import { connectionContext, SOME_CALLER } from './harness';

const STREAMED_BYTES = 3 * 2 ** 20;
const ROUNDS = 10;
const clock = { now: () => performance.now(), wall: () => 0 };

const sizeOf = async (stream: Readable): Promise<number> => {
  let size = 0;
  for await (const chunk of stream as AsyncIterable<Buffer>) size += chunk.length;
  return size;
};

/** Guards against a connection on which no answer arrives behind a large one. */
describe('a connection that has carried a streamed answer', () => {
  let server: Server;
  let connections = 0;
  let pool: ConnectionPool<{
    readonly id: string;
    readonly born: number;
    readonly endpoint: { readonly address: string; readonly port: number };
  }>;
  beforeEach(async () => {
    connections = 0;
    server = createServer((req, res) =>
      res.end(req.url === '/large' ? Buffer.alloc(STREAMED_BYTES, 'x') : 'ok'),
    );
    server.on('connection', () => {
      connections += 1;
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    pool = new ConnectionPool('upstream', connectionContext('x-request-id', clock), () => {});
  });
  afterEach(() => {
    pool.close();
    server.close();
    server.closeAllConnections();
  });

  const run = (path: string): Promise<ExchangeResult> =>
    pool.run(
      {
        id: 'u',
        born: 1,
        endpoint: { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
      },
      {
        requestId: undefined,
        method: 'GET',
        bytes: () => Buffer.from(`GET ${path} HTTP/1.1\r\nhost: u\r\n\r\n`),
        maySend: () => true,
        deadline: clock.now() + 1000,
        signal: new AbortController().signal,
        idempotent: true,
        ...SOME_CALLER,
      },
    );

  it('carries the answers to the requests after it', async () => {
    const seen: unknown[] = [];
    for (let i = 0; i < ROUNDS; i++) {
      const large = await run('/large');
      if (large.kind === 'answered' && large.body.kind === 'stream')
        seen.push(await sizeOf(large.body.stream));
      const small = await run('/small');
      seen.push(small.kind === 'answered' ? small.kind : small.why);
    }
    expect(seen).toEqual(Array.from({ length: ROUNDS }, () => [STREAMED_BYTES, 'answered']).flat());
    expect(connections).toEqual(1);
  });
});
