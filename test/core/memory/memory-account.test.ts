import { expect } from 'earl';
import { describe, it } from 'node:test';

import { bufferLimitOf, MemoryAccount, type Peer } from '../../../src/core/memory';

const MEBIBYTE = 2 ** 20;

interface Holder {
  readonly name: string;
  readonly peer: Peer;
}

/** Returns an account in which holders of a connection each hold these bytes, in order. */
const accountOf = (
  limit: number,
  bytes: Readonly<Record<string, number>>,
): { readonly account: MemoryAccount<Holder>; readonly holders: readonly Holder[] } => {
  const account = new MemoryAccount<Holder>(() => limit);
  const holders = Object.keys(bytes).map((name): Holder => ({
    name,
    peer: { kind: 'caller', id: name },
  }));
  holders.forEach((holder) => account.resize(holder, bytes[holder.name] ?? 0));
  return { account, holders };
};

const holderOf = (kind: Peer['kind'], id: string, name: string): Holder => ({
  name,
  peer: { kind, id },
});

describe('the memory account', () => {
  /** Guards against a process that is killed on a small host, or has no room on a large one. */
  it('has a limit that follows the memory of the host', () => {
    expect(bufferLimitOf(Number.POSITIVE_INFINITY)).toEqual(48 * MEBIBYTE);
    [202, 602].forEach((megabytes) => {
      const limit = bufferLimitOf(megabytes * 1e6);
      expect(60e6 + 2 * limit).toBeLessThan(0.85 * megabytes * 1e6);
    });
  });

  it('has room for large bodies below four fifths of the limit, and is over it beyond', () => {
    const { account, holders } = accountOf(100, { a: 49 });
    const [a] = holders as readonly [Holder];
    expect([account.hasRoomFor(30), account.hasRoomFor(31)]).toEqual([true, false]);
    account.resize(a, 100);
    expect([account.hasRoomFor(1), account.isOverLimit]).toEqual([false, false]);
    account.resize(a, 101);
    expect(account.isOverLimit).toEqual(true);
  });

  /** Guards against new callers that pay for what others hold. */
  it('names the largest holder, the oldest of several, but not the newest', () => {
    const largestOf = (bytes: Readonly<Record<string, number>>): string | undefined =>
      accountOf(100, bytes).account.largestHolder()?.name;
    expect(largestOf({ a: 10, b: 30, c: 30, d: 40 })).toEqual('b');
    expect(largestOf({ a: 0, b: 10 })).toEqual('b');
    expect(largestOf({ a: 0 })).toEqual(undefined);
  });

  /** Guards against callers that pay for an upstream which holds little in each of many answers. */
  it('names the largest holder of the peer that holds most in all', () => {
    const { account } = accountOf(100, { a: 30, b: 25 });
    ['x', 'y', 'z'].forEach((name, i) =>
      account.resize(holderOf('upstream', 'u', name), 15 + (i % 2)),
    );
    account.resize(holderOf('caller', 'late', 'late'), 1);
    expect(account.largestHolder()?.name).toEqual('y');
    expect(account.bytesOfKind('upstream')).toEqual(46);
    expect(account.bytesOfKind('caller')).toEqual(56);
  });

  it('gives all that hold something the same share', () => {
    const { account, holders } = accountOf(100, { a: 10, b: 60 });
    const [a, b] = holders as readonly [Holder, Holder];
    expect([account.isWithinShare(a, 40), account.isWithinShare(a, 41)]).toEqual([true, false]);
    expect(account.isWithinShare(b, 0)).toEqual(false);
  });

  /** Guards against requests that run and are given up for new ones, as all callers hold alike. */
  it('has nobody give way to a newcomer of a crowd of equals', () => {
    const crowd = Object.fromEntries(Array.from({ length: 90 }, (_, i) => [`c${i}`, 1]));
    const { account } = accountOf(100, crowd);
    expect(account.hasRoomFor(1, true)).toEqual(false);
    expect(account.holderInTheWay()).toEqual(undefined);
    account.resize(holderOf('caller', 'large', 'large'), 6);
    account.resize(holderOf('upstream', 'u', 'answers'), 9);
    account.resize(holderOf('caller', 'late', 'late'), 1);
    expect(account.holderInTheWay()?.name).toEqual('large');
  });

  /** Guards against a sound upstream that is blamed as many callers make all shares small. */
  it('takes a peer for the cause only if it holds a tenth of the limit', () => {
    const crowd = Object.fromEntries(Array.from({ length: 80 }, (_, i) => [`c${i}`, 1]));
    const { account } = accountOf(100, crowd);
    const sound = holderOf('upstream', 'sound', 'answers');
    const faulty = holderOf('upstream', 'faulty', 'answers');
    account.resize(sound, 9);
    account.resize(faulty, 11);
    expect([account.holdsMuch(sound), account.holdsMuch(faulty)]).toEqual([false, true]);
  });

  /** Guards against a count that drifts when bytes are released twice or after a disconnection. */
  it('counts back to zero', () => {
    const { account, holders } = accountOf(100, { a: 10, b: 20 });
    holders.forEach((holder) => account.resize(holder, 0));
    holders.forEach((holder) => account.resize(holder, 0));
    expect(account.total).toEqual(0);
    expect(account.largestHolder()).toEqual(undefined);
  });
});
