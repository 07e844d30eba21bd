import { expect } from 'earl';
import fc from 'fast-check';
import { afterEach, describe, it } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { Right } from 'purify-ts';

import { feedReadersOf, feedSourceOf } from '../../src/core/gateway';
import { systemClock } from '../../src/adapters/clock';
import { listen } from '../../src/adapters/listen';
import { encodeFeedFrame, FeedFrameDecoder } from '../../src/gateway/feeds/feed-frames';
import { FeedRelay } from '../../src/gateway/feeds/feed-relay';
import { Feeds } from '../../src/gateway/feeds/feeds';
import type { KeyedRecord, Member } from '../../src/model';
import type { Feed } from '../../src/ports';
import {
  configFeed,
  headerConventions,
  parseSettings,
  StoreClient,
  upstreamFeed,
} from '../../platform';
import { startStore, type StoreStandIn } from '../../standins/platform';
import { reservePorts } from '../ports';

import { httpGet, recordingTelemetry, settingsText } from './harness';
import { hostMemory } from './host-memory';
import { serverResources } from './server-resources';

const ADDRESSES = ['127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4'];

/** The feeds of one gateway, with the keys that they brought. */
interface Node {
  readonly feeds: Feeds;
  readonly member: Member;
  readonly keys: string[];
  /** Returns the number of reads that it has started at the store. */
  readonly readCount: () => number;
  readonly eventNames: () => readonly string[];
  readonly close: () => void;
}

