import type { DataCentre, Member } from '../../model';
import { hashOf, pairHash } from '../hash';

/**
 * The members that callers of a host name in one data centre are sent to: the strongest by
 * rendezvous hashing, so that all nodes name the same ones and few change when members do.
 */
export const ownersOf = (
  members: readonly Member[],
  dataCentre: DataCentre,
  host: string,
  count: number,
): readonly Member[] => {
  const inDataCentre = members.filter(
    (member) => member.dataCentre === dataCentre && member.state === 'alive',
  );
  const alive = members.filter(({ state }) => state === 'alive');
  const candidates = inDataCentre.length > 0 ? inDataCentre : alive;
  const hostHash = hashOf(host);
  return candidates
    .map((member) => ({ member, weight: pairHash(hostHash, hashOf(member.address)) }))
    .sort((a, b) => b.weight - a.weight || (a.member.address < b.member.address ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
};
