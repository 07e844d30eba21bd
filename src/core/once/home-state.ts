/** One home as a node holds it: its ledger is here, or on its way here. */
import type { Incarnation, Instant, NodeIdentity } from '../../model';

import { type OutgoingHandover, type ReceivedLedger, IncomingHandover } from './handover';
import type { HandoverFrame } from './handover-message';
import { Ledger } from './ledger';
import type { EntryId, LedgerLimits } from './ledger-entry';

/** A home whose ledger is here; it starts requests while `giving` is null. */
export interface HeldHome {
  readonly kind: 'held';
  readonly home: Incarnation;
  readonly ledger: Ledger;
  readonly hops: number;
  readonly outgoing: OutgoingHandover | null;
  /** The node before in the line of heirs. */
  readonly predecessor: NodeIdentity | null;
  /** Requests in flight at a node before in the line. */
  readonly inFlightAtPredecessor: Set<EntryId>;
}

/** A home whose ledger is on its way here. */
export interface IncomingHome {
  readonly kind: 'taking';
  readonly home: Incarnation;
  readonly hops: number;
  readonly incoming: IncomingHandover;
  readonly predecessorDead: boolean;
}

export type Home = HeldHome | IncomingHome;

/** The home that a node issues keys for itself. */
export const ownHome = (home: Incarnation, limits: LedgerLimits, now: Instant): HeldHome => ({
  kind: 'held',
  home,
  ledger: Ledger.create(limits, now),
  hops: 0,
  outgoing: null,
  predecessor: null,
  inFlightAtPredecessor: new Set(),
});

/** The home of which `frame` is the first part to arrive. */
export const incomingHome = ({ home, hops, giver }: HandoverFrame): IncomingHome => ({
  kind: 'taking',
  home,
  hops,
  incoming: new IncomingHandover(giver),
  predecessorDead: false,
});

/** The home whose ledger has arrived whole. */
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

/** Whether nothing of the home is left to hand over or to hear of. */
export const isHandedOver = (home: Home): boolean =>
  home.kind === 'held' &&
  home.inFlightAtPredecessor.size === 0 &&
  home.outgoing?.finished !== false;
