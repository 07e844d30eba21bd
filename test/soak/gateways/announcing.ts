/** Faults in which an upstream announces something of itself in its answers. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { LimitPeriod } from './outcome-recorder';
import type { ProxiedUpstream } from './proxied-upstream';

/** Time for which an upstream announces a limit, and after which the limit binds. */
const LIMIT_MS = 9000;
const STABILITY_WINDOW_MS = 3000;
/** Time for which an upstream says that it leaves before it is started again. */
const LEAVING_MS = 4000;
const PAUSE_S = 1.5;

/** Whether the upstream announces nothing yet. */
const isFree = (proxied: ProxiedUpstream | undefined): proxied is ProxiedUpstream =>
  proxied?.isActive === true && proxied.upstream.announces.length === 0;

/** Lets an upstream announce a limit; returns the period in which it binds. */
export const announceLimit = async (
  proxied: ProxiedUpstream | undefined,
  perSecond: number,
): Promise<readonly LimitPeriod[]> => {
  if (!isFree(proxied)) return [];
  const { upstream } = proxied;
  const from = Date.now() + STABILITY_WINDOW_MS;
  Object.assign(upstream, { announces: [`Server-Limit: ${perSecond}`] });
  await sleep(LIMIT_MS);
  const until = Date.now();
  Object.assign(upstream, { announces: [] });
  return [{ id: upstream.id, perSecond, from, until }];
};

/** Lets an upstream shed with a pause for `durationMs`. */
export const askForPause = async (
  proxied: ProxiedUpstream | undefined,
  durationMs: number,
): Promise<void> => {
  if (!isFree(proxied)) return;
  Object.assign(proxied.upstream, { mood: 'sheds', announces: [`Retry-After: ${PAUSE_S}`] });
  await sleep(durationMs);
  Object.assign(proxied.upstream, { mood: 'well', announces: [] });
};

/** Lets an upstream say that it leaves, with its registration unchanged, and starts it again. */
export const sayLeaving = async (proxied: ProxiedUpstream | undefined): Promise<void> => {
  if (!isFree(proxied)) return;
  Object.assign(proxied, { isActive: false });
  Object.assign(proxied.upstream, { announces: ['Server-Leaving: 1'] });
  await sleep(LEAVING_MS);
  Object.assign(proxied.upstream, { announces: [] });
  proxied.rejoin();
};
