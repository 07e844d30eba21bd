import { expect } from 'earl';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';

import { ConnectionPool } from '../../src/gateway/sending/connection-pool';
import type { GatewayUpstream } from '../../src/model';

import { block } from './callers-while-blocked';
import { connectionContext, SOME_CALLER } from './harness';

const ID_HEADER = 'x-request-id';
const TIMEOUT_MS = 200;
const clock = { now: () => performance.now(), wall: () => 0 };

describe('the pool of connections to upstreams', () => {
  let server: Server;
  let connections = 0;
  /** Answers the request that waits at the upstream. */
  let answer: () => void = () => {};
  let arrived: Promise<void>;

  before(async () => {
    server = createServer((_req, res) => {
      answer = () => res.end('ok');
    });
    server.on('connection', () => {
      connections += 1;
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  after(() => {
    server.closeAllConnections();
    server.close();
  });

  it('closes a connection in use at its end if its upstream has left meanwhile', async () => {
    const pool = new ConnectionPool('upstream', connectionContext(ID_HEADER, clock), () => {});
    const { port } = server.address() as AddressInfo;
    const upstream: GatewayUpstream = {
      id: 'u',
      service: 's',
      endpoint: { address: '127.0.0.1', port },
      dataCentre: 'a',
      slots: 2,
      state: 'ready',
      born: 1,
      reportSequence: 1,
      warmedUpAt: 0,
    };
    const run = (): Promise<unknown> => {
      arrived = new Promise((resolve) => {
        server.once('request', () => resolve());
      });
      return pool.run(upstream, {
        requestId: undefined,
        method: 'GET',
        bytes: () => Buffer.from('GET / HTTP/1.1\r\nhost: u\r\n\r\n'),
        maySend: () => true,
        deadline: clock.now() + 5000,
        signal: new AbortController().signal,
        idempotent: true,
        ...SOME_CALLER,
      });
    };
    const first = run();
    await arrived;
    pool.forget(upstream);
    answer();
    await first;
    const second = run();
    await arrived;
    answer();
    await second;
    expect(connections).toEqual(2);
    pool.close();
  });

  it('sends nothing on a new connection if the request is held back meanwhile', async () => {
    const pool = new ConnectionPool('upstream', connectionContext(ID_HEADER, clock), () => {});
    const { port } = server.address() as AddressInfo;
    let requests = 0;
    server.on('request', () => {
      requests += 1;
    });
    const result = await pool.run(
      {
        id: 'v',
        service: 's',
        endpoint: { address: '127.0.0.1', port },
        dataCentre: 'a',
        slots: 2,
        state: 'ready',
        born: 1,
        reportSequence: 1,
        warmedUpAt: 0,
      },
      {
        requestId: undefined,
        method: 'POST',
        bytes: () => Buffer.from('POST / HTTP/1.1\r\nhost: u\r\n\r\n'),
        maySend: () => false,
        deadline: clock.now() + 5000,
        signal: new AbortController().signal,
        idempotent: false,
        ...SOME_CALLER,
      },
    );
    expect(result).toEqual({ kind: 'failed', why: 'held-back', sent: false, idleFor: 0 });
    expect(requests).toEqual(0);
    pool.close();
  });

  /** Guards against an answer that counts as missing, as a busy host hasn't read it yet. */
  it('takes an answer that has arrived in time and is read late', async () => {
    const upstream = createServer((_req, res) => {
      res.end('ok');
      block(2 * TIMEOUT_MS);
    });
    await new Promise<void>((resolve) => {
      upstream.listen(0, '127.0.0.1', resolve);
    });
    const { port } = upstream.address() as AddressInfo;
    const pool = new ConnectionPool('upstream', connectionContext(ID_HEADER, clock), () => {});
    const target = { id: 'v', born: 1, endpoint: { address: '127.0.0.1', port } };
    const result = await pool.run(target as GatewayUpstream, {
      requestId: undefined,
      method: 'GET',
      bytes: () => Buffer.from('GET / HTTP/1.1\r\nhost: u\r\n\r\n'),
      maySend: () => true,
      deadline: clock.now() + TIMEOUT_MS,
      signal: new AbortController().signal,
      idempotent: true,
      ...SOME_CALLER,
    });
    pool.close();
    upstream.close();
    upstream.closeAllConnections();
    expect(result.kind).toEqual('answered');
  });
});
