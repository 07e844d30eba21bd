import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Caller } from './caller';
import { pause, send, startFleet, type CallerReply, type Fleet } from './fleet';
import { withHarness } from './harness';

const CALLER_COUNT = 6;
const BOOKINGS_PER_CALLER_COUNT = 25;

/** One idempotency key and the replies to all requests that carried it. */
interface KeyedPosting {
  readonly key: string;
  readonly replies: readonly CallerReply[];
}

/** Returns the number of runs of each key at all upstreams together. */
const runsByKey = async ({ upstreams }: Fleet): Promise<ReadonlyMap<string, number>> => {
  const counts = await Promise.all(upstreams.map((upstream) => upstream.runs()));
  const runs = new Map<string, number>();
  counts
    .flatMap(({ byKey }) => Object.entries(byKey))
    .forEach(([key, count]) => runs.set(key, (runs.get(key) ?? 0) + count));
  return runs;
};

/** Expects at most one run of each key, and no run of a key that got a reply `not-run`. */
const expectAtMostOneRun = async (
  fleet: Fleet,
  postings: readonly KeyedPosting[],
): Promise<void> => {
  const runs = await runsByKey(fleet);
  const twice = [...runs].filter(([, count]) => count > 1);
  expect(twice).toEqual([]);
  const wronglyNotRun = postings.filter(
    ({ key, replies }) =>
      replies.some(({ outcome }) => outcome === 'not-run') && (runs.get(key) ?? 0) > 0,
  );
  expect(wronglyNotRun).toEqual([]);
};

const startBookingsFleet = (harness: Parameters<Parameters<typeof withHarness>[0]>[0]) =>
  startFleet(harness, {
    nodes: ['takoradi', 'sekondi', 'tarkwa'],
    upstreams: ['b-1', 'b-2', 'b-3'].map((id) => ({ id, service: 'bookings', latencyMs: 40 })),
  });

/** Sends each key to every node at the same time, and once more after the replies. */
const bookAtEveryNode = async (
  { nodes }: Fleet,
  caller: Caller,
  keyOf: (caller: Caller, i: number) => Promise<string>,
): Promise<readonly KeyedPosting[]> => {
  const postings: KeyedPosting[] = [];
  for (let i = 0; i < BOOKINGS_PER_CALLER_COUNT; i++) {
    const key = await keyOf(caller, i);
    const request = {
      method: 'POST',
      body: '{"seat":14}',
      headers: {
        'idempotency-key': key,
        'redwing-timeout-ms': '1500',
        // Keys are scoped to their workspace, so all requests of a key name the same one.
        'redwing-workspace': caller.workspace,
      },
    };
    const first = await Promise.all(
      nodes.map((node) => send(`${node.callerUrl}/bookings`, request)),
    );
    const later = await caller.send('/bookings', request);
    postings.push({ key, replies: [...first, later] });
  }
  return postings;
};

/** Returns callers of the service `bookings`, each in a workspace of its own. */
const callersOf = ({ nodes }: Fleet): readonly Caller[] =>
  Array.from(
    { length: CALLER_COUNT },
    (_, i) =>
      new Caller(
        'bookings',
        nodes.map(({ callerUrl }) => callerUrl),
        `w${i}`,
      ),
  );

const newHomedKey = (caller: Caller): Promise<string> => caller.newKey();

describe('a non-idempotent request runs at most once', () => {
  it('under homed keys, when one node is paused and another one killed', () =>
    withHarness(async (harness) => {
      const fleet = await startBookingsFleet(harness);
      const callers = callersOf(fleet);
      const booked = Promise.all(
        callers.map((caller) => bookAtEveryNode(fleet, caller, newHomedKey)),
      );
      await pause(400);
      const [frozen, , killed] = fleet.nodes;
      frozen?.process.freeze();
      await pause(2500);
      frozen?.process.thaw();
      await pause(300);
      await killed?.process.kill();
      const postings = (await booked).flat();
      callers.forEach((caller) => caller.close());
      await expectAtMostOneRun(fleet, postings);
    }));

  it('under keys that callers choose, when the log takes appends without answering', () =>
    withHarness(async (harness) => {
      const fleet = await startBookingsFleet(harness);
      await fleet.log.control({ loseAnswers: 0.3 });
      const callers = callersOf(fleet).slice(0, 2);
      const postings = await Promise.all(
        callers.map((caller, c) =>
          bookAtEveryNode(fleet, caller, (_caller, i) => Promise.resolve(`own-${c}-${i}`)),
        ),
      );
      callers.forEach((caller) => caller.close());
      await expectAtMostOneRun(fleet, postings.flat());
    }));

  it('under keys that callers choose, all of which three nodes answer', () =>
    withHarness(async (harness) => {
      const fleet = await startBookingsFleet(harness);
      const [caller] = callersOf(fleet);
      if (!caller) throw new Error('no caller');
      const postings = await bookAtEveryNode(fleet, caller, (_caller, i) =>
        Promise.resolve(`own-${i}`),
      );
      caller.close();
      await expectAtMostOneRun(fleet, postings);
      const done = postings.filter(({ replies }) => replies.some((one) => one.outcome === 'done'));
      expect(done.length).toEqual(BOOKINGS_PER_CALLER_COUNT);
    }));

  it('under homed keys, during an outage of the log', () =>
    withHarness(async (harness) => {
      const fleet = await startBookingsFleet(harness);
      await fleet.log.control({ outage: true });
      const [caller] = callersOf(fleet);
      if (!caller) throw new Error('no caller');
      const postings = await bookAtEveryNode(fleet, caller, newHomedKey);
      caller.close();
      await expectAtMostOneRun(fleet, postings);
      const done = postings.filter(({ replies }) => replies.some((one) => one.outcome === 'done'));
      expect(done.length).toEqual(BOOKINGS_PER_CALLER_COUNT);
    }));
});
