/** The parts of a node that see to it that keyed requests start at most once. */
import { HttpPlatformLog } from '../adapters';
import { DEFAULT_CLAIM_LIMITS, DEFAULT_LEDGER_LIMITS, formatKeyPrefix, Homes } from '../core';
import type { Member, Settings } from '../model';
import type { Handler, PeerLink } from '../ports';
import { ClaimantTask, HandoverTask, HomeTask, type HandoverEffect } from '../tasks';

import type { NodeContext } from './context';

/** Claims are remembered for this part of the log's retention, so that none is trimmed early. */
const HORIZON_OF_RETENTION = 0.5;

/** Home, handover and claimant, and what they need of the node. */
export interface Keys {
  readonly home: HomeTask;
  readonly handover: HandoverTask;
  readonly claimant: ClaimantTask;
  /** The prefix of keys homed here that is given out now. */
  prefix(): string;
  updateMembers(members: readonly Member[]): void;
  close(): void;
}

/** Makes the parts for keys; `run` dispatches a call that may start. */
export const createKeys = (
  settings: Settings,
  context: NodeContext,
  peers: PeerLink,
  run: Handler,
): Keys => {
  const { self, clock } = context;
  const { log: url, timeout, retention } = settings.platform;
  const limits = DEFAULT_LEDGER_LIMITS;
  const homes = new Homes(self, limits, clock.now());
  const carriers: ((effect: HandoverEffect) => void)[] = [];
  const home = new HomeTask({
    ...context,
    homes,
    maxBodyBytes: limits.maxBodyBytes,
    run,
    forward: (to, call, body, signal) =>
      peers.call({ ...to, state: 'alive' }, 'home', call, body, signal),
    carry: (effect) => carriers.forEach((carry) => carry(effect)),
  });
  const handover = new HandoverTask({
    ...context,
    peers,
    successorRecordTtl: limits.startWindow + limits.retention,
    apply: (event) => home.apply(event),
    isHandedOver: () => homes.handedOver,
  });
  carriers.push((effect) => handover.carry(effect));
  const claimant = new ClaimantTask({
    ...context,
    log: new HttpPlatformLog({ url, timeout, clock }),
    peers,
    claimLimits: { ...DEFAULT_CLAIM_LIMITS, horizon: retention * HORIZON_OF_RETENTION },
    ledgerLimits: limits,
    run,
  });
  return {
    home,
    handover,
    claimant,
    prefix: () => formatKeyPrefix(self.incarnation, clock.now(), limits.startWindow),
    updateMembers: (members) => {
      handover.updateMembers(members);
      claimant.updateMembers(members);
    },
    close: () => {
      handover.close();
      claimant.close();
    },
  };
};
