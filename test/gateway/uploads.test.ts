import { expect } from 'earl';
import net from 'node:net';
import { after, before, describe, it } from 'node:test';

import { routeOf, GatewayHarness } from './harness';

const PATH = '/upload/';
/** Time in which a request that was wrongly passed on would have reached an upstream. */
const PASS_ON_MS = 300;

const pause = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

describe('uploads', () => {
  let harness: GatewayHarness;
  before(async () => {
    harness = await GatewayHarness.start(2, [routeOf(PATH, 'upload')]);
  });
  after(() => harness.close());

  const headOf = (id: string, length: number): string =>
    [
      `POST ${PATH}x HTTP/1.1`,
      'Host: shop.example',
      `X-Redwingmount-Request-Id: ${id}`,
      'X-Redwingmount-Deadline-Ms: 3000',
      `Content-Length: ${length}`,
      '\r\n',
    ].join('\r\n');

  /** Opens a connection to the gateway, sends `text`, and collects what comes back. */
  const connect = (text: string): { socket: net.Socket; received: () => string } => {
    const chunks: Buffer[] = [];
    const socket = net.connect(harness.ports.callers, '127.0.0.1', () => socket.write(text));
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => {});
    return { socket, received: () => Buffer.concat(chunks).toString() };
  };

  it('of the largest allowed size reach one upstream whole and once', async () => {
    const body = 'b'.repeat(65_536);
    const answer = await harness.request('large', `${PATH}x`, { method: 'POST', body });
    expect(answer.status).toEqual(200);
    expect(harness.runsOf('large')).toEqual(1);
    const [run] = harness.upstreams.flatMap(({ runs }) => runs).filter(({ id }) => id === 'large');
    expect(run?.body.length).toEqual(body.length);
  });

  it('whose caller stalls reach no upstream until the body is whole', async () => {
    const { socket, received } = connect(`${headOf('stalls', 10)}12345`);
    await pause(PASS_ON_MS);
    expect(harness.runsOf('stalls')).toEqual(0);
    socket.write('67890');
    await harness.until(() => received().startsWith('HTTP/1.1 200'));
    expect(harness.runsOf('stalls')).toEqual(1);
    socket.destroy();
  });

  it('whose caller leaves in the middle of the body never run', async () => {
    const { socket } = connect(`${headOf('leaves', 10)}12345`);
    await pause(50);
    socket.destroy();
    await pause(PASS_ON_MS);
    expect(harness.runsOf('leaves')).toEqual(0);
  });

  it('longer than told run with what was told, and the rest is no request', async () => {
    const { socket, received } = connect(`${headOf('long', 5)}12345surplus\r\n\r\n`);
    await harness.until(() => received().includes('HTTP/1.1 200'));
    await harness.until(() => received().includes('HTTP/1.1 400'));
    const runs = harness.upstreams.flatMap(({ runs: all }) => all);
    expect(runs.filter(({ id }) => id === 'long').map(({ body }) => body)).toEqual(['12345']);
    expect(runs.some(({ head }) => head.includes('surplus'))).toEqual(false);
    socket.destroy();
  });

  it('that an upstream fails run once', async () => {
    harness.upstreams.forEach((upstream) => Object.assign(upstream, { mood: 'fails' }));
    const answer = await harness.request('fails', `${PATH}x`, { method: 'POST', body: 'b' });
    expect(answer.status).toEqual(500);
    expect(harness.runsOf('fails')).toEqual(1);
  });
});
