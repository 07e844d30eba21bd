import { expect } from 'earl';
import { randomBytes } from 'node:crypto';
import http from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { FeedFrameDecoder } from '../../src/gateway/feeds/feed-frames';
import { FeedSubscription } from '../../src/gateway/feeds/feed-subscription';
import type { KeyedRecord, PositionedPage } from '../../src/model';

import { startReader } from './feed-reader';
import { recordingTelemetry, routeOf } from './harness';
import { hostMemory } from './host-memory';

const ADDRESS = '127.0.0.1';
const ROUTE_COUNT = 1400;
/** Versions that the operators write in a short time, and the size of each in bytes. */
const VERSION_COUNT = 25;
const LARGE_VERSION_BYTES = 2 ** 20;

const configOf = (version: number): Buffer =>
  Buffer.from(
    JSON.stringify(
      Array.from({ length: ROUTE_COUNT }, (_, i) =>
        routeOf(`/path-${(i * 7919 + version).toString(36)}/`, 'safe'),
      ),
    ),
  );

const pageOf = (position: number, value: Buffer): PositionedPage => ({
  isSnapshot: false,
  from: position - 1,
  position,
  items: [{ key: 'config', value }],
});

describe('a series of large configurations at a reader of the feeds', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 1000 && !condition(); i++) await sleep(10);
    expect(condition()).toEqual(true);
  };

  // Guards against links of the readers that dozens of uncompressed copies keep full for seconds.
  it('takes a fifth of its bytes on the link at most', async () => {
    const { relay, reader } = await startReader(closers);
    const pages: PositionedPage[] = [];
    const subscription = new FeedSubscription(recordingTelemetry(), hostMemory(), {
      positions: () => [0, 0],
      onPage: (_, page) => pages.push(page) > 0,
      onConnected: () => {},
      onLost: () => {},
    });
    let received = 0;
    relay.server.on('connection', (socket) =>
      socket.on('close', () => {
        received = socket.bytesWritten;
      }),
    );
    subscription.setSource({ kind: 'readers', readers: [reader] });
    await until(() => subscription.isConnected);
    const value = configOf(1);
    relay.publish('config', pageOf(1, value));
    await until(() => pages.some(({ position }) => position === 1));
    subscription.close();
    await until(() => received > 0);
    const [item] = pages.at(-1)?.items ?? [];
    expect(item?.value.equals(value)).toEqual(true);
    expect(received < value.length / 5).toEqual(true);
  });

  // Guards against seconds of versions that are already replaced before the newest one.
  it('reaches a slow subscriber without the versions that are replaced meanwhile', async () => {
    const { relay, port } = await startReader(closers);
    const records: KeyedRecord[] = [];
    const decoder = new FeedFrameDecoder();
    const res = await new Promise<http.IncomingMessage>((resolve) => {
      const url = `http://${ADDRESS}:${port}/feeds/2?config=0&upstreams=0&deflate=1`;
      http.get(url, { agent: false }, resolve);
    });
    closers.push(() => res.destroy());
    res.pause();
    const values = Array.from({ length: VERSION_COUNT }, () => randomBytes(LARGE_VERSION_BYTES));
    for (const [i, value] of values.entries()) {
      relay.publish('config', pageOf(i + 1, value));
      await sleep(10);
    }
    res.on('data', (chunk: Buffer) =>
      decoder.push(chunk)?.forEach((frame) => {
        if (frame.kind === 'page') records.push(...frame.page.items);
      }),
    );
    res.resume();
    const newest = values.at(-1);
    await until(() => newest !== undefined && records.some(({ value }) => value.equals(newest)));
    expect(records.length < VERSION_COUNT / 2).toEqual(true);
  });

  // Guards against a data centre that moves to a small host while its readers are suspected.
  it('does not move a subscriber while its reader goes on to send', async () => {
    const [first, second] = [await startReader(closers), await startReader(closers)];
    const subscription = new FeedSubscription(recordingTelemetry(), hostMemory(), {
      positions: () => [0, 0],
      onPage: () => true,
      onConnected: () => {},
      onLost: () => {},
    });
    closers.push(() => subscription.close());
    subscription.setSource({ kind: 'readers', readers: [first.reader] });
    await until(() => subscription.isConnected);
    subscription.setSource({ kind: 'readers', readers: [second.reader] });
    await sleep(50);
    expect(subscription.reader).toEqual(`r${first.port}`);
    first.relay.close();
    await until(() => subscription.reader === `r${second.port}`);
  });
});
