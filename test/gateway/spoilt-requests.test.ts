import { expect } from 'earl';
import http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { configFeed, decodeConfigRecord, StoreClient } from '../../platform';
import { startStore, type StoreStandIn } from '../../standins/platform';
import { systemClock } from '../../src/adapters';
import { brokenCallbacks } from '../../src/adapters/guarded';
import { HostRoutes } from '../../src/core/gateway';
import { FEED_STREAM_PATH } from '../../src/gateway/feeds/feed-relay';
import { RELAY_HEADERS } from '../../src/gateway/request/relay-headers';

import { configOf, entryOf, GatewayHarness, httpGet, routeOf } from './harness';
import { hostMemory } from './host-memory';
import { spoil } from './spoil';

const SEED = 5503;
/** Number of spoilt requests to each port, and of those that are sent at the same time. */
const REQUEST_COUNT = 600;
const PARALLEL_COUNT = 100;
/** Time in milliseconds after which a connection is closed, answered or not. */
const STAY_MS = 150;
/** Number of spoilt entries of a kind, and of spoilt pages. */
const ENTRY_COUNT = 2000;
const PAGE_COUNT = 1000;

const requestText = (line: string, headers: readonly string[] = [], body = ''): Buffer =>
  Buffer.from([`${line} HTTP/1.1`, 'Host: shop.example', ...headers, '', body].join('\r\n'));

const ID = 'X-Redwingmount-Request-Id: spoilt';
const DEADLINE = 'X-Redwingmount-Deadline-Ms: 1000';
const CHUNKED = ['Transfer-Encoding: chunked', ID];

/** Sound requests by the port that they are for, counted from that for callers. */
const SOUND_REQUESTS: readonly (readonly Buffer[])[] = [
  [
    requestText('GET /read/x?a=%20', [ID, DEADLINE]),
    requestText(
      'POST /write/x',
      [ID, DEADLINE, 'Content-Length: 4', 'Expect: 100-continue'],
      'body',
    ),
    requestText('POST /write/x', CHUNKED, '4\r\nbody\r\n0\r\nTrailer: x\r\n\r\n'),
    requestText('GET http://shop.example/read/x', [ID, 'Connection: Upgrade', 'Upgrade: h2c']),
    requestText('HEAD /read/x', [ID, 'Range: bytes=0-1', 'Te: trailers']),
  ],
  [requestText('GET /redwingmount/ready'), requestText('GET /')],
  [requestText('GET /redwingmount/resolve?name=shop.example&zone=takoradi&region=gh')],
  [
    requestText(`GET ${FEED_STREAM_PATH}?config=1.1&upstreams=1.1&deflate=1`),
    requestText('GET /read/x', [ID, DEADLINE, `${RELAY_HEADERS.routed}: 2 1`]),
    requestText('POST /write/x', [ID, `${RELAY_HEADERS.maxRuns}: 1`, 'Content-Length: 1'], 'b'),
  ],
  [requestText('GET /metrics', ['Accept: text/plain'])],
];

/** Sends bytes to a port, and closes the connection after a while. */
const sendTo = (port: number, bytes: Buffer): Promise<void> =>
  new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    const timer = setTimeout(() => socket.destroy(), STAY_MS);
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.resume();
  });

