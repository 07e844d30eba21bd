/** Assigns ranges of caller keys to the members that claim them, as one node sees the members. */
import type { Member } from '../../model';
import { hashOf, pairHash } from '../hash';

/** Number of ranges that caller keys are hashed into; each has one stream of claims in the log. */
export const CLAIM_RANGE_COUNT = 64;

/** Returns the range of a caller's key, from 0 to `CLAIM_RANGE_COUNT` - 1. */
export const claimRangeOf = (key: string): number => hashOf(key) % CLAIM_RANGE_COUNT;

/** Returns the name of the log stream that holds a range's claims. */
export const claimStream = (range: number): string => `claims-${range}`;

/**
 * Returns the live member that a range is assigned to by rendezvous hashing; undefined when there
 * is none. Nodes may see different members: two claimants then compete for first place in the log.
 */
export const claimantOf = (range: number, members: readonly Member[]): Member | undefined => {
  const name = hashOf(claimStream(range));
  let best: Member | undefined;
  let bestWeight = -1;
  members.forEach((member) => {
    if (member.state !== 'alive') return;
    const weight = pairHash(name, hashOf(member.incarnation));
    if (weight <= bestWeight) return;
    best = member;
    bestWeight = weight;
  });
  return best;
};
