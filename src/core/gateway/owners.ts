import type { DataCentre, HostLimits, Member } from '../../model';
import { hashOf, pairHash } from '../hash';

/** Requests a second. */
export type RequestsPerSecond = number;

/** Gateways of one data centre that callers of a host name are sent to, at least; one may be lost. */
const MIN_OWNER_COUNT = 2;
/** Processor time of one request in seconds: 0.0012 at the busiest gateway of a calm play, and some for repeats. */
const REQUEST_CORE_SECONDS = 0.0015;
/** Megabits of one request and its answer, each way; from the mean answers of the users' sites. */
const REQUEST_MEGABITS = 0.06;
/** Part of a host that callers' requests may take; the rest is for bursts and the loss of others. */
const PLANNED_UTILIZATION_RATIO = 0.5;

const HASH_COUNT = 2 ** 32;

/** Requests a second that a host can carry, a whole number. */
export const capacityOf = ({
  cores,
  megabitsPerSecond,
}: HostLimits): RequestsPerSecond | undefined => {
  const rate = Math.min(cores / REQUEST_CORE_SECONDS, megabitsPerSecond / REQUEST_MEGABITS);
  return Number.isFinite(rate)
    ? Math.max(1, Math.floor(PLANNED_UTILIZATION_RATIO * rate))
    : undefined;
};

/**
 * The members that callers of a host group in one data centre are sent to: the strongest by
 * rendezvous hashing, weighted by what each can carry, so that all nodes name the same ones and few
 * change when members do. As many as carry the demand, where each gets an even part of it; on hosts
 * that do not tell what they carry, two. Load pattern: small hosts with thin links among big ones,
 * and one service that most callers ask for.
 */
export const ownersOf = (
  members: readonly Member[],
  dataCentre: DataCentre,
  group: string,
  demand: RequestsPerSecond,
): readonly Member[] => {
  const alive = members.filter(({ state }) => state === 'alive');
  const near = alive.filter((member) => member.dataCentre === dataCentre);
  const groupHash = hashOf(group);
  const ranked = (near.length > 0 ? near : alive)
    .map((member) => {
      const draw = (pairHash(groupHash, hashOf(member.address)) + 1) / (HASH_COUNT + 1);
      return { member, rank: -Math.log(draw) / (member.capacity ?? 1) };
    })
    .sort((a, b) => a.rank - b.rank || (a.member.address < b.member.address ? -1 : 1))
    .map(({ member }) => member);
  const isEnough = (count: number): boolean =>
    ranked
      .slice(0, count)
      .every(({ capacity = Number.POSITIVE_INFINITY }) => demand / count <= capacity);
  let count = MIN_OWNER_COUNT;
  while (count < ranked.length && !isEnough(count)) count += 1;
  return ranked.slice(0, count);
};