describe('a gateway that receives spoilt bytes', () => {
  let store: StoreStandIn;
  let broken: unknown[] = [];
  const onBroken = (message: unknown): number => broken.push(message);
  const onError = (err: unknown): number => broken.push(err);
  const paths = [routeOf('/read/', 'safe'), routeOf('/write/', 'unsafe')];
  beforeEach(async () => {
    broken = [];
    brokenCallbacks.subscribe(onBroken);
    process.on('uncaughtException', onError);
    store = await startStore();
  });
  afterEach(async () => {
    brokenCallbacks.unsubscribe(onBroken);
    process.off('uncaughtException', onError);
    await store.close();
  });

  // Guards against a process, or a callback, that ends by bytes which no sound caller sends.
  it('at any of its ports stays up and serves', async () => {
    const harness = await GatewayHarness.start(2, paths, { store });
    try {
      for (const [offset, sound] of SOUND_REQUESTS.entries()) {
        const messages = [...spoil(sound, SEED + offset, REQUEST_COUNT)];
        for (let i = 0; i < messages.length; i += PARALLEL_COUNT)
          await Promise.all(
            messages
              .slice(i, i + PARALLEL_COUNT)
              .map((bytes) => sendTo(harness.ports.callers + offset, bytes)),
          );
      }
      expect(broken).toEqual([]);
      expect((await harness.request('after', '/read/x')).status).toEqual(200);
      expect((await httpGet(harness.ports.callers + 4, '/metrics')).status).toEqual(200);
    } finally {
      await harness.close();
    }
  });

  // Guards against a process, or a callback, that ends by an entry of the store with odd bytes.
  it('in the entries of the store stays up and serves', async () => {
    const harness = await GatewayHarness.start(2, paths, { store });
    try {
      const entries = harness.upstreams.map((upstream) => JSON.stringify(entryOf(upstream)));
      const configs = [2, 3].map((version) => JSON.stringify(configOf(version, paths)));
      const put = (topic: string, key: string, sound: readonly string[]): void => {
        const values = sound.map((value) => Buffer.from(value));
        [...spoil(values, SEED, ENTRY_COUNT)].forEach((bytes) => store.put(topic, key, bytes));
      };
      put('keyed.servers', 'i-0', entries);
      put('keyed.op', 'config', configs);
      harness.register(harness.upstreams[1]!, { born: 2 });
      await harness.until(() => harness.count('config-refused') > 0);
      await harness.until(() => harness.count('upstream-reborn') > 0);
      expect(broken).toEqual([]);
      expect((await httpGet(harness.ports.callers + 4, '/metrics')).status).toEqual(200);
    } finally {
      await harness.close();
    }
  });

  // Guards against a read of the store that throws, in place of failing, by a page of odd bytes.
  it('in the pages of the store reads what it can, or fails', async () => {
    const sound: Record<string, Buffer[]> = {};
    let spoilt: Buffer | undefined;
    const relay = http.createServer((req, res) => {
      const { pathname } = new URL(req.url ?? '/', 'http://store');
      http.get(`http://127.0.0.1:${store.port}${req.url ?? ''}`, (answer) => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('end', () => {
          const body = Buffer.concat(chunks);
          sound[pathname] = [body];
          res.writeHead(answer.statusCode ?? 0, { 'store-era': answer.headers['store-era'] ?? '' });
          res.end(spoilt ?? body);
        });
      });
    });
    await new Promise<void>((resolve) => {
      relay.listen(0, '127.0.0.1', resolve);
    });
    const { port } = relay.address() as net.AddressInfo;
    const client = new StoreClient({ address: '127.0.0.1', port }, systemClock, hostMemory());
    const feed = configFeed(client);
    const deadline = (): number => systemClock.now() + 5000;
    try {
      const { position } = (await feed.readSnapshot(deadline())).unsafeCoerce();
      store.put('keyed.op', 'config', configOf(1, paths));
      const reads = [
        () => feed.readSnapshot(deadline()),
        () => feed.readSince(position, 0, deadline()),
      ];
      for (const read of reads) await read();
      for (const [i, pages] of Object.values(sound).entries())
        for (const bytes of spoil(pages, SEED + i, PAGE_COUNT)) {
          spoilt = bytes;
          const page = await reads[i]!();
          page.ifRight(({ items }) =>
            items.flatMap(decodeConfigRecord).forEach((item) => {
              if (item.kind === 'config')
                new HostRoutes(item.config).find('shop.example', '/read/x');
            }),
          );
        }
      expect(broken).toEqual([]);
    } finally {
      client.close();
      relay.closeAllConnections();
      relay.close();
    }
  });
});
