import { expect } from 'earl';
import { describe, it } from 'node:test';

import {
  KeyProofs,
  proofOfRead,
  proofOfReply,
  proofWaitOf,
  relianceOf,
  SuspensionClock,
} from '../../../src/core/freshness';
import { feedPositionOf } from '../../../src/model';

const REVOCATION_MS = 5000;

describe('the clock that proofs are dated by', () => {
  it('counts the time of a suspension, in which the monotonic clock stands still', () => {
    const clock = new SuspensionClock();
    const before = clock.read(1000, 900_000);
    expect(clock.read(1010, 907_010) - before).toEqual(7010);
  });

  it('counts a suspension after the wall clock was set back, which would hide it', () => {
    const clock = new SuspensionClock();
    const before = clock.read(1000, 900_000);
    clock.read(1500, 840_500);
    expect(clock.read(1510, 847_510) - before).toEqual(510 + 7000);
  });

  it('does not run fast, as proofs would expire early, if the clocks are read often', () => {
    const clock = new SuspensionClock();
    const before = clock.read(0, 1_000_000);
    let after = before;
    for (let now = 0; now <= 1000; now += 0.1) after = clock.read(now, 1_000_000 + Math.floor(now));
    expect(Math.round(after - before)).toEqual(1000);
  });
});

describe('a read at the store', () => {
  const read = { startedAt: 100, endedAt: 1130, wait: 1000, position: 4, isEmpty: true };

  it('that waited in vain is proof up to its end, less a margin', () => {
    expect(proofOfRead(read, REVOCATION_MS)).toEqual({ at: 1000, position: 4 });
  });

  it('is proof only from its start if it ended early or brought records', () => {
    // Records after the answer, and before the wait would have ended, are not known.
    const early = { ...read, endedAt: 600 };
    expect(proofOfRead(early, REVOCATION_MS).at).toEqual(100);
    expect(proofOfRead({ ...read, isEmpty: false }, REVOCATION_MS).at).toEqual(100);
  });

  it('with a long wait is proof only from its start, as the answer may be as old as the wait', () => {
    const long = { ...read, wait: 6000, endedAt: 6200 };
    expect(proofOfRead(long, REVOCATION_MS).at).toEqual(100);
  });

  it('never counts longer than the rest of the bound allows, whatever the bound is', () => {
    [300, 1000, 2000, 5000, 60_000].forEach((bound) => {
      expect(proofWaitOf(bound) + relianceOf(bound) <= bound).toEqual(true);
    });
  });
});

describe('proofs of the keys', () => {
  it('count only once their position is applied, as the keys before may be revoked', () => {
    const proofs = new KeyProofs();
    proofs.recordApplied(3);
    expect(proofs.record({ at: 50, position: 4 })).toEqual(false);
    expect(proofs.age(60)).toEqual(Infinity);
    expect(proofs.recordApplied(4)).toEqual(true);
    expect(proofs.age(60)).toEqual(10);
  });

  it('of another era of the store prove nothing, as its records are others', () => {
    const proofs = new KeyProofs();
    proofs.recordApplied(feedPositionOf(2, 3));
    expect(proofs.record({ at: 50, position: feedPositionOf(1, 2) })).toEqual(false);
    expect(proofs.age(60)).toEqual(Infinity);
  });

  it('do not get older by a reply that was delayed', () => {
    const proofs = new KeyProofs();
    proofs.recordApplied(3);
    proofs.record({ at: 50, position: 3 });
    proofs.record({ at: 20, position: 3 });
    expect(proofs.age(60)).toEqual(10);
  });

  it('of a peer are dated from the question, so that delays make them older', () => {
    expect(proofOfReply({ position: 3, age: 400 }, 1000)).toEqual({ at: 600, position: 3 });
    expect(proofOfReply({ position: 3 }, 1000)).toEqual(undefined);
  });
});
