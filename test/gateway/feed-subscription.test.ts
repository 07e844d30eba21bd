import { expect } from 'earl';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { listen } from '../../src/adapters/listen';
import { encodeFeedFrame } from '../../src/gateway/feeds/feed-frames';
import { FeedSubscription } from '../../src/gateway/feeds/feed-subscription';
import type { Member } from '../../src/model';

import { block } from './callers-while-blocked';
import { startReader } from './feed-reader';
import { recordingTelemetry } from './harness';
import { hostMemory } from './host-memory';

const RECORD = { key: 'u', value: Buffer.from('x') };
const ADDRESS = '127.0.0.1';
/** A page without its records, and the size in bytes of a large one. */
const LARGE_PAGE = { isSnapshot: true, from: 0, position: 1 };
const PAGE_BYTES = 2 ** 20;
/** Time in milliseconds after which a lost reader must have been noticed. */
const NOTICE_MS = 700;
/** Longer than a reader may be silent. */
const BUSY_MS = 1500;

describe('the subscription to the feeds of another gateway', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  /** Starts a reader; `send` has it send a page, `stop` ends it. */
  const startSender = async (): Promise<{
    readonly reader: Member;
    readonly send: () => void;
    readonly stop: () => void;
  }> => {
    const { relay, reader } = await startReader(closers);
    const page = { isSnapshot: false, from: 0, position: 1, items: [RECORD] };
    return { reader, send: () => relay.publish('upstreams', page), stop: () => relay.close() };
  };

  const subscribe = (
    memory = hostMemory(),
  ): {
    readonly subscription: FeedSubscription;
    readonly calls: string[];
  } => {
    const calls: string[] = [];
    const subscription = new FeedSubscription(recordingTelemetry(), memory, {
      positions: () => [0, 0],
      onPage: () => true,
      onConnected: () => calls.push('connected'),
      onLost: () => calls.push('lost'),
    });
    closers.push(() => subscription.close());
    return { subscription, calls };
  };

  const until = async (condition: () => boolean): Promise<void> => {
    for (let i = 0; i < 1000 && !condition(); i++) await sleep(10);
    expect(condition()).toEqual(true);
  };

  it('passes to another reader without reads at the store in between', async () => {
    const first = await startSender();
    const second = await startSender();
    const { subscription, calls } = subscribe();
    subscription.setSource({ kind: 'readers', readers: [first.reader] });
    await until(() => calls.length === 1);
    subscription.setSource({ kind: 'readers', readers: [second.reader] });
    first.stop();
    await sleep(NOTICE_MS);
    expect(subscription.isConnected).toEqual(true);
    expect(calls).toEqual(['connected']);
  });

  it('passes to the other reader when the stream of the first ends', async () => {
    const first = await startSender();
    const second = await startSender();
    const { subscription, calls } = subscribe();
    subscription.setSource({ kind: 'readers', readers: [first.reader, second.reader] });
    await until(() => calls.length === 1);
    first.stop();
    await sleep(NOTICE_MS);
    expect(subscription.isConnected).toEqual(true);
    expect(calls).toEqual(['connected']);
  });

  /** Guards against a busy host that takes its reader for silent before it reads its frames. */
  it('keeps its reader after it was busy itself for longer than a silence', async () => {
    const only = await startSender();
    const { subscription, calls } = subscribe();
    subscription.setSource({ kind: 'readers', readers: [only.reader] });
    await until(() => calls.length === 1);
    // The page is sent, and before the sockets are polled again this process is busy.
    await new Promise<void>((resolve) => {
      setImmediate(() => {
        only.send();
        process.nextTick(() => {
          block(BUSY_MS);
          resolve();
        });
      });
    });
    await sleep(NOTICE_MS);
    expect(subscription.isConnected).toEqual(true);
    expect(calls).toEqual(['connected']);
  });

  it('has the gateway read at the store at once when no reader is left', async () => {
    const only = await startSender();
    const { subscription, calls } = subscribe();
    subscription.setSource({ kind: 'readers', readers: [only.reader] });
    await until(() => calls.length === 1);
    only.stop();
    await until(() => calls.length === 2);
    expect(calls).toEqual(['connected', 'lost']);
  });

  it('has the gateway read at the store if the next reader does not answer in time', async () => {
    const first = await startSender();
    const silentServer = createServer(() => {});
    await listen(silentServer, ADDRESS, 0);
    closers.push(() => {
      silentServer.close();
      silentServer.closeAllConnections();
    });
    const { port } = silentServer.address() as AddressInfo;
    const { subscription, calls } = subscribe();
    subscription.setSource({ kind: 'readers', readers: [first.reader] });
    await until(() => calls.length === 1);
    const silent = { ...first.reader, incarnation: 'silent', peerPort: port };
    subscription.setSource({ kind: 'readers', readers: [silent] });
    first.stop();
    await until(() => calls.length === 2);
    expect(calls).toEqual(['connected', 'lost']);
  });

  /** Starts a reader that sends a part of a frame, and `rest` of it when asked to. */
  const startPartSender = async (
    partBytes: number,
  ): Promise<{ readonly reader: Member; readonly sendRest: () => void }> => {
    const frame = encodeFeedFrame({
      kind: 'page',
      feed: 'config',
      page: { ...LARGE_PAGE, items: [{ key: 'config', value: Buffer.alloc(PAGE_BYTES) }] },
    });
    const rests: (() => void)[] = [];
    const server = createServer((_, res) => {
      res.write(encodeFeedFrame({ kind: 'beat' }));
      res.write(frame.subarray(0, partBytes));
      rests.push(() => res.write(frame.subarray(partBytes)));
    });
    await listen(server, ADDRESS, 0);
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    const { reader } = await startSender();
    return {
      reader: { ...reader, incarnation: `p${port}`, peerPort: port },
      sendRest: () => rests.splice(0).forEach((rest) => rest()),
    };
  };

  it('counts the part of a frame that has arrived, until the frame is whole', async () => {
    const memory = hostMemory();
    const { reader, sendRest } = await startPartSender(PAGE_BYTES / 2);
    const { subscription } = subscribe(memory);
    subscription.setSource({ kind: 'readers', readers: [reader] });
    await until(() => memory.total >= PAGE_BYTES / 2);
    expect(memory.total <= 1.25 * PAGE_BYTES).toEqual(true);
    sendRest();
    await until(() => memory.total === 0);
    expect(subscription.isConnected).toEqual(true);
  });

  it('passes to another reader when memory is short for a frame', async () => {
    const telemetry = recordingTelemetry();
    const memory = hostMemory(PAGE_BYTES / 4, telemetry);
    const { reader } = await startPartSender(PAGE_BYTES / 2);
    const next = await startSender();
    const { subscription } = subscribe(memory);
    subscription.setSource({ kind: 'readers', readers: [reader, next.reader] });
    await until(() => subscription.reader === next.reader.incarnation);
    const given = telemetry.events.filter(({ name }) => name === 'memory-given-up');
    expect(given.map(({ fields }) => fields.peer)).toEqual(['gateway']);
    expect(memory.total).toEqual(0);
  });
});
