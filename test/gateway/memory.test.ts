import { expect } from 'earl';
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { systemClock } from '../../src/adapters';
import { headerConventions, parseSettings } from '../../platform';
import { ArrivalTimes } from '../../src/gateway/arriving/arrival-times';
import { CallerServer } from '../../src/gateway/arriving/caller-server';
import { HostMemory } from '../../src/gateway/memory';

import { recordingTelemetry, settingsText } from './harness';
import { serverResources } from './server-resources';

/** With a quarter for buffers the limit is 1 MB, and reading pauses at half of that. */
const HOST_MEMORY_BYTES = 4e6;
const LIMIT_BYTES = 1e6;
const BODY_BYTES = 200_000;

const pause = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

const until = async (condition: () => boolean): Promise<void> => {
  const deadline = Date.now() + 10_000;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`not met in 10 s: ${condition.toString()}`);
    await pause(10);
  }
};

/** Starts a caller server on a host with little memory; `timeout` is that of its one route. */
const startServer = async (
  closers: (() => void)[],
  timeout?: number,
): Promise<{
  readonly port: number;
  readonly memory: HostMemory;
  readonly telemetry: ReturnType<typeof recordingTelemetry>;
}> => {
  const parsed = parseSettings('test', settingsText(8000, 9000)).unsafeCoerce();
  const settings = { ...parsed, limits: { ...parsed.limits, memoryBytes: HOST_MEMORY_BYTES } };
  const telemetry = recordingTelemetry();
  const memory = new HostMemory({ settings, telemetry, clock: systemClock });
  const { server } = new CallerServer(
    { settings, clock: systemClock, telemetry, headerConventions, random: () => 0 },
    {
      limits: () => undefined,
      isStopping: () => false,
      resources: serverResources(memory),
      arrivals: new ArrivalTimes({ clock: systemClock, telemetry }),
      timeoutOf: () => timeout,
      serve: () => Promise.resolve({ kind: 'no-route' }),
    },
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return { port: (server.address() as AddressInfo).port, memory, telemetry };
};

/** Guards against a process that grows without bound while callers send or read slowly. */
describe('the memory of a caller server', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  /** Opens a connection that sends a head and a part of its body. */
  const send = (port: number, length: number, sent: number): Socket & { received?: string } => {
    const socket: Socket & { received?: string } = net.connect(port, '127.0.0.1');
    socket.on('data', (chunk: Buffer) => {
      socket.received = (socket.received ?? '') + chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n`);
    socket.write('b'.repeat(sent));
    closers.push(() => socket.destroy());
    return socket;
  };

  it('is bounded while many callers stop in the middle of their bodies', async () => {
    const { port, memory, telemetry } = await startServer(closers);
    const slow = Array.from({ length: 20 }, () => send(port, BODY_BYTES, BODY_BYTES - 1));
    let highest = 0;
    await until(() => {
      highest = Math.max(highest, memory.total);
      return telemetry.events.some(({ name }) => name === 'caller-disconnected');
    });
    expect(highest).toBeLessThan(LIMIT_BYTES);
    expect(highest).toBeGreaterThan(LIMIT_BYTES / 2);
    await until(() => slow.filter(({ closed }) => closed).length > 3);
    expect(memory.total).toBeLessThan(LIMIT_BYTES);
  });

  it('lets a new caller be served while others hold it', async () => {
    const { port, memory } = await startServer(closers);
    Array.from({ length: 5 }, () => send(port, BODY_BYTES, BODY_BYTES - 1));
    await until(() => memory.total >= LIMIT_BYTES / 2);
    const newcomer = send(port, 0, 0);
    await until(() => newcomer.received?.startsWith('HTTP/1.1 404') ?? false);
  });

  it('is released by bodies that are complete, and by callers that leave', async () => {
    const { port, memory } = await startServer(closers);
    const complete = send(port, BODY_BYTES, BODY_BYTES);
    await until(() => complete.received?.startsWith('HTTP/1.1 404') ?? false);
    expect(memory.total).toEqual(0);
    const leaving = send(port, BODY_BYTES, BODY_BYTES / 2);
    await until(() => memory.total > 0);
    leaving.destroy();
    await until(() => memory.total === 0);
  });
});

/** Guards against small requests that wait for the memory of large bodies, past their deadlines. */
describe('a caller server whose memory large bodies hold', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\n';

  /** Sends a text on a new connection; returns what has come back so far, and whether it closed. */
  const send = (port: number, text: string): { received: string; isClosed: boolean } => {
    const seen = { received: '', isClosed: false };
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (chunk: Buffer) => {
      seen.received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      seen.isClosed = true;
    });
    closers.push(() => socket.destroy());
    return seen;
  };

  const upload = (length: number, sent: number): string =>
    `${HEAD}Content-Length: ${length}\r\n\r\n${'b'.repeat(sent)}`;

  it('serves small requests all the while, and refuses a large one at its head', async () => {
    const { port, telemetry } = await startServer(closers);
    const uploads = Array.from({ length: 8 }, () => send(port, upload(BODY_BYTES, BODY_BYTES - 1)));
    const isRefused = ({ received }: { received: string }): boolean =>
      received.startsWith('HTTP/1.1 503') && received.includes('memory-short');
    await until(() => uploads.filter(isRefused).length === 5);
    const small = Array.from({ length: 20 }, () => send(port, upload(2, 2)));
    await until(() => small.every(({ received }) => received.startsWith('HTTP/1.1 404')));
    const whole = send(port, upload(BODY_BYTES, 0));
    await until(() => isRefused(whole) && whole.isClosed);
    const refused = telemetry.events.filter(({ name }) => name === 'body-unread');
    expect(refused.length).toEqual(6);
  });

  it('answers a request whose body does not arrive at its deadline', async () => {
    const { port } = await startServer(closers);
    const startedAt = performance.now();
    const late = send(
      port,
      `${HEAD}X-Redwingmount-Deadline-Ms: 400\r\nContent-Length: 9\r\n\r\nbody`,
    );
    await until(() => late.received.startsWith('HTTP/1.1 408') && late.isClosed);
    expect(performance.now() - startedAt >= 399).toEqual(true);
  });

  it('answers it at the time-out of its route, also if the body comes in chunks', async () => {
    const { port, telemetry } = await startServer(closers, 300);
    const late = send(port, `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`);
    await until(() => late.received.startsWith('HTTP/1.1 408') && late.isClosed);
    const [{ fields } = { fields: {} }] = telemetry.events.filter(
      ({ name }) => name === 'body-unread',
    );
    expect(fields).toEqual({ request: '', why: 'body-late', received: 4, declared: -1 });
  });
});
