import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Caller, Load } from './caller';
import { pause, waitUntilSettled, startFleet, waitUntil } from './fleet';
import { withHarness, type NodeProcess } from './harness';

const CALLER_COUNT = 8;

const callersOf = (nodes: readonly NodeProcess[]): readonly Caller[] =>
  Array.from(
    { length: CALLER_COUNT },
    (_, i) =>
      new Caller(
        'bookings',
        nodes.map(({ callerUrl }) => callerUrl),
        `w${i}`,
      ),
  );

describe('a planned stop interrupts no request in flight', () => {
  it('when each node restarts in turn under load', () =>
    withHarness(async (harness) => {
      const fleet = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi', 'tarkwa'],
        upstreams: ['b-1', 'b-2', 'b-3'].map((id) => ({
          id,
          service: 'bookings',
          latencyMs: 100,
        })),
      });
      const { log, hosts } = fleet;
      let { nodes } = fleet;
      const load = new Load(callersOf(nodes), (caller) =>
        caller.send('/bookings', { method: 'POST', body: '{"seat":14}' }),
      );
      for (const node of fleet.nodes) {
        await pause(300);
        expect((await node.process.stop()).code).toEqual(0);
        const { dataCentre, callerPort, peerPort, operatorPort } = node;
        const ports = { callerPort, peerPort, operatorPort };
        const restarted = await harness.startNode({
          dataCentre,
          log: log.url,
          hosts: hosts.url,
          ports,
        });
        nodes = nodes.map((one) => (one === node ? restarted : one));
        await waitUntilSettled(nodes, 2);
      }
      const { counts, total } = await load.stop();
      expect(Object.fromEntries(counts)).toEqual({ done: total });
    }));

  it('when each upstream drains in turn under load', () =>
    withHarness(async (harness) => {
      const { nodes, upstreams } = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi'],
        upstreams: ['b-1', 'b-2', 'b-3', 'b-4'].map((id) => ({
          id,
          service: 'bookings',
          latencyMs: 30,
        })),
      });
      const load = new Load(callersOf(nodes), (caller) =>
        caller.send('/bookings', { method: 'POST', body: '{"seat":14}' }),
      );
      for (const upstream of upstreams) {
        await upstream.control({ draining: true });
        await pause(600);
        await upstream.control({ draining: false });
        const before = (await upstream.runs()).total;
        await waitUntil(`${upstream.id} runs requests again`, async () => {
          const { total } = await upstream.runs();
          return total > before;
        });
      }
      const { counts, total } = await load.stop();
      expect(Object.fromEntries(counts)).toEqual({ done: total });
    }));
});
