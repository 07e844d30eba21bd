import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Caller, Load } from './caller';
import { pause, startFleet, statusOf, waitUntil, type Fleet } from './fleet';
import { withHarness, type UpstreamProcess } from './harness';

const CALLER_COUNT = 8;
/** Time over which the requests that arrive at an upstream are counted. */
const OBSERVATION_MS = 1000;
/** Maximum number of arrivals in that time of trial requests only, well below an equal share. */
const MAX_TRIAL_COUNT = 20;

/** Starts a load of GET requests from several callers. */
const startReadLoad = ({ nodes }: Fleet): Load => {
  const urls = nodes.map(({ callerUrl }) => callerUrl);
  const callers = Array.from(
    { length: CALLER_COUNT },
    (_, i) => new Caller('seats', urls, `w${i}`),
  );
  return new Load(callers, (caller) => caller.send('/seats/14'));
};

const startSeatsFleet = (
  harness: Parameters<Parameters<typeof withHarness>[0]>[0],
): Promise<Fleet> =>
  startFleet(harness, {
    nodes: ['takoradi', 'sekondi', 'tarkwa'],
    upstreams: ['s-1', 's-2', 's-3', 's-4', 's-5'].map((id) => ({
      id,
      service: 'seats',
      latencyMs: 15,
    })),
  });

/** Returns the number of requests that arrive at an upstream within `OBSERVATION_MS`. */
const arrivalsDuringObservation = async (upstream: UpstreamProcess): Promise<number> => {
  const before = (await upstream.runs()).arrivals;
  await pause(OBSERVATION_MS);
  return (await upstream.runs()).arrivals - before;
};

/** Waits until a node changes the health state of the upstream, which a low load delays. */
const waitUntilDetected = ({ nodes }: Fleet, { id }: UpstreamProcess): Promise<void> =>
  waitUntil(`a node changes the health state of ${id}`, async () => {
    const lines = nodes.flatMap((node) => node.process.lines);
    return lines.some((line) => line.includes('event=standing') && line.includes(id));
  });

/** Returns the counters of all nodes; of equal names, one node's value. */
const nodeCounters = async ({ nodes }: Fleet): Promise<Readonly<Record<string, number>>> => {
  const statuses = await Promise.all(nodes.map(statusOf));
  return Object.assign({}, ...statuses.map(({ counters }) => counters)) as Record<string, number>;
};

describe('an upstream with a gray failure', () => {
  const faults = [
    { name: 'that answers 20 times slower', control: { slowFactor: 20 } },
    { name: 'that fails one request in three', control: { errorRatio: 0.33 } },
    { name: 'that hangs', control: { hang: true } },
    {
      name: 'that sends answers to other requests while its health endpoint reports ok',
      control: { wrong: true },
    },
  ];

  faults.forEach(({ name, control }) =>
    it(`${name} gets only trial requests, and 99 % of all requests succeed`, () =>
      withHarness(async (harness) => {
        const fleet = await startSeatsFleet(harness);
        const [faulty] = fleet.upstreams;
        if (!faulty) throw new Error('no upstream');
        const load = startReadLoad(fleet);
        await pause(OBSERVATION_MS);
        await faulty.control(control);
        await waitUntilDetected(fleet, faulty);
        await waitUntil(
          'the faulty upstream gets only trial requests',
          async () => (await arrivalsDuringObservation(faulty)) <= MAX_TRIAL_COUNT,
        );
        const { counts, total } = await load.stop();
        // Retries of the requests that it had when the fault began may exhaust the retry budget.
        expect((counts.get('done') ?? 0) >= total * 0.99).toEqual(true);
        expect([...counts.keys()].filter((outcome) => outcome.startsWith('broken'))).toEqual([]);
        const counters = await nodeCounters(fleet);
        const standingChanges = Object.keys(counters).filter((counter) =>
          counter.startsWith('standing{'),
        );
        expect(standingChanges.length > 0).toEqual(true);
      })),
  );
});
