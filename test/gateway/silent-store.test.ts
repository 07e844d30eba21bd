import { expect } from 'earl';
import { Right } from 'purify-ts';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { headerConventions, parseSettings, StoreClient } from '../../platform';
import { systemClock } from '../../src/adapters/clock';
import { Feeds } from '../../src/gateway/feeds/feeds';
import type { KeyedRecord } from '../../src/model';
import type { Feed } from '../../src/ports';
import { reservePorts } from '../ports';
import { startCuttableLink } from '../../standins/cuttable-link';
import { startStore } from '../../standins/platform';

import { recordingTelemetry, settingsText } from './harness';
import { hostMemory } from './host-memory';
import { serverResources } from './server-resources';

/** Longest delay in milliseconds between a failed read and the next one. */
const RETRY_DELAY_MS = 250;

const settings = parseSettings('test', settingsText(8000, 9000)).unsafeCoerce();

/** Guards against gateways that go on with old lists after their connections have gone silent. */
describe('a store whose connections go silent', () => {
  const closers: (() => unknown)[] = [];
  afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close();
  });

  [0, 0.5, 0.999].forEach((drawn) =>
    it(`is noticed by each read within the stability window: draw ${drawn}`, async () => {
      /** Times in milliseconds after which reads that wait are given up. */
      const timeouts: { readonly feed: string; readonly after: number }[] = [];
      const hangingFeed = (feed: string): Feed<KeyedRecord> => ({
        readSnapshot: () => Promise.resolve(Right({ isSnapshot: true, items: [], position: 0 })),
        readSince: (_, __, deadline) => {
          timeouts.push({ feed, after: deadline - systemClock.now() });
          return new Promise(() => {});
        },
      });
      const telemetry = recordingTelemetry();
      const feeds = new Feeds(
        { settings, clock: systemClock, telemetry, headerConventions, random: () => drawn },
        {
          configFeed: hangingFeed('config'),
          upstreamFeed: hangingFeed('upstreams'),
          resources: serverResources(),
          onPeerRequest: () => false,
          onConfig: () => {},
          maxProofWait: () => undefined,
          onConfigReadStart: () => () => {},
          onUpstreams: () => {},
        },
      );
      closers.push(() => feeds.close());
      feeds.start();
      while (new Set(timeouts.map(({ feed }) => feed)).size < 2) await sleep(10);
      const longest = Math.max(...timeouts.map(({ after }) => after));
      expect(longest + RETRY_DELAY_MS).toBeLessThan(settings.bounds.stabilityWindow);
    }),
  );

  it('is read on new connections after one of them has shown the silence', async () => {
    const store = await startStore();
    closers.push(() => store.close());
    store.put('keyed.servers', 'u0', 'x');
    const link = await startCuttableLink(store.port, await reservePorts(1));
    closers.push(() => link.close());
    const client = new StoreClient(
      { address: '127.0.0.1', port: link.port },
      systemClock,
      hostMemory(),
    );
    closers.push(() => client.close());
    const read = (timeout: number): Promise<boolean> =>
      client
        .readNewest('keyed.servers', systemClock.now() + timeout)
        .then((page) => page.isRight());
    // Two connections stay open between reads.
    expect(await Promise.all([read(2000), read(2000)])).toEqual([true, true]);
    link.silence();
    expect(await read(100)).toEqual(false);
    expect(await read(2000)).toEqual(true);
  });
});
