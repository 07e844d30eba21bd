import { expect } from 'earl';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import type { CallerRequest } from '../../src/gateway/request/caller-request';
import type { CallerReply } from '../../src/gateway/arriving/replies';

import { CallerServerScene, idsOf, requestText } from './caller-server-scene';
import { block, sendWhileBlocked } from './callers-while-blocked';
import { GatewayHarness, routeOf } from './harness';

/** Time in milliseconds by which a request may count as younger than it is. */
const ARRIVAL_TOLERANCE_MS = 50;
const STALL_MS = 400;
/** Time in milliseconds for which the event loop is busy with each request. */
const WORK_MS = 30;
const CLOSES = ['Connection: close'];

describe('a request that is read late', () => {
  const closers: (() => void | Promise<void>)[] = [];
  afterEach(async () => {
    for (const close of closers.splice(0)) await close();
  });

  /** Returns the longest time by which requests count as younger than they are. */
  const longestError = async (count: number, isConnectedEarly: boolean): Promise<number> => {
    const scene = new CallerServerScene();
    await scene.listen();
    closers.push(() => scene.close());
    const arrivals = new Map<string, number>();
    Object.assign(scene, {
      serve: ({ id, arrivedAt }: CallerRequest): Promise<CallerReply> => {
        arrivals.set(id, arrivedAt);
        block(WORK_MS);
        return Promise.resolve({ kind: 'no-route' });
      },
    });
    const ids = idsOf(count);
    const { port } = scene.caller.server.address() as AddressInfo;
    const texts = ids.map((id) => requestText(id, CLOSES));
    const { sentAt } = await sendWhileBlocked(port, texts, { isConnectedEarly, millis: STALL_MS });
    return Math.max(...ids.map((id, i) => (arrivals.get(id) ?? Infinity) - (sentAt[i] ?? 0)));
  };

  /** Guards against time limits that run from the reading of a request. */
  it('counts as arrived when it was sent, on an open connection', async () => {
    expect(await longestError(8, true)).toBeLessThanOrEqual(ARRIVAL_TOLERANCE_MS);
  });

  /** Guards against connections that wait a turn of the event loop for each one before them. */
  it('counts as arrived when it was sent, on a new connection', async () => {
    expect(await longestError(12, false)).toBeLessThanOrEqual(ARRIVAL_TOLERANCE_MS);
  });

  const send = async (timeoutMs: number, deadlineMs: number) => {
    const harness = await GatewayHarness.start(1, [
      routeOf('/slow/', 'safe', { timeoutMs, targetLatencyMs: timeoutMs }),
    ]);
    closers.push(() => harness.close());
    const texts = idsOf(8).map((id) =>
      [
        `GET /slow/${id} HTTP/1.1`,
        'Host: shop.example',
        `X-Redwingmount-Request-Id: ${id}`,
        `X-Redwingmount-Deadline-Ms: ${deadlineMs}`,
        ...CLOSES,
        '\r\n',
      ].join('\r\n'),
    );
    const { answers } = await sendWhileBlocked(harness.ports.callers, texts, {
      isConnectedEarly: true,
      millis: STALL_MS,
    });
    return { harness, statuses: answers.map((answer) => answer.slice(9, 12)) };
  };

  /** Guards against requests that are held the route's timeout from when they were read. */
  it('is refused at once if its route has timed out', async () => {
    const { harness, statuses } = await send(STALL_MS / 2, 5000);
    expect(statuses).toEqual(statuses.map(() => '503'));
    expect(harness.upstreams[0]?.received.filter(({ id }) => id !== '')).toEqual([]);
  });

  /** Guards against upstreams that work on after the caller's deadline. */
  it('takes no more time at upstreams than its caller has left', async () => {
    const { harness } = await send(10_000, 5000);
    const told = (harness.upstreams[0]?.received ?? []).flatMap(
      ({ head }) => /x-redwingmount-deadline-ms: (\d+)/i.exec(head)?.[1] ?? [],
    );
    expect(told.length).toEqual(8);
    const limit = 5000 - STALL_MS + ARRIVAL_TOLERANCE_MS;
    expect(told.filter((millis) => Number(millis) > limit)).toEqual([]);
  });
});
