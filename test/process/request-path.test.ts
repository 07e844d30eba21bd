import { expect } from 'earl';
import { describe, it } from 'node:test';

import { send, startFleet, statusOf } from './fleet';
import { withHarness } from './harness';

const MEGABYTE = 1024 * 1024;

describe('the whole path', () => {
  it('serves reads, postings and downloads through every node', () =>
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
        const bundle = await send(`${node.callerUrl}/bookings/bundle/${3 * MEGABYTE}`);
        expect([bundle.status, bundle.body.length, bundle.broken]).toEqual([
          200,
          3 * MEGABYTE,
          false,
        ]);
      }
      const runs = await Promise.all(upstreams.map((upstream) => upstream.runs()));
      const perRequest = runs.flatMap(({ byRequestId }) => Object.values(byRequestId));
      expect(perRequest.every((count) => count === 1)).toEqual(true);
    }));

  it('refuses bad input and goes on', () =>
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
