import type { DataCentre, HostLimits, Member, RequestsPerSecond } from '../../model';
import { hashOf, pairHash } from '../hash';

/** Minimum number of owners of a host group in one data centre, so that one may fail. */
const MIN_OWNER_COUNT = 2;
/** Processor time in core-seconds that one request takes, including a margin for retries. */
const REQUEST_CORE_SECONDS = 0.0015;
/** Traffic in megabits, each way, of one request and its answer at the mean answer length. */
const REQUEST_MEGABITS = 0.06;
/**
 * Ratio of a host's capacity planned for requests; the rest is for bursts and for taking over from
 * failed hosts.
 */
const PLANNED_UTILIZATION_RATIO = 0.5;

/** Ratio of the largest capacity of a data centre from which a member counts as large. */
const LARGE_CAPACITY_RATIO = 0.5;

/** Number of values that `pairHash` can return. */
const HASH_COUNT = 2 ** 32;

/**
 * Returns the whole number of requests per second that a host can carry; undefined if its limits
 * are unknown.
 */
export const capacityOf = ({
  cores,
  megabitsPerSecond,
}: Pick<HostLimits, 'cores' | 'megabitsPerSecond'>): RequestsPerSecond | undefined => {
  const rate = Math.min(cores / REQUEST_CORE_SECONDS, megabitsPerSecond / REQUEST_MEGABITS);
  return Number.isFinite(rate)
    ? Math.max(1, Math.floor(PLANNED_UTILIZATION_RATIO * rate))
    : undefined;
};

/**
 * Ranks members by rendezvous hashing weighted by capacity, so that all nodes select the same first
 * ones and few change when members do.
 */
export const rankedFor = <M extends Pick<Member, 'address' | 'capacity'>>(
  group: string,
  members: readonly M[],
): readonly M[] => {
  const groupHash = hashOf(group);
  return members
    .map((member) => {
      const uniform = (pairHash(groupHash, hashOf(member.address)) + 1) / (HASH_COUNT + 1);
      return { member, rank: -Math.log(uniform) / (member.capacity ?? 1) };
    })
    .sort((a, b) => a.rank - b.rank || (a.member.address < b.member.address ? -1 : 1))
    .map(({ member }) => member);
};

/**
 * Puts the members that have at least half of the largest capacity before the others, and changes
 * nothing else in their order. Load pattern: a burst of several times the planned rate, which a
 * small host among larger ones reads seconds late, while a larger one has most of its time left.
 */
const largeFirst = <M extends Pick<Member, 'capacity'>>(members: readonly M[]): readonly M[] => {
  const capacityAt = ({ capacity = 1 }: M): number => capacity;
  const large = LARGE_CAPACITY_RATIO * Math.max(...members.map(capacityAt));
  return [
    ...members.filter((member) => capacityAt(member) >= large),
    ...members.filter((member) => capacityAt(member) < large),
  ];
};

/**
 * Returns the owners of a host group: the alive members that its callers in one data centre are
 * sent to. They are the highest ranked by rendezvous hashing weighted by capacity, large members
 * first, so that all nodes select the same ones and few change when members do. There are at least
 * two if possible, and enough that each can carry an even part of the demand; members of unknown
 * capacity can carry any. If the data centre has no alive member, those of all data centres are
 * ranked. Load pattern: hosts of little capacity among larger ones, and one service that most
 * callers use.
 */
export const ownersOf = (
  members: readonly Member[],
  dataCentre: DataCentre,
  group: string,
  demand: RequestsPerSecond,
): readonly Member[] => {
  const alive = members.filter(({ state }) => state === 'alive');
  const near = alive.filter((member) => member.dataCentre === dataCentre);
  const ranked = largeFirst(rankedFor(group, near.length > 0 ? near : alive));
  const isEnough = (count: number): boolean =>
    ranked
      .slice(0, count)
      .every(({ capacity = Number.POSITIVE_INFINITY }) => demand / count <= capacity);
  let count = MIN_OWNER_COUNT;
  while (count < ranked.length && !isEnough(count)) count += 1;
  return ranked.slice(0, count);
};
