import { expect } from 'earl';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';

import { decodeMembershipMessage } from '../../src/core/membership';
import { decodeCrashMessage } from '../../src/gateway/peers/crash-message';
import { decodeDatagram } from '../../src/gateway/peers/datagram';
import { decodeBeliefs, decodeObservations } from '../../src/gateway/peers/observations';

/** A datagram of commit 6c04001, recorded by `scripts/record-datagrams.ts`. */
interface Fixture {
  readonly topic: string;
  readonly body: unknown;
  readonly positions: readonly number[];
  readonly hex: string;
}

const fixtures = readFileSync(new URL('fixtures/datagrams-3.jsonl', import.meta.url), 'utf8')
  .trim()
  .split('\n')
  .map((line) => JSON.parse(line) as Fixture);

const normalized = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** Decodes the body of a topic as the gateway does. */
const decodeBody = (topic: string, body: unknown): unknown => {
  switch (topic) {
    case 'membership':
      return decodeMembershipMessage(body).unsafeCoerce();
    case 'sightings':
      return decodeObservations(body);
    case 'beliefs':
      return decodeBeliefs(body);
    case 'crashes':
      return decodeCrashMessage(body);
    default:
      return body;
  }
};

describe('datagrams of the build before version 4', () => {
  // Guards against a change of the encoding that makes hosts of the previous build invisible during
  // a rolling replacement.
  fixtures.forEach(({ topic, body, positions, hex }, i) =>
    it(`are read: ${topic} (${i})`, () => {
      const datagram = decodeDatagram(Buffer.from(hex, 'hex'));
      expect(datagram?.topic as string).toEqual(topic);
      expect(datagram?.positions as readonly number[]).toEqual(positions);
      expect(normalized(decodeBody(topic, datagram?.body))).toEqual(normalized(body));
    }),
  );

  it('cover every topic that it sends', () => {
    expect([...new Set(fixtures.map(({ topic }) => topic))]).toEqual([
      'membership',
      'sightings',
      'beliefs',
      'crashes',
      'paths',
    ]);
  });
});
