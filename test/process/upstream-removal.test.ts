import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Caller, Load } from './caller';
import { pause, Publisher, rulesFor, send, waitUntilSettled, waitUntil } from './fleet';
import { withHarness, type Harness, type NodeProcess, type UpstreamProcess } from './harness';

/** Time after which a removed upstream must get no new requests. */
const MAX_PROPAGATION_MS = 3000;
const OBSERVATION_MS = 1500;
const DATA_CENTRES = ['takoradi', 'sekondi', 'tarkwa'];

/** Returns the number of requests that arrived at an upstream. */
const arrivalCount = async (upstream: UpstreamProcess): Promise<number> =>
  (await upstream.runs()).arrivals;

const startUpstreams = (harness: Harness): Promise<readonly UpstreamProcess[]> =>
  Promise.all(
    ['b-1', 'b-2', 'b-3'].map((id) =>
      harness.startUpstream({ id, service: 'bookings', latencyMs: 10 }),
    ),
  );

/** Returns the index of the owner of the service, the first of the addresses that callers get. */
const ownerIndex = async (nodes: readonly NodeProcess[]): Promise<number> => {
  const reply = await send(`${nodes[0]?.callerUrl}/-/addresses?service=bookings`);
  const { addresses } = JSON.parse(reply.body.toString()) as { addresses: readonly string[] };
  return nodes.findIndex(({ callerUrl }) => callerUrl === `http://${addresses[0]}`);
};

describe('an upstream that is removed from the inventory', () => {
  it('gets no new requests after 3 s from an owner whose answers from the log are lost', () =>
    withHarness(async (harness) => {
      const [log, hosts] = await Promise.all([harness.startLog(), harness.startHostList()]);
      const upstreams = await startUpstreams(harness);
      const proxies = await Promise.all(DATA_CENTRES.map(() => harness.startFaultProxy(log.port)));
      const nodes = await Promise.all(
        DATA_CENTRES.map((dataCentre, i) =>
          harness.startNode({ dataCentre, log: proxies[i]?.url ?? '', hosts: hosts.url }),
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
      await waitUntilSettled(nodes, 2);

      const callers = nodes.map(({ callerUrl }, i) => new Caller('bookings', [callerUrl], `w${i}`));
      const load = new Load(callers, (caller) => caller.send('/bookings/14'));
      const [leaving] = upstreams;
      if (!leaving) throw new Error('no upstream');
      await waitUntil(
        'the leaving upstream gets requests',
        async () => (await arrivalCount(leaving)) > 10,
      );
      await proxies[await ownerIndex(nodes)]?.control({ down: 'drop' });
      await publisher.publish({ kind: 'inventory-delta', put: [], removed: [leaving.id] });
      await pause(MAX_PROPAGATION_MS);
      const before = await arrivalCount(leaving);
      await pause(OBSERVATION_MS);
      const after = await arrivalCount(leaving);
      const { counts } = await load.stop();
      expect(after).toEqual(before);
      expect([...counts.keys()]).toEqual(['done']);
    }));
});
