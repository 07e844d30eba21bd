import { expect } from 'earl';
import { describe, it } from 'node:test';

import type { QuotaMessage } from '../../src/core/quota';
import { decodeDatagram, encodeDatagram } from '../../src/gateway/peers/datagram';
import { decodeQuotaMessage, encodeQuotaMessage } from '../../src/gateway/peers/quota-message';

const ASK: QuotaMessage = {
  kind: 'ask',
  from: { address: '10.0.0.1', peerPort: 7000, datagramVersion: 3 },
  sender: 'abc',
  asks: [{ seq: 5, partition: 1, workspace: 'shop', count: 3, horizon: 40 }],
  returns: [{ seq: 4, first: 1, count: 2 }],
};
const GRANTED: QuotaMessage = {
  kind: 'granted',
  to: 'abc',
  grants: [{ seq: 5, outcome: 'short', nextIn: 12, runs: [{ count: 2, delay: 0, stepMicros: 0 }] }],
};

describe('messages of quotas', () => {
  it('are the same after a datagram', () => {
    ([ASK, GRANTED, { kind: 'claim', partition: 2 }] as const).forEach((message) => {
      const body = encodeQuotaMessage(message);
      const bytes = encodeDatagram({ topic: 'quotas', body, positions: [1, 2] }, 3);
      expect(decodeQuotaMessage(decodeDatagram(bytes)?.body)).toEqual(message);
    });
  });

  it('are refused where they are malformed, so that they grant nothing', () => {
    const ask = encodeQuotaMessage(ASK);
    const granted = encodeQuotaMessage(GRANTED);
    [
      undefined,
      {},
      { ...ask, from: undefined },
      { ...ask, from: ['10.0.0.1', -1, 3] },
      { ...ask, asks: [[5, 1, 'shop', -3, 40]] },
      { ...ask, asks: [[5, 1, 'shop', 3, Number.NaN]] },
      { ...ask, asks: [[5, 1, 7, 3, 40]] },
      { ...ask, returns: [[4, 1, 1e9]] },
      { ...granted, grants: [[5, 1, 12, [[1e6, 0, 0]]]] },
      { ...granted, grants: [[5, 1, 12, [[1, -1, 0]]]] },
      { ...granted, grants: 'x' },
      { kind: 'claim' },
    ].forEach((body) => expect(decodeQuotaMessage(body)).toEqual(undefined));
  });
});
