import { expect } from 'earl';
import net from 'node:net';
import { after, before, describe, it } from 'node:test';

import { GatewayHarness, httpGet, routeOf } from './harness';

const HEAD = 'GET /none/x HTTP/1.1\r\nHost: h\r\n';

/** Requests whose body or end is another one than their head lets expect. */
const ODD: Readonly<Record<string, string>> = {
  'an upgrade with a body': `${HEAD}Upgrade: x\r\nConnection: upgrade\r\nContent-Length: 5\r\n\r\nhello`,
  'an upgrade without a body': `${HEAD}Upgrade: x\r\nConnection: upgrade\r\n\r\n`,
  'a HEAD with a body': `HEAD /none/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello`,
  'a size with a sign': `${HEAD}Content-Length: +5\r\n\r\nhello`,
  'a size twice': `${HEAD}Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello`,
  'a size and chunks': `${HEAD}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'an unknown coding': `${HEAD}Transfer-Encoding: gzip\r\n\r\nhello`,
  'two codings': `${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
  'an empty coding': `${HEAD}Transfer-Encoding:\r\n\r\nhello`,
  'an expectation with a body': `${HEAD}Expect: more\r\nContent-Length: 5\r\n\r\nhello`,
  'a body that is asked for': `${HEAD}Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello`,
  'a close with more behind it': `${HEAD}Connection: close\r\n\r\n`,
};

/** Guards against an input that waits for, or goes on with, a body that its parser doesn't see. */
describe('odd requests, and sound ones behind them', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(1, [routeOf('/safe/', 'safe')]);
  });
  after(() => harness.close());

  Object.entries(ODD).forEach(([name, text]) =>
    [text.length, 1].forEach((size) => {
      it(`leave the gateway serving: ${name}, written ${size} bytes at a time`, async () => {
        let received = '';
        let isClosed = false;
        const socket = net.connect({ port: harness.ports.callers, noDelay: true });
        socket.on('data', (chunk: Buffer) => {
          received += chunk.toString('latin1');
        });
        socket.on('error', () => {});
        socket.on('close', () => {
          isClosed = true;
        });
        for (let at = 0; at < text.length; at += size) {
          socket.write(text.slice(at, at + size));
          await new Promise((resolve) => {
            setImmediate(resolve);
          });
        }
        socket.write(`${HEAD}\r\n`);
        await harness.until(() => isClosed || received.split('HTTP/1.1 404').length > 2);
        expect((await httpGet(harness.ports.readiness, '/redwingmount/ready')).status).toEqual(200);
        socket.destroy();
      });
    }),
  );
});
