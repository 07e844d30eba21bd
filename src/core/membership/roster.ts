import {
  peerKey,
  type Incarnation,
  type Instant,
  type Member,
  type MemberState,
  type NodeAddress,
  type NodeIdentity,
} from '../../model';
import { hashOf, pairHash } from '../hash';

import type { MemberUpdate } from './messages';

/** Describes a suspicion that the node has not refuted yet. */
export interface Suspicion {
  readonly startedAt: Instant;
  /** Time from which the node is held dead. */
  readonly deadline: Instant;
  /** Members that suspect the node, the first one included. */
  readonly confirmedBy: ReadonlySet<Incarnation>;
}

/** Describes one incarnation as this node sees it. */
export interface RosterEntry {
  readonly node: NodeIdentity;
  readonly state: MemberState;
  readonly refutation: number;
  /** Time at which this node first heard of it. */
  readonly knownSince: Instant;
  readonly suspicion?: Suspicion | undefined;
  /** Time from which a dead node is forgotten; undefined for live ones. */
  readonly forgetAt?: Instant | undefined;
}

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};
const STATE_COUNT = 4;

/** Returns whether an update is newer than the entry held of the same incarnation. */
export const supersedes = (update: MemberUpdate, known: RosterEntry): boolean => {
  if (update.refutation !== known.refutation) return update.refutation > known.refutation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
};

export const updateOf = ({ node, state, refutation }: RosterEntry): MemberUpdate => ({
  node,
  state,
  refutation,
});

/**
 * Returns the entry's part of the roster digest; 0 for a dead node. A suspect counts as alive,
 * since a suspicion is temporary and nodes learn of it at different times.
 */
const digestOf = ({ node, state, refutation }: RosterEntry): number => {
  if (state === 'dead') return 0;
  const rank = STATE_RANK[state === 'suspect' ? 'alive' : state];
  return pairHash(hashOf(node.incarnation), refutation * STATE_COUNT + rank);
};

/** Holds the incarnations known to this node, dead ones until they are forgotten. */
export class Roster {
  private readonly entries = new Map<Incarnation, RosterEntry>();

  /** Latest known incarnation at each peer address. */
  private readonly latestByAddress = new Map<string, Incarnation>();

  /** Each entry as a `Member`; the same object until its state changes. */
  private readonly membersByIncarnation = new Map<Incarnation, Member>();

  private cachedMembers: readonly Member[] | undefined;

  private cachedLive: readonly RosterEntry[] | undefined;

  /** The incarnations of the live entries by whether they are in one node's data centre. */
  private cachedNear: ReadonlyMap<boolean, readonly Incarnation[]> | undefined;

  /** XOR of the entries' digests; equal on nodes that hold the same live members and states. */
  digest = 0;

  /** Number of entries that are not dead. */
  liveCount = 0;

  /** Counter that rises when a member is added or forgotten or its state or refutation changes. */
  version = 0;

  /** Adds an entry, or replaces the one of the same incarnation. */
  put(entry: RosterEntry): void {
    const { incarnation } = entry.node;
    const known = this.entries.get(incarnation);
    this.digest = (this.digest ^ (known ? digestOf(known) : 0) ^ digestOf(entry)) >>> 0;
    this.entries.set(incarnation, entry);
    if (entry.state !== 'dead' || !this.liveAt(entry.node)) {
      this.latestByAddress.set(peerKey(entry.node), incarnation);
    }
    if (known?.state === entry.state && known.refutation === entry.refutation) return;
    this.liveCount +=
      Number(entry.state !== 'dead') - Number(known ? known.state !== 'dead' : false);
    if (known?.state !== entry.state) {
      this.membersByIncarnation.set(incarnation, { ...entry.node, state: entry.state });
    }
    this.version += 1;
    this.cachedMembers = undefined;
    this.cachedLive = undefined;
    this.cachedNear = undefined;
  }

  forget({ node }: RosterEntry): void {
    this.entries.delete(node.incarnation);
    this.membersByIncarnation.delete(node.incarnation);
    if (this.latestByAddress.get(peerKey(node)) === node.incarnation)
      this.latestByAddress.delete(peerKey(node));
    this.version += 1;
    this.cachedMembers = undefined;
  }

  get size(): number {
    return this.entries.size;
  }

  get(incarnation: Incarnation): RosterEntry | undefined {
    return this.entries.get(incarnation);
  }

  /** Returns the latest known incarnation at an address, live or dead. */
  lastAt(address: NodeAddress): RosterEntry | undefined {
    const incarnation = this.latestByAddress.get(peerKey(address));
    return incarnation === undefined ? undefined : this.entries.get(incarnation);
  }

  /** Returns the latest known incarnation at an address if it is not dead. */
  liveAt(address: NodeAddress): RosterEntry | undefined {
    const entry = this.lastAt(address);
    return entry && entry.state !== 'dead' ? entry : undefined;
  }

  all(): Iterable<RosterEntry> {
    return this.entries.values();
  }

  /** Returns the entries that are not dead. */
  live(): readonly RosterEntry[] {
    this.cachedLive ??= [...this.entries.values()].filter(({ state }) => state !== 'dead');
    return this.cachedLive;
  }

  /**
   * Returns the live incarnations in the data centre of `self`, or in all others, without `self`.
   * It is always asked for the same node.
   */
  liveOf(self: NodeIdentity, near: boolean): readonly Incarnation[] {
    if (!this.cachedNear) {
      const peers = this.live().filter(({ node }) => node.incarnation !== self.incarnation);
      const select = (isNear: boolean): readonly Incarnation[] =>
        peers
          .filter(({ node }) => (node.dataCentre === self.dataCentre) === isNear)
          .map(({ node }) => node.incarnation);
      this.cachedNear = new Map([
        [true, select(true)],
        [false, select(false)],
      ]);
    }
    return this.cachedNear.get(near) ?? [];
  }

  /** Returns all entries as members; the same array and objects until something changes. */
  members(): readonly Member[] {
    this.cachedMembers ??= [...this.membersByIncarnation.values()];
    return this.cachedMembers;
  }
}
