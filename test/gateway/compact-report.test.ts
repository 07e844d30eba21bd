import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { FAILURE_KINDS, MAX_GOOD_COUNT, type UpstreamReport } from '../../src/core/evidence';
import { decodeDatagram, encodeDatagram } from '../../src/gateway/peers/datagram';
import { splitReports } from '../../src/gateway/peers/report-sender';
import { feedPositionOf, MAX_FEED_ERA } from '../../src/model';

const MAX_REPORT_DATAGRAM_BYTES = 1200;
const uint32 = fc.integer({ min: 0, max: 2 ** 32 - 1 });
const age = fc.nat({ max: 10_000 }).map((units) => units * 10);
const position = fc.oneof(
  fc.constant(-1),
  fc
    .tuple(fc.nat({ max: MAX_FEED_ERA }), fc.nat())
    .map(([era, offset]) => feedPositionOf(era, offset))
    .filter(Number.isSafeInteger),
);
const limit = fc.record(
  {
    perSecond: fc.oneof(fc.constant(null), fc.double({ min: 0, max: 1e6, noNaN: true })),
    heardAgo: age,
  },
  { noNullPrototype: true },
);
const upstream = fc.record(
  {
    key: uint32,
    goodCount: fc.nat({ max: MAX_GOOD_COUNT }),
    failure: fc.constantFrom(...FAILURE_KINDS),
    sentAgo: fc.option(age, { nil: undefined }),
    inFlight: fc.nat({ max: 100_000 }),
    limit,
  },
  { requiredKeys: ['key', 'goodCount', 'sentAgo', 'inFlight'], noNullPrototype: true },
);
const report = fc.record(
  {
    sender: uint32,
    service: uint32,
    unserved: fc.record({ priority: fc.nat(), ago: age }, { noNullPrototype: true }),
    upstreams: fc.array(upstream, { maxLength: 30 }),
  },
  { requiredKeys: ['sender', 'service', 'upstreams'], noNullPrototype: true },
);

const sample: UpstreamReport = { key: 1, goodCount: 3, sentAgo: 120, inFlight: 2 };

describe('reports of version 4', () => {
  // Guards against an encoding that drops or changes a field.
  it('are read as they were written', () => {
    fc.assert(
      fc.property(report, fc.tuple(position, position), (body, positions) => {
        const bytes = encodeDatagram({ topic: 'reports', body, positions }, 4);
        expect(decodeDatagram(bytes)).toEqual({ topic: 'reports', body, positions });
      }),
      { seed: 1 },
    );
  });

  // Guards against a datagram that was cut or changed and throws, or is believed with bad numbers.
  it('are refused when cut short, and never throw when changed', () => {
    fc.assert(
      fc.property(report, fc.nat(), fc.nat({ max: 255 }), (body, at, value) => {
        const bytes = encodeDatagram({ topic: 'reports', body, positions: [1, 2] }, 4);
        bytes[2 + (at % (bytes.length - 2))] = value;
        const decoded = decodeDatagram(bytes)?.body as { upstreams?: UpstreamReport[] } | undefined;
        decoded?.upstreams?.forEach((one) => {
          expect(Number.isSafeInteger(one.inFlight) && Number.isFinite(one.sentAgo ?? 0)).toEqual(
            true,
          );
          expect(Number.isFinite(one.limit?.perSecond ?? 0)).toEqual(true);
        });
      }),
      { seed: 1 },
    );
    const whole = encodeDatagram(
      { topic: 'reports', body: { sender: 1, service: 2, upstreams: [sample] }, positions: [1, 2] },
      4,
    );
    for (let length = 0; length < whole.length; length++) {
      const decoded = decodeDatagram(whole.subarray(0, length));
      expect((decoded?.body as { upstreams: unknown[] } | undefined)?.upstreams ?? []).toEqual([]);
    }
  });

  // Guards against a later build's additions making its datagrams unreadable for this one.
  it('are read without the extensions of later builds', () => {
    const body = { sender: 1, service: 2, upstreams: [sample] };
    const bytes = encodeDatagram({ topic: 'reports', body, positions: [-1, -1] }, 4);
    const flagsAt = 2 + 2 + 8;
    const head = bytes.subarray(0, flagsAt);
    const upstreams = bytes.subarray(flagsAt + 1);
    const changed = Buffer.from(upstreams);
    changed[4] = (changed[4] ?? 0) | 0x80;
    const extended = Buffer.concat([
      head,
      Buffer.from([0x80, 2, 9, 9]),
      changed,
      Buffer.from([1, 7]),
    ]);
    expect(decodeDatagram(extended)?.body).toEqual(body);
  });

  // Guards against datagrams that IP has to fragment.
  it('fit into one packet each, also where all upstreams name limits', () => {
    const named: UpstreamReport = {
      ...sample,
      sentAgo: 9000,
      inFlight: 300,
      limit: { perSecond: 1.25, heardAgo: 9000 },
    };
    [sample, named].forEach((one) => {
      const parts = splitReports(Array.from({ length: 400 }, () => one));
      const sizes = parts.map(
        (upstreams) =>
          encodeDatagram(
            {
              topic: 'reports',
              body: { sender: 1, service: 2, unserved: { priority: 300, ago: 500 }, upstreams },
              positions: [feedPositionOf(3, 1e9), feedPositionOf(3, 1e9)],
            },
            4,
          ).length,
      );
      expect(parts.flat().length).toEqual(400);
      expect(Math.max(...sizes) <= MAX_REPORT_DATAGRAM_BYTES).toEqual(true);
    });
  });
});
