import { expect } from 'earl';
import dgram from 'node:dgram';
import { describe, it } from 'node:test';

import { DatagramLink } from '../../src/gateway/peers/peer-link';

import { recordingTelemetry } from './harness';

describe('the link to peers', () => {
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
});
