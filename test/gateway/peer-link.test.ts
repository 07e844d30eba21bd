import { expect } from 'earl';
import dgram from 'node:dgram';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { DatagramLink } from '../../src/gateway/peers/peer-link';

import { reservePorts } from '../ports';
import { recordingTelemetry } from './harness';

const ADDRESS = '127.0.0.1';
/** Size in bytes of the text of a datagram, and of all that may wait to be sent. */
const DATAGRAM_BYTES = 1024;
const MAX_UNSENT_BYTES = 4 * 2 ** 20;

describe('the link to peers', () => {
  const closers: (() => void)[] = [];
  afterEach(() => closers.splice(0).forEach((close) => close()));

  it('reports a port that is taken', async () => {
    const other = dgram.createSocket('udp4');
    const port = await new Promise<number>((resolve) => {
      other.bind(0, '127.0.0.1', () => resolve(other.address().port));
    });
    const link = new DatagramLink(recordingTelemetry(), {
      feedPositions: () => [0, 0],
      onPeerPositions: () => {},
      onMessage: () => {},
    });
    const result = await link.listen({ address: '127.0.0.1', port }).then(
      () => 'bound',
      (err: Error) => err.message,
    );
    expect(result).toEqual(`can't listen on 127.0.0.1:${port}: EADDRINUSE`);
    other.close();
  });

  // Guards against datagrams that fill the memory of a host whose link is down or slow.
  it('drops and counts what it can not send beyond its bound, and sends again later', async () => {
    let unsent = 0;
    const telemetry = {
      ...recordingTelemetry(),
      count: (name: string) => {
        if (name === 'datagrams_unsent') unsent += 1;
      },
    };
    const bodies: unknown[] = [];
    const service = {
      feedPositions: () => [0, 0] as const,
      onPeerPositions: () => {},
      onMessage: (_: unknown, body: unknown) => bodies.push(body),
    };
    const link = new DatagramLink(telemetry, service);
    const receiver = new DatagramLink(recordingTelemetry(), service);
    const port = await reservePorts(2);
    closers.push(
      () => link.close(),
      () => receiver.close(),
    );
    await link.listen({ address: ADDRESS, port });
    await receiver.listen({ address: ADDRESS, port: port + 1 });
    const nobody = { address: ADDRESS, peerPort: port };
    const body = { text: 'x'.repeat(DATAGRAM_BYTES) };
    const fitting = MAX_UNSENT_BYTES / DATAGRAM_BYTES;
    // Nothing is sent within a turn, as each address is looked up first.
    for (let i = 0; i < 2 * fitting; i++) link.send(nobody, 'crashes', body);
    expect(unsent).toBeGreaterThanOrEqual(fitting);
    expect(unsent).toBeLessThan(1.1 * fitting);
    const last = { text: 'last' };
    const to = { address: ADDRESS, peerPort: port + 1 };
    const isLast = (received: unknown): boolean =>
      (received as { readonly text?: string }).text === last.text;
    for (let i = 0; i < 1000 && !bodies.some(isLast); i++) {
      link.send(to, 'crashes', last);
      await sleep(10);
    }
    expect(bodies.some(isLast)).toEqual(true);
  });
});
