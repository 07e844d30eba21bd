/** State of one home at a node that holds its ledger or is receiving it. */
import type { Incarnation, Instant, NodeIdentity } from '../../model';

import { type OutgoingHandover, type ReceivedLedger, IncomingHandover } from './handover';
import type { HandoverFrame } from './handover-message';
import { Ledger } from './ledger';
import type { EntryId, LedgerLimits } from './ledger-entry';

/** A home whose ledger this node holds; it starts requests while `outgoing` is null. */
export interface HeldHome {
  readonly kind: 'held';
  readonly home: Incarnation;
  readonly ledger: Ledger;
  /** Number of times that the home has been handed over. */
  readonly hops: number;
  /** The handover to the successor; null before it starts. */
  readonly outgoing: OutgoingHandover | null;
  /** The node that handed the home to this one; null at the node that issued its keys. */
  readonly predecessor: NodeIdentity | null;
  /** Entries whose requests were in flight at a previous holder and have no result here yet. */
  readonly inFlightAtPredecessor: Set<EntryId>;
}

/** A home whose ledger this node is receiving. */
export interface IncomingHome {
  readonly kind: 'taking';
  readonly home: Incarnation;
  readonly hops: number;
  readonly incoming: IncomingHandover;
  readonly predecessorDead: boolean;
}

/** State of a home: `held` when this node has the ledger, `taking` while it receives it. */
export type Home = HeldHome | IncomingHome;

/** Creates the home for the keys that this node issues itself. */
export const ownHome = (home: Incarnation, limits: LedgerLimits, now: Instant): HeldHome => ({
  kind: 'held',
  home,
  ledger: Ledger.create(limits, now),
  hops: 0,
  outgoing: null,
  predecessor: null,
  inFlightAtPredecessor: new Set(),
});

/** Creates the home of a ledger of which `frame` is the first frame to arrive. */
export const incomingHome = ({ home, hops, giver }: HandoverFrame): IncomingHome => ({
  kind: 'taking',
  home,
  hops,
  incoming: new IncomingHandover(giver),
  predecessorDead: false,
});

/** Creates the home from a ledger of which all frames have arrived. */
export const inheritedHome = (
  { home, hops, incoming }: IncomingHome,
  { header, entries }: ReceivedLedger,
  limits: LedgerLimits,
  now: Instant,
): HeldHome => {
  const ledger = Ledger.inherit(limits, header, now);
  entries.forEach((entry) => ledger.adopt(entry));
  const inFlight = entries.filter(({ settlement }) => !settlement).map(({ id }) => id);
  const inFlightAtPredecessor = new Set(inFlight);
  return {
    kind: 'held',
    home,
    ledger,
    hops,
    outgoing: null,
    predecessor: incoming.predecessor,
    inFlightAtPredecessor,
  };
};

/**
 * Returns whether the home has nothing left to send and awaits no results of its predecessor.
 * A home without an outgoing handover has nothing to send.
 */
export const isHandedOver = (home: Home): boolean =>
  home.kind === 'held' &&
  home.inFlightAtPredecessor.size === 0 &&
  home.outgoing?.finished !== false;
