/** The parts of a node that ensure that a request with an idempotency key starts at most once. */
import { HttpPlatformLog } from '../adapters';
import { DEFAULT_CLAIM_LIMITS, DEFAULT_LEDGER_LIMITS, formatKeyPrefix, Homes } from '../core';
import type { Member, Settings } from '../model';
import type { Handler, PeerLink } from '../ports';
import { ClaimantTask, HandoverTask, HomeTask, type HandoverEffect } from '../tasks';

import type { NodeContext } from './context';

/**
 * Ratio of the time for which claims are kept to the log's retention. It is below 1 so that no
 * claim is trimmed while it still counts.
 */
const CLAIM_HORIZON_RATIO = 0.5;

/** Holds the tasks for keyed requests. */
export interface KeyTasks {
  readonly home: HomeTask;
  readonly handover: HandoverTask;
  readonly claimant: ClaimantTask;
  /** Returns the prefix that callers are now given for keys whose home is this node. */
  currentPrefix(): string;
  /** Passes the members now known to the tasks. */
  updateMembers(members: readonly Member[]): void;
  close(): void;
}

/** Creates the tasks for keyed requests; `run` dispatches a call that may start. */
export const createKeyTasks = (
  settings: Settings,
  context: NodeContext,
  peers: PeerLink,
  run: Handler,
): KeyTasks => {
  const { self, clock } = context;
  const { log: url, timeout, retention } = settings.platform;
  const limits = DEFAULT_LEDGER_LIMITS;
  const homes = new Homes(self, limits, clock.now());
  // The home task is created first, so that its effects find the handover task through this list.
  const effectListeners: ((effect: HandoverEffect) => void)[] = [];
  const home = new HomeTask({
    ...context,
    homes,
    maxBodyBytes: limits.maxBodyBytes,
    run,
    forward: (to, call, body, signal) =>
      peers.call({ ...to, state: 'alive' }, 'home', call, body, signal),
    onHandoverEffect: (effect) => effectListeners.forEach((listener) => listener(effect)),
  });
  const handover = new HandoverTask({
    ...context,
    peers,
    successorRecordTtl: limits.startWindow + limits.retention,
    apply: (event) => home.apply(event),
    isHandedOver: () => homes.handedOver,
  });
  effectListeners.push((effect) => handover.carryOut(effect));
  const claimant = new ClaimantTask({
    ...context,
    log: new HttpPlatformLog({ url, timeout, clock }),
    peers,
    claimLimits: { ...DEFAULT_CLAIM_LIMITS, horizon: retention * CLAIM_HORIZON_RATIO },
    ledgerLimits: limits,
    run,
  });
  return {
    home,
    handover,
    claimant,
    currentPrefix: () => formatKeyPrefix(self.incarnation, clock.now(), limits.startWindow),
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
