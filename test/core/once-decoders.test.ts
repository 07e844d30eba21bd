import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { parseClaimRecord, parseHandoverMessage, parseHomedKey } from '../../src/core';

const SEED = 4;
const kinds = ['frame', 'settled', 'ack', 'settled-ack', 'heirs', 'other'];

describe('decoders of homed keys, claim records and handover messages', () => {
  it('do not throw on arbitrary values, and refuse what is not an object', () => {
    const body = fc.record(
      {
        kind: fc.constantFrom(...kinds),
        home: fc.anything(),
        heir: fc.anything(),
        giver: fc.anything(),
        entries: fc.anything(),
        heirs: fc.anything(),
        claims: fc.anything(),
      },
      { requiredKeys: [] },
    );
    const decode = (value: unknown): void => {
      expect(parseHandoverMessage(value).isLeft() || typeof value === 'object').toEqual(true);
      expect(parseClaimRecord(value).isLeft() || typeof value === 'object').toEqual(true);
    };
    fc.assert(fc.property(fc.oneof(body, fc.anything()), decode), { seed: SEED, numRuns: 500 });
  });

  it('accept exactly one spelling of each homed key', () => {
    const key = fc
      .tuple(fc.string(), fc.string(), fc.string())
      .map((parts) => `h1.${parts.join('.')}`);
    const decode = (text: string): void => {
      const read = parseHomedKey(text).toMaybe().extractNullable();
      if (!read) return;
      expect(text.startsWith(`h1.${read.home}.${read.startBefore.toString(36)}.`)).toEqual(true);
    };
    fc.assert(fc.property(key, decode), { seed: SEED, numRuns: 500 });
  });
});
