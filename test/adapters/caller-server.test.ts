import { expect } from 'earl';
import { Just } from 'purify-ts';
import net, { type AddressInfo, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { createCallerServer, systemClock } from '../../src/adapters';
import { notRunOutcome, type Route } from '../../src/model';
import type { Reply } from '../../src/ports';

const ROUTE: Route = {
  method: '*',
  pathPrefix: '/',
  service: 'bookings',
  idempotent: true,
  timeout: 60_000,
};

const until = async (condition: () => boolean): Promise<void> => {
  const deadline = Date.now() + 10_000;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`not met in 10 s: ${condition.toString()}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
};

const answerWith = (body: PassThrough): Reply => ({
  kind: 'answer',
  status: 200,
  headers: [],
  body,
});

/** Guards against calls that go on for a caller who has pipelined them and left. */
describe('pipelined calls of a caller that leaves', () => {
  let serve: (path: string, signal: AbortSignal) => Promise<Reply>;
  const server = createCallerServer({
    service: {
      isLeaving: () => false,
      route: () => Just(ROUTE),
      addresses: () => {
        throw new Error('not asked for');
      },
      serve: ({ path }, _body, signal) => serve(path, signal),
    },
    clock: systemClock,
    telemetry: { event: () => {}, count: () => {}, gauge: () => {}, latency: () => {} },
    idPrefix: 'c',
    maxBodyBytes: 1000,
    maxHeadBytes: 10_000,
    headTimeoutMs: 3000,
  });
  let socket: Socket;
  beforeEach(
    () =>
      new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      }),
  );
  afterEach(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  const send = (paths: readonly string[]): void => {
    const text = paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join('');
    socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1', () =>
      socket.write(text),
    );
    socket.on('error', () => {});
  };

  it('are all cancelled', async () => {
    const served: string[] = [];
    const cancelled: string[] = [];
    serve = (path, signal) => {
      served.push(path);
      return new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          cancelled.push(path);
          resolve({ kind: 'refused', outcome: notRunOutcome('deadline-passed') });
        });
      });
    };
    send(['/1', '/2', '/3']);
    await until(() => served.length === 3);
    socket.destroy();
    await until(() => cancelled.length === 3);
    expect(cancelled).toEqual(served);
  });

  it('have their answers discarded, be these ready before or after', async () => {
    const bodies = { '/2': new PassThrough(), '/3': new PassThrough() };
    let reply: (value: Reply) => void = () => {};
    let servedCount = 0;
    serve = (path) => {
      servedCount += 1;
      if (path === '/2') return Promise.resolve(answerWith(bodies['/2']));
      return new Promise((resolve) => {
        if (path === '/3') reply = resolve;
      });
    };
    send(['/1', '/2', '/3']);
    await until(() => servedCount === 3);
    socket.destroy();
    await until(() => bodies['/2'].destroyed);
    reply(answerWith(bodies['/3']));
    await until(() => bodies['/3'].destroyed);
  });
});
