import type { Millis } from '../../model';

/** Time between two probes that a healthy node starts. */
export const PROBE_PERIOD: Millis = 200;
/** Time that a probed node has to answer before others are asked to probe it. */
export const DIRECT_TIMEOUT: Millis = 120;
/** Time in which a helper has to say that it had no answer either. */
export const HELPER_TIMEOUT: Millis = 80;
/** Time from the start of a probe to its verdict. */
export const MEMBER_PROBE_TIMEOUT_MS: Millis = 300;
export const HELPERS = 3;
/** Listed hosts that a node without others asks at once. */
export const SEEDS_AT_ONCE = 3;
/** Nodes that a stopping process tells. */
export const FAREWELLS = 6;
/** A gap between ticks that means this process was paused. */
export const PROCESS_PAUSE_MS: Millis = 400;
/** The highest local health score; timeouts are stretched by one more than the score. */
export const WORST_LOCAL_HEALTH = 4;
/** Nodes that get fresh news at once, and the least time between two such rounds. */
export const GOSSIP_FANOUT = 2;
export const GOSSIP_PERIOD: Millis = 400;
export const UPDATES_PER_MESSAGE = 4;
/** Times that news is passed on by each node, for each doubling of the fleet. */
const PASSES_PER_DOUBLING = 3;
/** How long a dead node is remembered, so that late news of it is not taken for new. */
export const DEAD_KEPT: Millis = 600_000;
/** Time between attempts to reach listed hosts that are not known to be live. */
export const SEED_PERIOD: Millis = 1000;
/** By how much the host list may be late with the departure of a host. */
export const HOST_LIST_LAG_MS: Millis = 60_000;
/** How long two views may differ before pages of state are exchanged, and how often. */
export const MISMATCH_ALLOWED: Millis = 4000;
export const PAGE_PERIOD: Millis = 1000;
export const UPDATES_PER_PAGE = 8;

const SUSPICION_PERIODS = 1.5;
const SUSPICION_STRETCH = 3;
const CONFIRMATIONS = 3;

export const passesFor = (members: number): number =>
  PASSES_PER_DOUBLING * Math.ceil(Math.log2(members + 1));

/**
 * How long a suspect has to refute: shorter the more members confirm the suspicion, longer in a
 * larger fleet, as news takes longer.
 */
export const suspicionTimeout = (confirmations: number, members: number): Millis => {
  const least = SUSPICION_PERIODS * Math.max(1, Math.log10(members)) * PROBE_PERIOD;
  const wanted = Math.min(CONFIRMATIONS, Math.max(0, members - 2));
  if (confirmations >= wanted) return least;
  const most = least * SUSPICION_STRETCH;
  return most - (most - least) * (Math.log(confirmations + 1) / Math.log(wanted + 1));
};
