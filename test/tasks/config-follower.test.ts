import { expect } from 'earl';
import { Left } from 'purify-ts';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { pack, unpack } from 'msgpackr';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { ConfigState, type ListedNode } from '../../src/core';
import { CONFIG_STREAM, peerKey, type Config, type NodeAddress } from '../../src/model';
import type { PeerLink, PeerMessage, PlatformLog, Telemetry } from '../../src/ports';
import { ConfigFollower } from '../../src/tasks';
import { publication } from '../core/config/samples';
import { FakePlatformLog } from '../fakes/platform-log';

const WAIT_TIMEOUT_MS = 10_000;

const node = (peerPort: number): ListedNode => ({
  address: '127.0.0.1',
  callerPort: 1,
  peerPort,
  dataCentre: 'takoradi',
  leaving: false,
});

const silentTelemetry = (): Telemetry => ({
  event: () => undefined,
  count: () => undefined,
  latency: () => undefined,
  gauge: () => undefined,
});

const unavailableLog: PlatformLog = {
  append: () => Promise.resolve(Left({ kind: 'log-unavailable' })),
  read: () => Promise.resolve(Left({ kind: 'log-unavailable' })),
};

const waitUntil = async (isMet: () => boolean): Promise<boolean> => {
  const end = performance.now() + WAIT_TIMEOUT_MS;
  while (!isMet() && performance.now() < end) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  return isMet();
};

describe('ConfigFollower', () => {
  let followers = new Map<string, ConfigFollower>();
  let log = new FakePlatformLog();

  beforeEach(() => {
    followers = new Map();
    log = new FakePlatformLog();
  });

  afterEach(() => followers.forEach((follower) => follower.close()));

  const link: PeerLink = {
    send: (to: NodeAddress, message: PeerMessage) => {
      const copy = unpack(pack(message)) as PeerMessage;
      setImmediate(() => followers.get(peerKey(to))?.receive(copy.body));
    },
    call: () => Promise.reject(new Error('not used')),
  };

  const start = (
    self: ListedNode,
    platformLog: PlatformLog,
    onAccepted: (config: Config) => void = () => undefined,
  ): ConfigFollower => {
    const random = xoroshiro128plus(self.peerPort);
    const follower = new ConfigFollower({
      state: new ConfigState({ self, retention: 3_600_000, random }, performance.now()),
      log: platformLog,
      peers: link,
      clock: { now: () => performance.now(), wall: () => 0 },
      telemetry: silentTelemetry(),
      onAccepted,
    });
    followers.set(peerKey(self), follower);
    follower.read([node(1), node(2)]);
    return follower;
  };

  it('follows the log, reports accepted versions, and passes them to a node without the log', async () => {
    const seen: number[] = [];
    start(node(1), log, ({ version }) => seen.push(version));
    const withoutLog = start(node(2), unavailableLog);
    await log.append(CONFIG_STREAM, publication('a', 0));
    expect(await waitUntil(() => withoutLog.current().version === 1)).toEqual(true);
    await log.append(CONFIG_STREAM, publication('b', 1));
    expect(await waitUntil(() => withoutLog.current().inventory.size === 2)).toEqual(true);
    expect(await waitUntil(() => withoutLog.freshness(performance.now()) === 'log')).toEqual(true);
    expect(seen).toEqual([1, 2]);
  });

  it('ignores a malformed message and still follows the log', async () => {
    const follower = start(node(1), log);
    follower.receive({ kind: 'digest', from: 'nowhere' });
    await log.append(CONFIG_STREAM, publication('a', 0));
    expect(await waitUntil(() => follower.current().version === 1)).toEqual(true);
  });
});
