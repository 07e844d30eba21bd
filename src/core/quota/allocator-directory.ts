import { peerKey, type Incarnation, type Instant, type Millis } from '../../model';
import { rankedFor } from '../gateway';

import type { PartitionIndex, QuotaMember, QuotaTerms } from './terms';

/** Who grants the tokens of a partition now. */
export type AllocatorView =
  | { readonly kind: 'self' }
  | { readonly kind: 'peer'; readonly member: QuotaMember }
  /** Nobody until the lost allocator can't have run anything any more. */
  | { readonly kind: 'lost' }
  /** This host, which has just started or come back and claims the partition from `before`. */
  | { readonly kind: 'claiming'; readonly before: QuotaMember | undefined }
  /** This host takes itself for cut off from the others. */
  | { readonly kind: 'undecided' };

/** A member that died without having left. */
interface LostMember {
  readonly member: QuotaMember;
  readonly lostAt: Instant;
}

/**
 * Time in milliseconds without a datagram of any peer after which this host takes itself for cut
 * off. Peers probe each other every 200 ms; successors wait for longer than this.
 */
const CONTACT_TIMEOUT_MS: Millis = 1500;
/**
 * Time in milliseconds until a successor takes over where most members are lost, and for which lost
 * members count for that: this host is then more likely cut off itself.
 */
const MOST_LOST_WAIT_MS: Millis = 60_000;
/**
 * Time in milliseconds after its start, or after it was cut off, in which a host discovers the others
 * and they stop to grant what it is the allocator of. Callers are refused meanwhile; most members
 * are known after 100 ms.
 */
const SETTLE_MS: Millis = 400;

const addressOf = ({ address, peerPort }: QuotaMember): string =>
  peerKey({ address, peerPort, callerPort: 0 });

/**
 * Returns the members of the highest capacity. The requests of a whole data centre for tokens reach
 * one host, and a small one answers too late for those that wait.
 */
const largestOf = (members: readonly QuotaMember[]): readonly QuotaMember[] => {
  const highest = Math.max(...members.map(({ capacity = 0 }) => capacity));
  return members.filter(({ capacity = 0 }) => capacity === highest);
};

/**
 * Knows which host is the allocator of each partition: the first by rendezvous hashing among the
 * live members of its data centre, or of all if it has none. A lost member keeps its rank until it
 * has stopped by itself. Load pattern: hosts that are replaced, killed or cut off while the others
 * serve.
 */
export class AllocatorDirectory {
  /** Members that are alive or suspected, this host included. */
  private live = new Map<Incarnation, QuotaMember>();

  private readonly lost = new Map<Incarnation, LostMember>();

  private contactAt: Instant;

  private readyAt: Instant;

  /** Rankings by partition; cleared when the members or the lost ones change. */
  private readonly firstByPartition = new Map<PartitionIndex, QuotaMember | undefined>();

  /** Time from which the rankings have to be made again. */
  private rankedUntil: Instant = Number.POSITIVE_INFINITY;

  constructor(
    private readonly self: Incarnation,
    private readonly terms: QuotaTerms,
    now: Instant,
  ) {
    this.contactAt = now;
    this.readyAt = now + SETTLE_MS;
  }

  /** Takes in the members and their states. */
  onMembers(members: readonly QuotaMember[], now: Instant): void {
    const usable = members.filter(({ state }) => state === 'alive' || state === 'suspect');
    const leaving = members.filter(({ state }) => state === 'leaving');
    const before = this.live;
    // Where all leave, they go on together.
    const inUse = usable.length > 0 ? usable : leaving;
    this.live = new Map(inUse.map((member) => [member.incarnation, member]));
    const left = new Set(leaving.map(({ incarnation }) => incarnation));
    before.forEach((member, incarnation) => {
      if (this.live.has(incarnation) || left.has(incarnation) || incarnation === this.self) return;
      if (member.state !== 'leaving') this.lost.set(incarnation, { member, lostAt: now });
    });
    // A process at the same address follows on one that has ended.
    const taken = new Set(members.filter(({ state }) => state !== 'dead').map(addressOf));
    [...this.lost.values()]
      .filter(({ member }) => taken.has(addressOf(member)))
      .forEach(({ member }) => this.lost.delete(member.incarnation));
    this.invalidate();
  }

  /** Records that a datagram of a peer has arrived. */
  onContact(now: Instant): void {
    if (this.isCutOff(now)) this.readyAt = now + SETTLE_MS;
    this.contactAt = now;
  }

  /** Returns who grants the tokens of a partition. */
  allocatorOf(partition: PartitionIndex, now: Instant): AllocatorView {
    if (now >= this.rankedUntil) this.invalidate();
    if (!this.firstByPartition.has(partition)) {
      this.firstByPartition.set(partition, this.rank(partition, now));
    }
    const first = this.firstByPartition.get(partition);
    if (!first) return { kind: 'undecided' };
    if (!this.live.has(first.incarnation)) return { kind: 'lost' };
    if (first.incarnation !== this.self) return { kind: 'peer', member: first };
    if (this.isCutOff(now)) return { kind: 'undecided' };
    if (now >= this.readyAt) return { kind: 'self' };
    return { kind: 'claiming', before: this.firstOf(partition, [...this.live.values()], false) };
  }

  /** Whether this host hears from no peer, or has lost most of them. */
  isCutOff(now: Instant): boolean {
    const hasPeers = this.live.size > 1;
    return (hasPeers && now - this.contactAt > CONTACT_TIMEOUT_MS) || this.areMostLost(now);
  }

  private areMostLost(now: Instant): boolean {
    this.lost.forEach(({ lostAt }, incarnation) => {
      if (now >= lostAt + MOST_LOST_WAIT_MS) this.lost.delete(incarnation);
    });
    return this.lost.size > this.live.size;
  }

  private rank(partition: PartitionIndex, now: Instant): QuotaMember | undefined {
    const wait = this.areMostLost(now) ? MOST_LOST_WAIT_MS : this.terms.takeoverWait;
    const waitedFor = [...this.lost.values()].filter(({ lostAt }) => now < lostAt + wait);
    waitedFor.forEach(({ lostAt }) => {
      this.rankedUntil = Math.min(this.rankedUntil, lostAt + wait);
    });
    const candidates = [...this.live.values(), ...waitedFor.map(({ member }) => member)];
    return this.firstOf(partition, candidates, true);
  }

  /** Returns the first by rendezvous hashing, with or without this host. */
  private firstOf(
    partition: PartitionIndex,
    members: readonly QuotaMember[],
    isWithSelf: boolean,
  ): QuotaMember | undefined {
    const name = this.terms.partitions[partition] ?? '';
    const candidates = members.filter(({ incarnation }) => isWithSelf || incarnation !== this.self);
    const near =
      partition < this.terms.dataCentreCount
        ? candidates.filter(({ dataCentre }) => dataCentre === name)
        : [];
    return rankedFor(`quota ${name}`, largestOf(near.length > 0 ? near : candidates))[0];
  }

  private invalidate(): void {
    this.firstByPartition.clear();
    this.rankedUntil = Number.POSITIVE_INFINITY;
  }
}
