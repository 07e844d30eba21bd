import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Caller, Load } from './caller';
import { pause, Publisher, rulesFor, send, settled, until } from './fleet';
import { withHarness, type Harness, type NodeProcess, type UpstreamProcess } from './harness';

/** What the brief calls a few seconds. */
const FEW_SECONDS_MS = 3000;
const WATCH_MS = 1500;
const DATA_CENTRES = ['takoradi', 'sekondi', 'tarkwa'];

const arrivalsOf = async (upstream: UpstreamProcess): Promise<number> =>
  (await upstream.runs()).arrivals;

const startUpstreams = (harness: Harness): Promise<readonly UpstreamProcess[]> =>
  Promise.all(
    ['b-1', 'b-2', 'b-3'].map((id) => harness.upstream({ id, service: 'bookings', latencyMs: 10 })),
  );

/** The node that dispatches the bookings, by the answer that callers get. */
const ownerAmong = async (nodes: readonly NodeProcess[]): Promise<number> => {
  const reply = await send(`${nodes[0]?.callerUrl}/-/addresses?service=bookings`);
  const { addresses } = JSON.parse(reply.body.toString()) as { addresses: readonly string[] };
  return nodes.findIndex(({ callerUrl }) => callerUrl === `http://${addresses[0]}`);
};

describe('an upstream that leaves the inventory', () => {
  it('gets no new work after a few seconds from an owner that hears no more of the log', () =>
    withHarness(async (harness) => {
      const [log, hosts] = await Promise.all([harness.log(), harness.hosts()]);
      const upstreams = await startUpstreams(harness);
      const proxies = await Promise.all(DATA_CENTRES.map(() => harness.faultProxy(log.port)));
      const nodes = await Promise.all(
        DATA_CENTRES.map((dataCentre, i) =>
          harness.node({ dataCentre, log: proxies[i]?.url ?? '', hosts: hosts.url }),
        ),
      );
      await hosts.control({ hosts: nodes.map((node) => node.hostRow()) });
      const publisher = new Publisher(log);
      const inventory = upstreams.map(({ id, port }, i) => ({
        id,
        service: 'bookings',
        dataCentre: DATA_CENTRES[i] ?? '',
        address: '127.0.0.1',
        port,
        slots: 6,
        connections: 350,
      }));
      await publisher.publish({ kind: 'inventory', upstreams: inventory });
      await publisher.publish({ kind: 'rules', rules: rulesFor(['bookings']) });
      await settled(nodes, 2);

      const callers = nodes.map(({ callerUrl }, i) => new Caller('bookings', [callerUrl], `w${i}`));
      const load = new Load(callers, (caller) => caller.send('/bookings/14'));
      const [leaving] = upstreams;
      if (!leaving) throw new Error('no upstream');
      await until('the leaving upstream has work', async () => (await arrivalsOf(leaving)) > 10);
      await proxies[await ownerAmong(nodes)]?.control({ down: 'drop' });
      await publisher.publish({ kind: 'inventory-delta', put: [], removed: [leaving.id] });
      await pause(FEW_SECONDS_MS);
      const before = await arrivalsOf(leaving);
      await pause(WATCH_MS);
      const after = await arrivalsOf(leaving);
      const { counts } = await load.stop();
      expect(after).toEqual(before);
      expect([...counts.keys()]).toEqual(['done']);
    }));
});
