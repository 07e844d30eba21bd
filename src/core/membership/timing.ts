import type { Millis } from '../../model';

/** Time in milliseconds between two probes of a node whose local health score is 0. */
export const PROBE_PERIOD_MS: Millis = 200;
/** Time in milliseconds that a probed node has to answer before helpers are asked. */
export const DIRECT_PROBE_TIMEOUT_MS: Millis = 120;
/** Time in milliseconds after which a helper without an answer sends a `nack`. */
export const HELPER_TIMEOUT_MS: Millis = 80;
/** Time in milliseconds from the start of a probe until it has failed. */
export const MEMBER_PROBE_TIMEOUT_MS: Millis = 300;
/** Number of helpers asked for each probe. */
export const HELPER_COUNT = 3;
/** Number of listed hosts that a node that knows no other node asks to join at once. */
export const JOIN_REQUEST_COUNT = 3;
/** Number of nodes that a stopping process notifies. */
export const STOP_NOTICE_COUNT = 6;
/** Gap in milliseconds between ticks above which this process counts as having been paused. */
export const PROCESS_PAUSE_MS: Millis = 400;
/** Highest local health score; timeouts are multiplied by one more than the score. */
export const MAX_LOCAL_HEALTH_SCORE = 4;
/** Least time in milliseconds between two rounds of gossip. */
export const GOSSIP_PERIOD_MS: Millis = 400;
/** Highest number of gossiped updates in a message; an `ack` may add its sender's own state. */
export const MAX_UPDATES_PER_MESSAGE = 4;
/** Number of times that each node sends an update, for each doubling of the fleet. */
const TRANSMISSIONS_PER_DOUBLING = 3;
/** Time in milliseconds for which a dead node is kept, so that late updates do not revive it. */
export const DEAD_RETENTION_MS: Millis = 600_000;
/** Time in milliseconds between attempts to contact listed hosts not known to be live. */
export const SEED_PERIOD_MS: Millis = 1000;
/**
 * The first of these times while a node knows no other node; each further one is twice as long, up
 * to `SEED_PERIOD_MS`. All hosts may have lost power at once, and start within a few 100 ms.
 */
export const INITIAL_JOIN_PERIOD_MS: Millis = 50;
/**
 * Time in milliseconds by which the host list may be late with the departure of a host. A node
 * known for less is not held leaving because of the list.
 */
export const HOST_LIST_LAG_MS: Millis = 60_000;
/** Time in milliseconds for which two views may differ before pages of state are exchanged. */
export const MISMATCH_TOLERANCE_MS: Millis = 4000;
/** Least time in milliseconds between two pages of state that a mismatch causes. */
export const STATE_PAGE_PERIOD_MS: Millis = 1000;
/** Highest number of updates in a page of state. */
export const MAX_UPDATES_PER_PAGE = 8;

/** Shortest suspicion timeout in a fleet of up to ten nodes, in probe periods. */
const MIN_SUSPICION_PROBE_PERIODS = 1.5;
/** Ratio of the longest suspicion timeout, without confirmations, to the shortest. */
const MAX_SUSPICION_RATIO = 3;
/** Number of confirmations after which the suspicion timeout is shortest. */
const MAX_CONFIRMATION_COUNT = 3;

/** Returns how often a node sends an update: logarithmic in the number of live members. */
export const maxTransmissions = (members: number): number =>
  TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(members + 1));

/**
 * Returns the time in milliseconds that a suspect has to refute: shorter the more members confirm
 * the suspicion, longer in a larger fleet, since gossip takes longer to reach every node.
 */
export const suspicionTimeout = (confirmations: number, members: number): Millis => {
  const least = MIN_SUSPICION_PROBE_PERIODS * Math.max(1, Math.log10(members)) * PROBE_PERIOD_MS;
  const wanted = Math.min(MAX_CONFIRMATION_COUNT, Math.max(0, members - 2));
  if (confirmations >= wanted) return least;
  const most = least * MAX_SUSPICION_RATIO;
  return most - (most - least) * (Math.log(confirmations + 1) / Math.log(wanted + 1));
};
