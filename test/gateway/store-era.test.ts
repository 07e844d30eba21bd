import { expect } from 'earl';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { GatewayHarness, routeOf } from './harness';

/** Time within which a configuration must be in force, and a departure be known. */
const BOUND_MS = 2000;

/**
 * Starts a gateway that has learnt of a configuration and a departure which copies until
 * `copiedUntil` (Unix milliseconds) lack.
 */
const startWithChangesAfterCopy = async (): Promise<{
  readonly harness: GatewayHarness;
  readonly copiedUntil: number;
}> => {
  const harness = await GatewayHarness.start(3, [routeOf('/old/', 'safe')]);
  const [left] = harness.upstreams;
  if (!left) throw new Error('no upstream');
  await sleep(20);
  const copiedUntil = Date.now();
  await sleep(20);
  harness.configure(5, [routeOf('/new/', 'safe')]);
  harness.register(left, { state: 'draining', sequence: 2 });
  await harness.until(() => harness.count('upstream-draining') === 1);
  harness.store.put('keyed.servers', left.id);
  await harness.until(() => harness.count('upstream-left') === 1);
  await harness.until(() => harness.count('config-in-force') === 2);
  return { harness, copiedUntil };
};

describe('a store that comes back from a copy', () => {
  let harness: GatewayHarness;
  let copiedUntil = 0;
  before(async () => {
    ({ harness, copiedUntil } = await startWithChangesAfterCopy());
  });
  after(() => harness.close());

  it('changes nothing in force by what the copy holds', async () => {
    harness.store.restoreCopy(copiedUntil);
    await harness.until(() => harness.count('feed-era-changed') === 2);
    const [left] = harness.upstreams;
    const known = left?.received.length;
    // An upstream that joins gets its first request within a second.
    for (let i = 0; i < 50; i++) {
      expect((await harness.request(`new-${i}`, '/new/x')).status).toEqual(200);
      await sleep(20);
    }
    expect((await harness.request('old', '/old/x')).status).toEqual(404);
    expect(left?.received.length).toEqual(known);
  });

  it('is followed from then on, also below the offsets that were read before', async () => {
    harness.configure(6, [routeOf('/next/', 'safe')]);
    const writtenAt = Date.now();
    await harness.until(() => harness.count('config-in-force') === 3);
    expect(Date.now() - writtenAt <= BOUND_MS).toEqual(true);
    expect((await harness.request('next', '/next/x')).status).toEqual(200);
  });

  it('is followed through two more copies in a row', async () => {
    harness.store.restoreCopy(copiedUntil);
    harness.store.restoreCopy(copiedUntil);
    const [, second, third] = harness.upstreams;
    [second, third].forEach((upstream) => upstream && harness.register(upstream, { sequence: 3 }));
    harness.configure(9, [routeOf('/last/', 'safe')]);
    const writtenAt = Date.now();
    await harness.until(() => harness.count('config-in-force') === 4);
    expect(Date.now() - writtenAt <= BOUND_MS).toEqual(true);
  });
});

describe('a store that comes back from copies while upstreams write nothing', () => {
  let harness: GatewayHarness;
  let copiedUntil = 0;
  before(async () => {
    ({ harness, copiedUntil } = await startWithChangesAfterCopy());
  });
  after(() => harness.close());

  it('is followed through copies in a row although no other feed tells of them', async () => {
    harness.store.restoreCopy(copiedUntil);
    await harness.until(() => harness.count('feed-era-changed') === 2);
    await sleep(1000);
    harness.configure(6, [routeOf('/next/', 'safe')]);
    await harness.until(() => harness.count('config-in-force') === 3);
    harness.store.restoreCopy(copiedUntil);
    harness.store.restoreCopy(copiedUntil);
    harness.configure(9, [routeOf('/last/', 'safe')]);
    const writtenAt = Date.now();
    await harness.until(() => harness.count('config-in-force') === 4);
    expect(Date.now() - writtenAt <= BOUND_MS).toEqual(true);
  });
});
