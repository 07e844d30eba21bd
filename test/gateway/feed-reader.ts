/** Starts a gateway's relay of the feeds, which others read from. */
import type { AddressInfo } from 'node:net';

import { listen } from '../../src/adapters/listen';
import { FeedRelay } from '../../src/gateway/feeds/feed-relay';
import type { Member } from '../../src/model';

import { recordingTelemetry } from './harness';
import { hostMemory } from './host-memory';
import { serverResources } from './server-resources';

const ADDRESS = '127.0.0.1';

/** A reader of the feeds that has read one empty page of each; `closers` gets what ends it. */
export const startReader = async (
  closers: (() => void)[],
  memory = hostMemory(),
): Promise<{ readonly relay: FeedRelay; readonly port: number; readonly reader: Member }> => {
  const relay = new FeedRelay(recordingTelemetry(), serverResources(memory), {
    isInContact: () => true,
    proveContact: () => Promise.resolve(),
    onOtherRequest: () => false,
  });
  const page = { isSnapshot: true, items: [], position: 0, from: 0 };
  relay.publish('config', page);
  relay.publish('upstreams', page);
  await listen(relay.server, ADDRESS, 0);
  closers.push(() => relay.close());
  const { port } = relay.server.address() as AddressInfo;
  const reader: Member = {
    incarnation: `r${port}`,
    dataCentre: 'takoradi',
    address: ADDRESS,
    callerPort: 1,
    peerPort: port,
    state: 'alive',
  };
  return { relay, port, reader };
};
