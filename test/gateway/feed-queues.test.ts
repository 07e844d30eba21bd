import { expect } from 'earl';
import http from 'node:http';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { HostMemory } from '../../src/gateway';
import type { FeedRelay } from '../../src/gateway/feeds/feed-relay';

import { startReader } from './feed-reader';
import { recordingTelemetry } from './harness';
import { hostMemory } from './host-memory';

const ADDRESS = '127.0.0.1';
/** Size in bytes of a page of which the buffers of a link on this host take less than half. */
const QUEUED_PAGE_BYTES = 32 * 2 ** 20;

describe('what is queued for a subscriber to the feeds', () => {
  const closers: (() => void)[] = [];
  // Without beats, which end the stream of a subscriber that is far behind.
  beforeEach(() => mock.timers.enable({ apis: ['setInterval'] }));
  afterEach(() => {
    closers.splice(0).forEach((close) => close());
    mock.timers.reset();
  });

  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 1000 && !condition(); i++) await sleep(10);
    expect(condition()).toEqual(true);
  };

  /** Starts a reader with a subscriber that reads nothing until it is resumed. */
  const startSlow = async (
    memory: HostMemory,
  ): Promise<{ readonly relay: FeedRelay; readonly res: http.IncomingMessage }> => {
    const { relay, port } = await startReader(closers, memory);
    const url = `http://${ADDRESS}:${port}/feeds/2?config=0&upstreams=0`;
    const res = await new Promise<http.IncomingMessage>((resolve) => {
      http.get(url, { agent: false }, resolve);
    });
    closers.push(() => res.destroy());
    res.pause();
    res.on('error', () => {});
    return { relay, res };
  };

  const largePage = {
    isSnapshot: false,
    from: 0,
    position: 1,
    items: [{ key: 'config', value: Buffer.alloc(QUEUED_PAGE_BYTES, 'x') }],
  };

  it('is counted until it has been taken in', async () => {
    const memory = hostMemory();
    const { relay, res } = await startSlow(memory);
    relay.publish('config', largePage);
    await until(() => memory.total > QUEUED_PAGE_BYTES / 4);
    expect(memory.total <= 1.1 * QUEUED_PAGE_BYTES).toEqual(true);
    res.resume();
    await until(() => memory.total === 0);
    expect(relay.subscriberCount).toEqual(1);
  });

  // Guards against callers that pay for a gateway that doesn't read.
  it('is let go of with its stream when memory is short', async () => {
    const telemetry = recordingTelemetry();
    const memory = hostMemory(QUEUED_PAGE_BYTES / 4, telemetry);
    const { relay, res } = await startSlow(memory);
    relay.publish('config', largePage);
    await until(() => relay.subscriberCount === 0);
    const given = telemetry.events.filter(({ name }) => name === 'memory-given-up');
    expect(given.map(({ fields }) => [fields.peer, fields.id])).toEqual([['gateway', ADDRESS]]);
    expect(memory.total).toEqual(0);
    res.resume();
    await until(() => res.closed);
    expect(res.complete).toEqual(false);
  });
});
