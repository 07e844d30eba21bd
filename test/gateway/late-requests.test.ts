import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { GatewayHarness, routeOf } from './harness';

const REQUEST_INTERVAL_MS = 40;
const WORK_MS = 800;

/** What became of a request; `cut` if its connection ended without an answer. */
interface Seen {
  readonly id: string;
  readonly end: number | 'cut' | 'not-connected';
}

/**
 * Guards against requests that come late in the stop grace period, are passed on and then cut off.
 * Callers go on to send requests until the gateway is gone.
 */
describe('a planned stop under requests that keep coming', () => {
  let harness: GatewayHarness;
  beforeEach(async () => {
    harness = await GatewayHarness.start(6, [routeOf('/read/', 'safe'), routeOf('/w/', 'unsafe')]);
    harness.upstreams.forEach((upstream) => Object.assign(upstream, { work: WORK_MS }));
  });
  afterEach(() => harness.close());

  const send = async (id: string, path: string): Promise<Seen> => {
    try {
      const { status, isTruncated } = await harness.request(id, path);
      return { id, end: isTruncated ? 'cut' : status };
    } catch (err) {
      const isRefused = (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      return { id, end: isRefused ? 'not-connected' : 'cut' };
    }
  };

  it('answers each request that it has read, and runs none that it refuses', async () => {
    // A gateway without recent requests ends at once.
    await send('before', '/read/x');
    const sent: Promise<Seen>[] = [];
    let isStopped = false;
    const stopped = harness.gateway.stop().then(() => {
      isStopped = true;
    });
    for (let i = 0; !isStopped; i++) {
      sent.push(send(`r-${i}`, i % 2 === 0 ? '/read/x' : '/w/x'));
      await new Promise((resolve) => {
        setTimeout(resolve, REQUEST_INTERVAL_MS);
      });
    }
    await stopped;
    const seen = await Promise.all(sent);
    expect(seen.filter(({ id, end }) => end === 'cut' && harness.runsOf(id) > 0)).toEqual([]);
    expect(seen.filter(({ id, end }) => end === 503 && harness.runsOf(id) > 0)).toEqual([]);
    expect(seen.some(({ end }) => end === 200)).toEqual(true);
    const refused = seen.filter(({ end }) => end === 503).map(({ id }) => id);
    expect(refused.length).toBeGreaterThan(0);
    const logged = harness.telemetry.events.filter(({ fields }) => fields.why === 'stopping');
    expect(logged.map(({ fields }) => fields.request).toSorted()).toEqual(refused.toSorted());
  });
});
