import type { DataCentre, Incarnation, Member } from '../../model';
import { feedReadersOf } from '../gateway';

/** What is known when peers are chosen to be asked for a proof. */
export interface PeerChoice {
  readonly self: Incarnation;
  readonly dataCentre: DataCentre;
  readonly members: readonly Member[];
  /** The reader that sends this host the feeds, if one does. */
  readonly source: Incarnation | undefined;
  /** Whether a peer has lately not replied. */
  isSilent(peer: Incarnation): boolean;
  readonly random: () => number;
}

/**
 * Returns the peers to ask for a proof, the best first: this host's reader, the readers of its data
 * centre, its other hosts, those that lately did not reply, and those elsewhere, as messages between
 * data centres are expensive. Members that are taken for dead come last and not never, as a host
 * that was frozen may be wrong about them.
 */
export const peersToAsk = (choice: PeerChoice): readonly Member[] => {
  const { self, dataCentre, members, source, isSilent, random } = choice;
  const readers = new Set(feedReadersOf(members, dataCentre).map((reader) => reader.incarnation));
  const rankOf = (peer: Member): number => {
    if (peer.state === 'dead') return 5;
    if (peer.dataCentre !== dataCentre) return 4;
    if (isSilent(peer.incarnation)) return 3;
    if (peer.incarnation === source) return 0;
    return readers.has(peer.incarnation) ? 1 : 2;
  };
  return members
    .filter(({ incarnation }) => incarnation !== self)
    .map((peer) => ({ peer, rank: rankOf(peer) + random() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ peer }) => peer);
};
