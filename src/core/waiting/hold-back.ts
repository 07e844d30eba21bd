/**
 * Returns whether a host should hold back a request because other hosts report a more urgent one
 * that waits or is refused there; undefined if none do. `owedStarts` is the number of starts by
 * which the request's groups are behind their minimum share here; while one is owed, nothing is
 * held back. Load pattern: callers of urgent requests know other hosts than those of less urgent
 * ones, and all hosts send to the same full upstreams.
 */
export const holdsBack = (
  priority: number,
  mostUrgentWaitingAtPeers: number | undefined,
  owedStarts: number,
): boolean =>
  mostUrgentWaitingAtPeers !== undefined && mostUrgentWaitingAtPeers < priority && owedStarts <= 0;
