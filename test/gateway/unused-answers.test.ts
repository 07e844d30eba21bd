import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';

import { startEndlessUpstream, type EndlessUpstream } from '../../standins/platform';

import { GatewayHarness, routeOf } from './harness';

const CHUNK = `400\r\n${'x'.repeat(1024)}\r\n`;
const SIGNED = 'X-Redwingmount-Response-Signature: s\r\n';

/** Returns the head of a chunked answer. */
const headOf =
  (status: string, more: string) =>
  (id: string): string =>
    `HTTP/1.1 ${status}\r\nX-Redwingmount-Request-Id: ${id}\r\n${more}Transfer-Encoding: chunked\r\n\r\n`;

/** Guards against upstreams that go on sending an answer which no caller will get. */
describe('the body of a large answer that is not passed on', () => {
  let harness: GatewayHarness;
  let upstreams: readonly EndlessUpstream[] = [];
  afterEach(async () => {
    await harness.close();
    await Promise.all(upstreams.map((upstream) => upstream.close()));
  });

  const start = async (count: number, head: (id: string) => string): Promise<void> => {
    upstreams = await Promise.all(
      Array.from({ length: count }, () => startEndlessUpstream(head, CHUNK)),
    );
    harness = await GatewayHarness.start(0, [
      routeOf('/read/', 'safe', { timeoutMs: 60_000 }),
      routeOf('/w/', 'unsafe', { timeoutMs: 60_000 }),
    ]);
    upstreams.forEach(({ port }, i) =>
      harness.store.put('keyed.servers', `i-${i}`, {
        address: `127.0.0.1:${port}`,
        info: { service: 'shop', version: 'v1', zone: 'takoradi', slots: 6 },
        status: { state: 'ready', sequence: 1, warmupLeftMs: 0 },
        born: 1,
      }),
    );
    await harness.until(() => harness.count('upstream-joined') === count);
  };

  const allClosed = (): boolean => upstreams.every(({ openCount }) => openCount === 0);

  it('is discarded where the answer is not genuine', async () => {
    await start(1, headOf('200 OK', ''));
    const seen = await harness.request('unsigned', '/w/x', { deadlineMs: 60_000 });
    expect(seen.status).toEqual(502);
    await harness.until(allClosed);
  });

  it('is discarded where its status would promise that the request has not run', async () => {
    await start(1, headOf('503 Service Unavailable', SIGNED));
    const seen = await harness.request('untrue', '/w/x', { deadlineMs: 60_000 });
    expect(seen.status).toEqual(502);
    await harness.until(allClosed);
  });

  it('is discarded where an earlier failure is passed on', async () => {
    await start(2, headOf('500 Internal Server Error', SIGNED));
    const controller = new AbortController();
    const { signal } = controller;
    const sent = harness
      .request('failed', '/read/x', { deadlineMs: 60_000, signal })
      .catch(() => undefined);
    await harness.until(() => harness.count('attempt') === 2);
    await harness.until(() => upstreams.filter(({ openCount }) => openCount > 0).length === 1);
    controller.abort();
    await sent;
    await harness.until(allClosed);
  });
});
