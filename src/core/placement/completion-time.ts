import type { CostEstimate } from '../cost';
import type { Instant, Millis } from '../../model';

import type { ServiceCosts } from './placement';
import type { UpstreamStats } from './upstream-stats';

/** The work that is to be done at an upstream before and with a request, in milliseconds. */
export interface ExpectedWork {
  /** Remaining work of the requests in flight there. */
  readonly pending: Millis;
  /** Time that the request is expected to wait for a slot. */
  readonly wait: Millis;
  /** Time that it is expected to run. */
  readonly run: Millis;
}

/** Returns the expected work at an upstream whose load, as a number of requests, is known. */
export const expectedWork = (
  stats: UpstreamStats,
  cost: CostEstimate,
  { usualRemaining, slowdown }: ServiceCosts,
  load: number,
  now: Instant,
): ExpectedWork => {
  const { slots } = stats.upstream;
  const speed = stats.speed.ratio;
  const remote = Math.max(0, load - stats.work.count);
  const pending = stats.work.remaining(speed, now) + remote * usualRemaining * speed;
  const queued = load + 1 - slots;
  const wait = queued > 0 ? (pending / slots) * (queued / Math.max(1, load)) : 0;
  const run = cost.expectedMs * speed * slowdown.ratio((load + 1) / slots);
  return { pending, wait, run };
};
