import { expect } from 'earl';
import net, { type Socket } from 'node:net';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { after, before, describe, it } from 'node:test';

import { GatewayHarness, routeOf } from './harness';

/** Channel on which Node.js tells the sockets that servers of this process take. */
const TAKEN_SOCKETS = 'net.server.socket';
/** Two reads of 64 KiB. */
const MAX_READ_BYTES = 128 * 1024;
/** Number of bytes read from a stranger from which its body is taken to be read without end. */
const ENDLESS_BYTES = 8 * 2 ** 20;
const PIECES = '1\r\nx\r\n'.repeat(4000);

/** By offset from the port for callers. */
const PORTS = [
  { name: 'readiness', offset: 1, path: '/redwingmount/ready', status: 200 },
  { name: 'directory', offset: 2, path: '/none', status: 404 },
  { name: 'peers', offset: 3, path: '/none', status: 404 },
  { name: 'metrics', offset: 4, path: '/metrics', status: 200 },
] as const;

describe('the small servers', () => {
  let harness: GatewayHarness;
  const taken = new Map<number, Socket>();
  const onTaken = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    taken.set(socket.remotePort ?? 0, socket);
  };

  before(async () => {
    harness = await GatewayHarness.start(1, [routeOf('/safe/', 'safe')]);
    subscribe(TAKEN_SOCKETS, onTaken);
  });
  after(async () => {
    unsubscribe(TAKEN_SOCKETS, onTaken);
    await harness.close();
  });

  /** Connects a stranger; `isOver` holds once its connection has closed. */
  const connect = (offset: number, text: string) => {
    let localPort = 0;
    const state = { received: '', isOver: false, bytesRead: () => 0 };
    const socket = net.connect(harness.ports.callers + offset, '127.0.0.1', () => {
      localPort = socket.localPort ?? 0;
      socket.write(text);
    });
    socket.on('data', (chunk: Buffer) => {
      state.received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      state.isOver = true;
    });
    state.bytesRead = () => taken.get(localPort)?.bytesRead ?? 0;
    return { socket, state };
  };

  PORTS.forEach(({ name, offset, path, status }) => {
    /** Guards against strangers that hold the event loop with a body without end. */
    it(`close a connection whose request goes on without end: ${name}`, async () => {
      const head = `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
      const { socket, state } = connect(offset, head + PIECES);
      let bytesRead = 0;
      const write = (): void => {
        if (!socket.destroyed && socket.write(PIECES)) setImmediate(write);
      };
      socket.on('drain', write);
      socket.on('connect', write);
      await harness.until(() => {
        bytesRead = Math.max(bytesRead, state.bytesRead());
        return state.isOver || bytesRead > ENDLESS_BYTES;
      });
      socket.destroy();
      expect(state.isOver).toEqual(true);
      expect(bytesRead).toBeGreaterThan(0);
      expect(bytesRead <= MAX_READ_BYTES).toEqual(true);
    });

    it(`answer a request with a body, and close its connection: ${name}`, async () => {
      const { state } = connect(
        offset,
        `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok`,
      );
      await harness.until(() => state.isOver);
      expect(state.received).toMatchRegex(new RegExp(`^HTTP/1.1 ${status} `));
      expect(state.received.toLowerCase()).toInclude('connection: close\r\n');
    });

    it(`keep the connection of requests without a body: ${name}`, async () => {
      const head = `GET ${path} HTTP/1.1\r\nHost: h\r\n`;
      const { socket, state } = connect(offset, `${head}\r\n`);
      const answerCount = (): number => state.received.split('HTTP/1.1 ').length - 1;
      await harness.until(() => answerCount() === 1);
      socket.write(`${head}Content-Length: 0\r\n\r\n${head}\r\n`);
      await harness.until(() => answerCount() === 3);
      expect(state.isOver).toEqual(false);
      expect(state.received.toLowerCase()).not.toInclude('connection: close\r\n');
      socket.destroy();
    });
  });
});
