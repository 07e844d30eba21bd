import { expect } from 'earl';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { BusyGateways } from '../busy-gateways';

import { expectSound, MAX_SOCKET_COUNT, sendOrder, startSmallHost } from './host';
import { peakDuring, PORTS, type PortName } from './senders-ahead';

/** Number of connections that a crowd opens, more than the gateway may have. */
const CONNECTION_COUNT = 2 * MAX_SOCKET_COUNT;
/** Time in milliseconds that a crowd gets to connect. */
const CONNECT_MS = 1500;

/** What each client sends before it stays. */
const SENT: Readonly<Record<string, string>> = {
  nothing: '',
  'half a head': 'GET /none/x HTTP/1.1\r\nHost: shop.example\r\n',
  'one request': 'GET /none/x HTTP/1.1\r\nHost: shop.example\r\n\r\n',
};

/** Guards against clients that only hold connections, and leave no descriptor to the others. */
describe('connections that stay leave descriptors to others', () => {
  let busy: BusyGateways;
  const sockets: Socket[] = [];
  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await busy.close();
  });

  const ports = Object.keys(PORTS) as readonly PortName[];
  ports.forEach((port) =>
    Object.entries(SENT).forEach(([name, text]) => {
      it(`after ${name}, at the port for ${port}`, async () => {
        busy = await startSmallHost();
        const peak = await peakDuring(busy, async () => {
          for (let i = 0; i < CONNECTION_COUNT; i++)
            sockets.push(busy.connect(0, text, PORTS[port]).resume());
          await sleep(CONNECT_MS);
          expect(await sendOrder(busy, 'order-beside')).toEqual(200);
        });
        await expectSound(busy, peak);
      });
    }),
  );
});
