import { expect } from 'earl';
import net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { GatewayHarness, routeOf } from './harness';

const requestText = (id: string): string =>
  [
    `GET /safe/${id} HTTP/1.1`,
    'Host: shop.example',
    `X-Redwingmount-Request-Id: ${id}`,
    'X-Redwingmount-Deadline-Ms: 5000',
    '\r\n',
  ].join('\r\n');

/** Guards against a log that doesn't tell for how long requests outlive their callers. */
describe('the log of callers that leave', () => {
  let harness: GatewayHarness;
  beforeEach(async () => {
    harness = await GatewayHarness.start(2, [routeOf('/safe/', 'safe')]);
    harness.upstreams.forEach((upstream) => Object.assign(upstream, { work: 300 }));
  });
  afterEach(() => harness.close());

  it('has the number of unanswered requests, and each that ends later', async () => {
    const socket = net.connect(harness.ports.callers, '127.0.0.1', () =>
      socket.write(['a', 'b', 'c'].map(requestText).join('')),
    );
    socket.on('error', () => {});
    await harness.until(() => harness.upstreams.flatMap(({ runs }) => runs).length === 3);
    socket.destroy();
    await harness.until(() => harness.count('undelivered') === 3);
    const { events } = harness.telemetry;
    const left = events.filter(({ name }) => name === 'caller-left').map(({ fields }) => fields);
    expect(left.map(({ open, waiting }) => [open, waiting])).toEqual([[3, 0]]);
    const ended = events.filter(({ name }) => name === 'undelivered').map(({ fields }) => fields);
    expect(ended.map(({ request }) => request).toSorted()).toEqual(['a', 'b', 'c']);
    expect(ended.every(({ leftMs }) => typeof leftMs === 'number')).toEqual(true);
  });
});
