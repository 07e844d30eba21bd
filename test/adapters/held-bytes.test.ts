import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { HeldBytes } from '../../src/adapters/held-bytes';

describe('held bytes', () => {
  it('come out as they went in, in whatever pieces', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 9000 }), { maxLength: 40 }),
        fc.integer({ min: 1, max: 20_000 }),
        (sizes, most) => {
          const all = Buffer.from(
            Array.from({ length: sizes.reduce((a, b) => a + b, 0) }, (_, i) => i % 251),
          );
          const held = new HeldBytes();
          let at = 0;
          sizes.forEach((size) => {
            held.push(all, at, at + size);
            at += size;
          });
          const taken: Buffer[] = [];
          while (held.length > 0) taken.push(held.take(most));
          return Buffer.concat(taken).equals(all) && taken.every(({ length }) => length <= most);
        },
      ),
      { seed: 58, numRuns: 200 },
    );
  });

  /** Guards against a view of the heap for each byte, and against what is read with it. */
  [1, 7, 100, 5000].forEach((size) =>
    it(`take at most about twice their number in pieces of ${size} bytes`, () => {
      const held = new HeldBytes();
      while (held.length < 4_000_000) {
        const read = Buffer.allocUnsafeSlow(64 * 1024);
        for (let at = 0; at + size + 5 <= read.length; at += size + 5)
          held.push(read, at, at + size);
      }
      expect(held.memoryBytes).toBeLessThan(2.1 * held.length);
    }),
  );

  it('take little more than twice their number if large pieces follow small ones', () => {
    const held = new HeldBytes();
    for (let i = 0; i < 400; i++) {
      held.push(Buffer.from('x'));
      held.push(Buffer.allocUnsafeSlow(5000));
    }
    expect(held.memoryBytes).toBeLessThan(2.1 * held.length);
  });
});
