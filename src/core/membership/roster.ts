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

/** A suspicion that the node has not refuted yet. */
export interface Suspicion {
  readonly startedAt: Instant;
  /** Past it, the node is held dead. */
  readonly deadline: Instant;
  readonly confirmedBy: ReadonlySet<Incarnation>;
}

/** What is held of one incarnation. */
export interface Entry {
  readonly node: NodeIdentity;
  readonly state: MemberState;
  readonly refutation: number;
  readonly knownSince: Instant;
  readonly suspicion?: Suspicion | undefined;
  /** For a dead node: when it is forgotten. */
  readonly forgetAt?: Instant | undefined;
}

const RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };
const STATES = 4;

/** Whether an update is later news than what is held. */
export const isNews = (update: MemberUpdate, known: Entry): boolean => {
  if (update.refutation !== known.refutation) return update.refutation > known.refutation;
  return RANK[update.state] > RANK[known.state];
};

export const updateOf = ({ node, state, refutation }: Entry): MemberUpdate => ({
  node,
  state,
  refutation,
});

/** A suspect counts as alive, since suspicion is passing. */
const digestOf = ({ node, state, refutation }: Entry): number => {
  if (state === 'dead') return 0;
  const rank = RANK[state === 'suspect' ? 'alive' : state];
  return pairHash(hashOf(node.incarnation), refutation * STATES + rank);
};

/** The incarnations known to this node, the dead ones until they are forgotten. */
export class Roster {
  private readonly entries = new Map<Incarnation, Entry>();

  /** The last incarnation known at each peer address. */
  private readonly latest = new Map<string, Incarnation>();

  /** Each entry as others see it; the same object until its state changes. */
  private readonly views = new Map<Incarnation, Member>();

  private cached: readonly Member[] | undefined;

  private liveCached: readonly Entry[] | undefined;

  /** The same on nodes that hold the same live members in the same states. */
  digest = 0;

  /** How many are not held dead. */
  liveCount = 0;

  /** Rises whenever a member's state changes or one is added or forgotten. */
  version = 0;

  put(entry: Entry): void {
    const { incarnation } = entry.node;
    const known = this.entries.get(incarnation);
    this.digest = (this.digest ^ (known ? digestOf(known) : 0) ^ digestOf(entry)) >>> 0;
    this.entries.set(incarnation, entry);
    if (entry.state !== 'dead' || !this.liveAt(entry.node)) {
      this.latest.set(peerKey(entry.node), incarnation);
    }
    if (known?.state === entry.state && known.refutation === entry.refutation) return;
    this.liveCount +=
      Number(entry.state !== 'dead') - Number(known ? known.state !== 'dead' : false);
    if (known?.state !== entry.state) {
      this.views.set(incarnation, { ...entry.node, state: entry.state });
    }
    this.version += 1;
    this.cached = undefined;
    this.liveCached = undefined;
  }

  forget({ node }: Entry): void {
    this.entries.delete(node.incarnation);
    this.views.delete(node.incarnation);
    if (this.latest.get(peerKey(node)) === node.incarnation) this.latest.delete(peerKey(node));
    this.version += 1;
    this.cached = undefined;
  }

  get size(): number {
    return this.entries.size;
  }

  get(incarnation: Incarnation): Entry | undefined {
    return this.entries.get(incarnation);
  }

  /** The last incarnation known at an address, live or dead. */
  lastAt(address: NodeAddress): Entry | undefined {
    const incarnation = this.latest.get(peerKey(address));
    return incarnation === undefined ? undefined : this.entries.get(incarnation);
  }

  liveAt(address: NodeAddress): Entry | undefined {
    const entry = this.lastAt(address);
    return entry && entry.state !== 'dead' ? entry : undefined;
  }

  all(): Iterable<Entry> {
    return this.entries.values();
  }

  /** All that are not held dead. */
  live(): readonly Entry[] {
    this.liveCached ??= [...this.entries.values()].filter(({ state }) => state !== 'dead');
    return this.liveCached;
  }

  /** All, as others see them; the same array until something changes, the same member too. */
  members(): readonly Member[] {
    this.cached ??= [...this.views.values()];
    return this.cached;
  }
}
