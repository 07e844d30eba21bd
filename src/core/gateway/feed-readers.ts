import type { DataCentre, Incarnation, Member } from '../../model';
import { hashOf, pairHash } from '../hash';

/** Number of members in each data centre that read the store's feeds for the others. */
const READERS_PER_DATA_CENTRE_COUNT = 2;
/** Name under which the readers are ranked. */
const READER_RANKING = hashOf('feed-readers');

/** Where a gateway reads the feeds: at the store, or from one of the readers, the first if possible. */
export type FeedSource =
  { readonly kind: 'store' } | { readonly kind: 'readers'; readonly readers: readonly Member[] };

const byRank = (members: readonly Member[], ranking: number): readonly Member[] =>
  members
    .map((member) => ({ member, rank: pairHash(ranking, hashOf(member.incarnation)) }))
    .sort((a, b) => a.rank - b.rank || (a.member.incarnation < b.member.incarnation ? -1 : 1))
    .map(({ member }) => member);

/**
 * Returns the members of a data centre that read the feeds for the others: those of the highest
 * capacity, by rendezvous hashing among equals. Load pattern: a configuration of hundreds of
 * kilobytes changes, and a reader sends it to dozens of others; over a small host's link that takes
 * seconds, in which the reader gets no answers of the store either.
 */
export const feedReadersOf = (
  members: readonly Member[],
  dataCentre: DataCentre,
): readonly Member[] =>
  byRank(
    members.filter((member) => member.state === 'alive' && member.dataCentre === dataCentre),
    READER_RANKING,
  )
    .toSorted((a, b) => (b.capacity ?? 0) - (a.capacity ?? 0))
    .slice(0, READERS_PER_DATA_CENTRE_COUNT);

/**
 * Returns where a member reads the feeds. Load pattern: hundreds of hosts of which few carry
 * requests, and each change read by all of them at the store. A member that is not a reader spreads
 * over the readers of its data centre; without one it reads at the store.
 */
export const feedSourceOf = (
  self: Incarnation,
  dataCentre: DataCentre,
  members: readonly Member[],
): FeedSource => {
  const readers = feedReadersOf(members, dataCentre);
  if (readers.length === 0 || readers.some(({ incarnation }) => incarnation === self)) {
    return { kind: 'store' };
  }
  return { kind: 'readers', readers: byRank(readers, hashOf(self)) };
};
