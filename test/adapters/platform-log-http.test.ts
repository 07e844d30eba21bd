import { expect } from 'earl';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { HttpHostList, HttpPlatformLog } from '../../src/adapters';

const clock = { now: () => performance.now(), wall: () => 0 };
const soonDeadline = (): number => performance.now() + 300;

describe('HttpPlatformLog and HttpHostList', () => {
  let server: Server | undefined;
  let closers: (() => void)[] = [];

  const serve = async (listener: RequestListener): Promise<string> => {
    server = createServer(listener);
    await new Promise<void>((resolve) => {
      server?.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  };

  const logAt = (url: string): HttpPlatformLog => {
    const log = new HttpPlatformLog({ url, timeout: 300, clock });
    closers.push(() => log.close());
    return log;
  };

  const hostsAt = (url: string): HttpHostList => {
    const hosts = new HttpHostList({ url, clock });
    closers.push(() => hosts.close());
    return hosts;
  };

  const answering =
    (status: number, body: string): RequestListener =>
    (req, res) => {
      req.resume().on('end', () => res.writeHead(status).end(body));
    };

  afterEach(() => {
    closers.forEach((close) => close());
    closers = [];
    server?.closeAllConnections();
    server?.close();
  });

  it('returns the offset of an append and the batch of a read', async () => {
    const body = { offset: 4, records: [{ offset: 3, value: 'x' }], first: 2, next: 4 };
    const log = logAt(await serve(answering(200, JSON.stringify(body))));
    expect((await log.append('config', 'x', soonDeadline())).extract()).toEqual(4);
    const batch = (await log.read('config', 3, soonDeadline())).unsafeCoerce();
    expect(batch).toEqual({ records: [{ offset: 3, value: 'x' }], first: 2, next: 4 });
  });

  it('distinguishes an append that was not sent from one whose answer was lost', async () => {
    const url = await serve((req) => {
      req.resume().on('end', () => req.socket.destroy());
    });
    expect((await logAt(url).append('config', 'x', soonDeadline())).extract()).toEqual({
      kind: 'log-unsure',
    });
    server?.close();
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect((await logAt(url).append('config', 'x', soonDeadline())).extract()).toEqual({
      kind: 'log-unavailable',
    });
  });

  it('reports an append as log-unsure after a time-out or a server error', async () => {
    const silent = logAt(await serve((req) => req.resume()));
    const unsure = { kind: 'log-unsure' } as const;
    expect((await silent.append('config', 'x', soonDeadline())).extract()).toEqual(unsure);
    server?.closeAllConnections();
    server?.close();
    const failing = logAt(await serve(answering(503, '')));
    expect((await failing.append('config', 'x', soonDeadline())).extract()).toEqual(unsure);
  });

  it('appends while long reads of many streams are waiting', async () => {
    const url = await serve((req, res) => {
      req.resume().on('end', () => {
        if (req.method === 'POST') res.writeHead(200).end('{"offset":4}');
      });
    });
    const log = logAt(url);
    const reads = Array.from({ length: 64 }, (_, i) => log.read(`claims-${i}`, 0, soonDeadline()));
    expect((await log.append('claims-0', 'x', soonDeadline())).extract()).toEqual(4);
    await Promise.all(reads);
  });

  const badReads: readonly (readonly [number, string, string])[] = [
    [410, '{"first":7}', 'log-trimmed'],
    [410, '{}', 'log-unavailable'],
    [503, '', 'log-unavailable'],
    [200, '{"records":[{}],"first":0,"next":1}', 'log-malformed'],
    [200, '{"records":', 'log-malformed'],
    [200, '[]', 'log-malformed'],
  ];
  badReads.forEach(([status, body, kind]) =>
    it(`reports status ${status} with body ${body} as ${kind}`, async () => {
      const result = await logAt(await serve(answering(status, body))).read(
        'config',
        0,
        soonDeadline(),
      );
      expect(result.caseOf({ Left: (err) => err.kind, Right: () => 'accepted' })).toEqual(kind);
    }),
  );

  it('returns the host list, and refuses one with a malformed entry', async () => {
    const host = {
      address: '127.0.0.1',
      callerPort: 1,
      peerPort: 2,
      dataCentre: 'a',
      leaving: false,
    };
    const good = hostsAt(await serve(answering(200, JSON.stringify([host]))));
    expect((await good.read(soonDeadline())).extract()).toEqual([host]);
    server?.close();
    const entry = JSON.stringify([{ ...host, peerPort: 0 }]);
    const bad = hostsAt(await serve(answering(200, entry)));
    expect((await bad.read(soonDeadline())).extract()).toEqual({ kind: 'host-list-malformed' });
  });
});
