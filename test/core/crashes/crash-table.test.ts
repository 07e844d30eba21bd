import fc from 'fast-check';
import { expect } from 'earl';
import { describe, it } from 'node:test';

import { CrashTable, type RequestRecord } from '../../../src/core/crashes';

const DIGEST = 'd1';
const MINUTE_MS = 60_000;

/** Returns a record with one crash of an upstream. */
const crashOf = (upstream: string, crashedAt: number): RequestRecord => ({
  digest: DIGEST,
  crashes: [{ upstream, born: 1, crashedAt }],
  answeredAt: Number.NEGATIVE_INFINITY,
});

const answerAt = (answeredAt: number): RequestRecord => ({
  digest: DIGEST,
  crashes: [],
  answeredAt,
});

const tableOf = (...records: readonly RequestRecord[]): CrashTable => {
  const table = new CrashTable();
  records.forEach((record) => table.merge(record, 1000));
  return table;
};

describe('the table of requests that crash upstreams', () => {
  it('holds a request back from its third crash on, and repeats none after its second', () => {
    const table = new CrashTable();
    const kinds = ['a', 'b', 'c'].map((upstream, i) => {
      table.merge(crashOf(upstream, i), i);
      return table.standingOf(DIGEST, 10).kind;
    });
    expect(kinds).toEqual(['clear', 'suspect', 'held']);
    expect(table.standingOf('another', 10).kind).toEqual('clear');
  });

  it('counts a crash once however many hosts report it', () => {
    const table = tableOf(crashOf('a', 1), crashOf('a', 2), crashOf('a', 3), crashOf('a', 4));
    expect(table.crashCount(DIGEST)).toEqual(1);
  });

  it('is cleared by a complete answer, whatever comes late of before', () => {
    const table = tableOf(crashOf('a', 1), crashOf('b', 2), answerAt(5), crashOf('c', 3));
    expect(table.crashCount(DIGEST)).toEqual(0);
    table.merge(crashOf('d', 6), 1000);
    expect(table.crashCount(DIGEST)).toEqual(1);
  });

  it('lets one host try a held request, twice at most and ever later', () => {
    const table = tableOf(crashOf('a', 1), crashOf('b', 2), crashOf('c', 3));
    expect(table.standingOf(DIGEST, 4 * MINUTE_MS, () => true).kind).toEqual('held');
    expect(table.standingOf(DIGEST, 6 * MINUTE_MS).kind).toEqual('held');
    expect(table.standingOf(DIGEST, 6 * MINUTE_MS, () => true).kind).toEqual('trial');
    table.startTrial(DIGEST, 6 * MINUTE_MS);
    expect(table.standingOf(DIGEST, 6 * MINUTE_MS + 1, () => true).kind).toEqual('held');
    table.merge(crashOf('d', 6 * MINUTE_MS + 100), 6 * MINUTE_MS + 100);
    expect(table.standingOf(DIGEST, 50 * MINUTE_MS, () => true).kind).toEqual('held');
    table.touch(DIGEST, 50 * MINUTE_MS);
    expect(table.standingOf(DIGEST, 57 * MINUTE_MS, () => true).kind).toEqual('trial');
    table.startTrial(DIGEST, 57 * MINUTE_MS);
    expect(table.standingOf(DIGEST, 57 * MINUTE_MS, () => true)).toEqual({
      kind: 'held',
      until: Number.POSITIVE_INFINITY,
    });
  });

  it('forgets a request that has not come for an hour, and the oldest of too many', () => {
    const table = tableOf(crashOf('a', 1), crashOf('b', 2), crashOf('c', 3));
    expect(table.standingOf(DIGEST, 62 * MINUTE_MS).kind).toEqual('clear');
    for (let i = 0; i < 1000; i++) {
      table.merge({ ...crashOf('a', 2000), digest: `other-${i}` }, 2000);
    }
    expect(table.size).toEqual(1000);
    expect(table.crashCount(DIGEST)).toEqual(0);
  });

  it('takes nothing for new that tables with other crashes of the same request repeat', () => {
    const crashes = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((upstream, i) => crashOf(upstream, i));
    const [one, other] = [tableOf(...crashes), tableOf(...[...crashes].reverse())];
    const tell = (from: CrashTable, to: CrashTable): boolean =>
      from.records().some((record) => to.merge(record, 2000));
    expect([tell(one, other), tell(other, one), tell(one, other)]).toEqual([false, false, false]);
  });

  it('comes to the same standing in whatever order records are merged', () => {
    const record = fc.record({
      digest: fc.constant(DIGEST),
      crashes: fc.array(
        fc.record({
          upstream: fc.constantFrom('a', 'b', 'c', 'd'),
          born: fc.constant(1),
          crashedAt: fc.constant(0),
        }),
        { maxLength: 1 },
      ),
      answeredAt: fc.constantFrom(Number.NEGATIVE_INFINITY, -1),
    });
    fc.assert(
      fc.property(fc.array(record, { maxLength: 8 }), (records) => {
        const [one, other] = [tableOf(...records), tableOf(...[...records].reverse())];
        expect(one.standingOf(DIGEST, 1)).toEqual(other.standingOf(DIGEST, 1));
      }),
      { seed: 26, numRuns: 300 },
    );
  });
});