const until = async (condition: () => boolean): Promise<void> => {
  const deadline = Date.now() + 10_000;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`not met within 10 s: ${condition.toString()}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
};

describe('feeds that a few gateways read for the others', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  const startNode = async (port: number, store: StoreStandIn, address: string): Promise<Node> => {
    const settings = parseSettings('test', settingsText(port, store.port)).unsafeCoerce();
    const telemetry = recordingTelemetry();
    const client = new StoreClient(settings.store, systemClock, hostMemory());
    const keys: string[] = [];
    let reads = 0;
    const counted = (feed: Feed<KeyedRecord>): Feed<KeyedRecord> => ({
      readSnapshot: (...args) => {
        reads += 1;
        return feed.readSnapshot(...args);
      },
      readSince: (...args) => {
        reads += 1;
        return feed.readSince(...args);
      },
    });
    const feeds = new Feeds(
      { settings, clock: systemClock, telemetry, headerConventions, random: () => 0 },
      {
        configFeed: counted(configFeed(client)),
        upstreamFeed: counted(upstreamFeed(client)),
        resources: serverResources(),
        onPeerRequest: () => false,
        onConfig: () => {},
        maxProofWait: () => undefined,
        onConfigReadStart: () => () => {},
        onUpstreams: ({ items }) => keys.push(...items.map(({ key }) => key)),
      },
    );
    await listen(feeds.server, address, port);
    feeds.start();
    let isClosed = false;
    const close = (): void => {
      if (isClosed) return;
      isClosed = true;
      feeds.close();
      client.close();
    };
    closers.push(close);
    const member: Member = {
      incarnation: address,
      dataCentre: 'takoradi',
      address,
      callerPort: 1,
      peerPort: port,
      state: 'alive',
    };
    return {
      feeds,
      member,
      keys,
      readCount: () => reads,
      eventNames: () => telemetry.events.map(({ name }) => name),
      close,
    };
  };

  /** Starts four gateways of one data centre, two of which read for the other two. */
  const startFleet = async (): Promise<{
    store: StoreStandIn;
    readers: readonly Node[];
    others: readonly Node[];
    tell: (nodes: readonly Node[]) => void;
  }> => {
    const store = await startStore();
    closers.push(() => {
      void store.close();
    });
    store.put('keyed.op', 'config', '{}');
    store.put('keyed.servers', 'u0', 'x');
    const port = await reservePorts(5);
    const nodes = await Promise.all(ADDRESSES.map((address) => startNode(port, store, address)));
    await until(() => nodes.every(({ feeds }) => feeds.positions.every((at) => at >= 0)));
    const tell = (told: readonly Node[]): void => {
      const members = told.map(({ member }) => member);
      told.forEach(({ feeds, member }) => feeds.onMembers(member.incarnation, members));
    };
    tell(nodes);
    const members = nodes.map(({ member }) => member);
    const isReader = ({ member }: Node): boolean =>
      feedSourceOf(member.incarnation, 'takoradi', members).kind === 'store';
    const others = nodes.filter((node) => !isReader(node));
    await until(() => others.every((node) => node.eventNames().includes('feed-reader-connected')));
    expect(feedReadersOf(members, 'takoradi').length).toEqual(2);
    return { store, readers: nodes.filter(isReader), others, tell };
  };

  it('reach all gateways, which make no read of their own', async () => {
    const { store, readers, others } = await startFleet();
    // Long reads that were waiting when the readers took over end with this change.
    store.put('keyed.servers', 'u1', 'x');
    await until(() => [...readers, ...others].every(({ keys }) => keys.includes('u1')));
    await new Promise((resolve) => {
      setTimeout(resolve, 1000);
    });
    const before = others.map(({ readCount }) => readCount());
    store.put('keyed.servers', 'u2', 'x');
    await until(() => [...readers, ...others].every(({ keys }) => keys.includes('u2')));
    expect(others.map(({ readCount }) => readCount())).toEqual(before);
    expect(others.every(({ keys }) => keys.filter((key) => key === 'u2').length === 1)).toEqual(
      true,
    );
  });

  it('are read at the store again when all readers are gone', async () => {
    const { store, readers, others } = await startFleet();
    readers.forEach(({ close }) => close());
    await until(() => others.every((node) => node.eventNames().includes('feed-reader-lost')));
    store.put('keyed.servers', 'u3', 'x');
    await until(() => others.every(({ keys }) => keys.includes('u3')));
  });

  it('are read at the store while the readers are out of contact with it', async () => {
    const { store, others } = await startFleet();
    store.mood = 'busy';
    store.put('keyed.servers', 'u4', 'x');
    await until(() => others.every((node) => node.eventNames().includes('feed-lost')));
    store.mood = 'well';
    await until(() => others.every(({ keys }) => keys.includes('u4')));
  });

  it('are read at the store when a peer is ahead of the reader', async () => {
    const { store, others } = await startFleet();
    const [other] = others;
    if (!other) throw new Error('expected a gateway that does not read');
    const [config, upstreams] = other.feeds.positions;
    const before = store.requestCount;
    other.feeds.onPeerPositions([config, upstreams + 1]);
    await until(() => store.requestCount > before);
  });
});

describe('a reader whose reads hang', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  /** Guards against a reader that vouches for its contact while its reads get no answer. */
  it('ends its streams when the last answer of the store is not recent', async () => {
    const port = await reservePorts(5);
    const settings = parseSettings('test', settingsText(port, 1)).unsafeCoerce();
    let passed = 0;
    const clock = { ...systemClock, now: () => systemClock.now() + passed };
    const feed: Feed<KeyedRecord> = {
      readSnapshot: () => Promise.resolve(Right({ isSnapshot: true, items: [], position: 0 })),
      readSince: () => new Promise(() => {}),
    };
    const feeds = new Feeds(
      { settings, clock, telemetry: recordingTelemetry(), headerConventions, random: () => 0 },
      {
        configFeed: feed,
        upstreamFeed: feed,
        resources: serverResources(),
        onPeerRequest: () => false,
        onConfig: () => {},
        maxProofWait: () => undefined,
        onConfigReadStart: () => () => {},
        onUpstreams: () => {},
      },
    );
    closers.push(() => feeds.close());
    await listen(feeds.server, ADDRESSES[0] ?? '', port);
    feeds.start();
    await until(() => feeds.positions.every((at) => at >= 0));
    const res = await fetch(`http://${ADDRESSES[0]}:${port}/feeds/2?config=0&upstreams=0`);
    expect(res.status).toEqual(200);
    let hasEnded = false;
    void res.arrayBuffer().then(() => {
      hasEnded = true;
    });
    passed = settings.bounds.configApplyTime;
    await until(() => hasEnded);
  });
});

