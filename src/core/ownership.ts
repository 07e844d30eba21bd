import { peerKey, type Member, type ShardId } from '../model';

import { hashOf, pairHash } from './hash';

/** Maximum number of nodes for a shard: the owner and its standbys. */
const MAX_OWNER_COUNT = 4;
/** Number of highest-weight candidates among which a shard's owners are chosen. */
const OWNER_CANDIDATE_COUNT = 8;
/** Number of candidates kept ranked; with the surplus, most departures need no new ranking. */
const MAX_CANDIDATE_COUNT = 16;
/** Maximum ratio of the shards that one member owns to the mean. */
const MAX_OWNED_TO_MEAN_RATIO = 2;

/** A member, by peer address, with its rendezvous weight for one shard. */
interface Candidate {
  readonly key: string;
  readonly weight: number;
}

/** The difference between two sets of members, by peer address. */
interface MemberChanges {
  readonly joined: readonly string[];
  readonly left: ReadonlySet<string>;
}

type Owners = ReadonlyMap<ShardId, readonly Member[]>;

const byWeightDescending = (a: Candidate, b: Candidate): number =>
  b.weight - a.weight || (a.key < b.key ? -1 : 1);

const mayOwn = ({ state }: Member): boolean => state === 'alive' || state === 'suspect';

/** Returns the owner, then the first member of each other data centre, then the rest. */
const withStandbys = (owner: Member, ranked: readonly Member[]): readonly Member[] => {
  const seen = new Set([owner.dataCentre]);
  const firsts = ranked.filter(({ dataCentre }) => {
    if (seen.has(dataCentre)) return false;
    seen.add(dataCentre);
    return true;
  });
  const rest = ranked.filter((member) => member !== owner && !firsts.includes(member));
  return [owner, ...firsts, ...rest].slice(0, MAX_OWNER_COUNT);
};

const sameOwners = (before: Owners, after: Owners): boolean => {
  if (before.size !== after.size) return false;
  return [...after].every(([id, owners]) => {
    const known = before.get(id);
    return known?.length === owners.length && owners.every((owner, i) => owner === known[i]);
  });
};

/**
 * Assigns shards to members by rendezvous hashing over peer addresses. The same members and shards
 * give the same owners on every node. Suspect members keep their shards; leaving and dead members
 * have none. When members or shards change, only affected shards are ranked again.
 */
export class Ownership {
  private members: ReadonlyMap<string, Member> = new Map();

  private readonly hashes = new Map<string, number>();

  private candidates: ReadonlyMap<ShardId, readonly Candidate[]> = new Map();

  private owners: Owners = new Map();

  /** Replaces members and shards; returns whether any shard's owner or standbys changed. */
  update(shardIds: readonly ShardId[], members: readonly Member[]): boolean {
    const changes = this.updateMembers(members);
    this.candidates = new Map(shardIds.map((id) => [id, this.rank(id, changes)]));
    const before = this.owners;
    this.owners = this.assign();
    return !sameOwners(before, this.owners);
  }

  /**
   * Returns the owner, then the standbys, those in other data centres first. Empty for an unknown
   * shard.
   */
  ownersOf(shard: ShardId): readonly Member[] {
    return this.owners.get(shard) ?? [];
  }

  private updateMembers(members: readonly Member[]): MemberChanges {
    const before = this.members;
    this.members = new Map(members.filter(mayOwn).map((member) => [peerKey(member), member]));
    const joined = [...this.members.keys()].filter((key) => !before.has(key));
    const left = new Set([...before.keys()].filter((key) => !this.members.has(key)));
    joined.forEach((key) => this.hashes.set(key, hashOf(key)));
    left.forEach((key) => this.hashes.delete(key));
    return { joined, left };
  }

  private rank(id: ShardId, { joined, left }: MemberChanges): readonly Candidate[] {
    const known = this.candidates.get(id);
    if (!known) return this.rankAll(id);
    const stayed = left.size === 0 ? known : known.filter(({ key }) => !left.has(key));
    if (stayed.length < Math.min(OWNER_CANDIDATE_COUNT, this.members.size - joined.length)) {
      return this.rankAll(id);
    }
    return joined.length === 0 ? stayed : this.addCandidates(id, stayed, joined);
  }

  private rankAll(id: ShardId): readonly Candidate[] {
    return this.weighCandidates(id, [...this.members.keys()])
      .sort(byWeightDescending)
      .slice(0, MAX_CANDIDATE_COUNT);
  }

  /** Ranks new members, but none below the lowest kept rank, as unranked ones may precede them. */
  private addCandidates(
    id: ShardId,
    ranked: readonly Candidate[],
    joined: readonly string[],
  ): readonly Candidate[] {
    const weakest = ranked.at(-1);
    const everyoneRanked = ranked.length === this.members.size - joined.length;
    const added = this.weighCandidates(id, joined).filter(
      (candidate) => everyoneRanked || !weakest || byWeightDescending(candidate, weakest) < 0,
    );
    if (added.length === 0) return ranked;
    return [...ranked, ...added].sort(byWeightDescending).slice(0, MAX_CANDIDATE_COUNT);
  }

  private weighCandidates(id: ShardId, keys: readonly string[]): Candidate[] {
    const shardHash = hashOf(id);
    return keys.map((key) => ({ key, weight: pairHash(shardHash, this.hashes.get(key) ?? 0) }));
  }

  /**
   * Assigns each shard, in order of id, to its highest-weight candidate below the shard limit, or to
   * the first candidate if all are at the limit.
   */
  private assign(): Owners {
    const ids = [...this.candidates.keys()].sort();
    const maxOwned = Math.max(
      1,
      Math.ceil((MAX_OWNED_TO_MEAN_RATIO * ids.length) / this.members.size),
    );
    const owned = new Map<string, number>();
    const result = new Map<ShardId, readonly Member[]>();
    ids.forEach((id) => {
      const topCandidates = (this.candidates.get(id) ?? []).slice(0, OWNER_CANDIDATE_COUNT);
      const first =
        topCandidates.find(({ key }) => (owned.get(key) ?? 0) < maxOwned) ?? topCandidates[0];
      if (!first) return;
      owned.set(first.key, (owned.get(first.key) ?? 0) + 1);
      const ranked = topCandidates.flatMap(({ key }) => this.members.get(key) ?? []);
      const owner = this.members.get(first.key);
      if (owner) result.set(id, withStandbys(owner, ranked));
    });
    return result;
  }
}
