import { expect } from 'earl';
import { describe, it } from 'node:test';

import { send, startFleet, statusOf } from './fleet';
import { withHarness } from './harness';

const MEBIBYTE_BYTES = 1024 * 1024;

describe('the request path from caller to upstream', () => {
  it('serves GET, POST and downloads at every node, with one run for each request', () =>
    withHarness(async (harness) => {
      const { nodes, upstreams } = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi', 'tarkwa'],
        upstreams: ['b-1', 'b-2'].map((id) => ({ id, service: 'bookings' })),
      });
      for (const node of nodes) {
        const read = await send(`${node.callerUrl}/bookings/14`);
        expect([read.status, read.outcome]).toEqual([200, 'done']);
        const posting = { method: 'POST', body: '{"seat":14}' };
        const posted = await send(`${node.callerUrl}/bookings`, posting);
        expect([posted.status, posted.outcome]).toEqual([200, 'done']);
        const bundle = await send(`${node.callerUrl}/bookings/bundle/${3 * MEBIBYTE_BYTES}`);
        expect([bundle.status, bundle.body.length, bundle.broken]).toEqual([
          200,
          3 * MEBIBYTE_BYTES,
          false,
        ]);
      }
      const runs = await Promise.all(upstreams.map((upstream) => upstream.runs()));
      const perRequest = runs.flatMap(({ byRequestId }) => Object.values(byRequestId));
      expect(perRequest.every((count) => count === 1)).toEqual(true);
    }));

  it('refuses malformed requests and goes on serving', () =>
    withHarness(async (harness) => {
      const { nodes } = await startFleet(harness, {
        nodes: ['takoradi'],
        upstreams: [{ id: 'b-1', service: 'bookings' }],
      });
      const [node] = nodes;
      if (!node) throw new Error('no node');
      const url = `${node.callerUrl}/bookings/14`;
      const refusals = await Promise.all([
        send(`${node.callerUrl}/nothing`),
        send(url, { headers: { 'redwing-timeout-ms': 'soon' } }),
        send(url, { headers: { 'redwing-timeout-ms': '0' } }),
        send(url, { method: 'POST', headers: { 'idempotency-key': 'h1.?' } }),
        send(url, { headers: { 'x-long': 'x'.repeat(64 * 1024) } }),
      ]);
      expect(refusals.map(({ status, reason }) => `${status} ${reason ?? ''}`)).toEqual([
        '404 unknown-route',
        '400 bad-request',
        '504 deadline-passed',
        '400 bad-request',
        '431 ',
      ]);
      expect((await send(url)).outcome).toEqual('done');
      const { counters } = await statusOf(node);
      expect(counters['refused{not-run,unknown-route}']).toEqual(1);
    }));
});
