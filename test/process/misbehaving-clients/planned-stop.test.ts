import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { BusyGateways } from '../busy-gateways';

import { sendOrder, startSmallHost } from './host';
import { SendersAhead } from './senders-ahead';

const CLIENT_COUNT = 20;
const ORDER_COUNT = 8;
/** Time in milliseconds that orders take, which is over when the stop grace period is. */
const ORDER_WORK_MS = 1500;
const CROWD_MS = 500;
const UNROUTED = 'GET /none/x HTTP/1.1\r\nHost: shop.example\r\n\r\n';

describe('a planned stop beside clients that send ahead', () => {
  let busy: BusyGateways;
  afterEach(() => busy.close());

  it('answers the orders at work and ends the process in order', async () => {
    busy = await startSmallHost({ orderWorkMs: ORDER_WORK_MS });
    const orders = Array.from({ length: ORDER_COUNT }, (_, n) => sendOrder(busy, `order-${n}`));
    await sleep(CROWD_MS / 2);
    const text = (): string => UNROUTED;
    const crowd = { port: 'callers', clientCount: CLIENT_COUNT, text, reading: 'never' } as const;
    const senders = new SendersAhead(busy, crowd);
    await sleep(CROWD_MS);
    busy.gateways.forEach((gateway) => gateway.requestStop());
    const ends = await Promise.all(busy.gateways.map(({ exited }) => exited));
    senders.stop();
    expect(await Promise.all(orders)).toEqual(orders.map(() => 200));
    expect(ends.map(({ code, signal }) => signal ?? code)).toEqual([0]);
  });
});
