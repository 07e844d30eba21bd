import { expect } from 'earl';
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { listen } from '../../src/adapters/listen';
import { createMetricsServer } from '../../src/gateway/small-servers';

import { until } from './caller-server-scene';
import { hostMemory } from './host-memory';
import { serverResources } from './server-resources';

/** More than the kernel's buffers of one connection hold. */
const TEXT = 'x'.repeat(32 * 2 ** 20);

/** Guards against answers that clients don't read, in no account. */
describe('an answer of a small server that is not read', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  const request = (more: string): string => `POST /metrics HTTP/1.1\r\nHost: h\r\n${more}`;
  const FORMS = {
    'without a body': request('\r\n'),
    'with a body': request('Content-Length: 2\r\n\r\nok'),
    'that is one of many': request('\r\n').repeat(100),
  };
  Object.entries(FORMS).forEach(([name, text]) => {
    it(`counts once, until its caller has left: request ${name}`, async () => {
      const memory = hostMemory();
      const server = createMetricsServer(serverResources(memory), () => Promise.resolve(TEXT));
      await listen(server, '127.0.0.1', 0);
      closers.push(() => {
        server.close();
        server.closeAllConnections();
      });
      let accepted: Socket | undefined;
      server.on('connection', (taken: Socket) => {
        accepted = taken;
      });
      const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
      socket.on('error', () => {});
      socket.pause();
      socket.write(text);
      await until(() => (accepted?.writableLength ?? 0) > 0);
      expect(memory.total >= TEXT.length).toEqual(true);
      expect(memory.total < 2 * TEXT.length).toEqual(true);
      socket.destroy();
      await until(() => memory.total === 0);
    });
  });
});