describe('the server of the feeds', () => {
  it('answers 404 to what is no subscription', async () => {
    const relay = new FeedRelay(recordingTelemetry(), serverResources(), {
      isInContact: () => true,
      proveContact: () => Promise.resolve(),
      onOtherRequest: () => false,
    });
    const port = await reservePorts(1);
    await listen(relay.server, '127.0.0.1', port);
    for (const target of ['//', '/feeds/2', '/feeds/2?config=x&upstreams=1', '/feeds/1?config=1']) {
      expect((await httpGet(port, target)).status).toEqual(404);
    }
    expect((await httpGet(port, '/feeds/2?config=-1&upstreams=-1')).status).toEqual(503);
    relay.close();
  });
});

describe('frames of feeds', () => {
  it('survive any split of their bytes', () => {
    const page = {
      isSnapshot: false,
      items: [{ key: 'u1', value: Buffer.from('x') }],
      from: 3,
      position: 4,
    };
    const frames = [{ kind: 'beat' } as const, { kind: 'page', feed: 'upstreams', page } as const];
    const bytes = Buffer.concat(frames.map((frame) => encodeFeedFrame(frame)));
    fc.assert(
      fc.property(fc.integer({ min: 0, max: bytes.length }), (at) => {
        const decoder = new FeedFrameDecoder();
        const parts = [bytes.subarray(0, at), bytes.subarray(at)];
        expect(parts.flatMap((part) => decoder.push(part) ?? [])).toEqual(frames);
      }),
      { seed: 1 },
    );
  });

  it('that are malformed are refused and never throw', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 64 }), (body) => {
        const head = Buffer.alloc(4);
        head.writeUInt32BE(body.length);
        const frames = new FeedFrameDecoder().push(Buffer.concat([head, body]));
        expect(frames === undefined || frames.length === 1).toEqual(true);
      }),
      { seed: 1, numRuns: 1000 },
    );
  });

  it('that are compressed are read whole, and never throw if bytes of them have changed', () => {
    const items = Array.from({ length: 200 }, (_, i) => ({
      key: `u${i}`,
      value: Buffer.from(`{"service":"shop","slots":${i}}`),
    }));
    const page = { isSnapshot: true, items, from: 0, position: 200 };
    const frame = { kind: 'page', feed: 'upstreams', page } as const;
    const bytes = encodeFeedFrame(frame, true);
    expect(bytes.length < encodeFeedFrame(frame).length / 3).toEqual(true);
    expect(new FeedFrameDecoder().push(bytes)).toEqual([frame]);
    fc.assert(
      fc.property(
        fc.integer({ min: 4, max: bytes.length - 1 }),
        fc.integer({ min: 1, max: 255 }),
        (at, change) => {
          const spoilt = Buffer.from(bytes);
          spoilt[at] = (spoilt[at] ?? 0) ^ change;
          const frames = new FeedFrameDecoder().push(spoilt);
          expect(frames === undefined || frames.length <= 1).toEqual(true);
        },
      ),
      { seed: 1, numRuns: 500 },
    );
  });

  // Guards against a few bytes that fill the memory of a host.
  it('that inflate beyond the limit of a frame are refused', () => {
    const deflated = deflateRawSync(Buffer.alloc(64 * 2 ** 20));
    const head = Buffer.alloc(4);
    head.writeUInt32BE(2 ** 31 + deflated.length);
    expect(new FeedFrameDecoder().push(Buffer.concat([head, deflated]))).toEqual(undefined);
  });
});
