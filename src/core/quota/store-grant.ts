import type { Instant, Millis } from '../../model';

import type { AskRecord } from './ask-book';
import type { TokenGrant } from './messages';
import { delaysOf } from './token-runs';

/**
 * Time until a partition that gave too few tokens is asked again, as a ratio of the time that was
 * asked for in advance.
 */
const ASK_PAUSE_RATIO = 0.5;
/**
 * The same in milliseconds for a host that does not ask in advance: hundreds of hosts may share a
 * workspace above its quota.
 */
const MIN_ASK_PAUSE_MS: Millis = 200;

/** Adds the tokens of an answer to the stock, and what it says of the partition. */
export const storeGrant = (
  { ask, stock, askedAt }: AskRecord,
  { outcome, nextIn, runs }: TokenGrant,
  lease: Millis,
  now: Instant,
): void => {
  const tokens = delaysOf(runs.slice(0, ask.count))
    .slice(0, ask.count)
    .map((delay, index) => ({
      seq: ask.seq,
      index,
      usableFrom: now + delay,
      expiresAt: askedAt + delay + lease,
    }));
  stock.put(tokens.filter(({ expiresAt }) => expiresAt > now));
  switch (outcome) {
    case 'full':
      return;
    case 'elsewhere':
      stock.setPartition(ask.partition, { blockedUntil: now + nextIn, nextAt: undefined });
      return;
    case 'short': {
      const { horizon } = ask;
      const least = stock.isReserving(now) ? ASK_PAUSE_RATIO * horizon : MIN_ASK_PAUSE_MS;
      const pause = Math.max(least, nextIn - horizon);
      stock.setPartition(ask.partition, { blockedUntil: now + pause, nextAt: now + nextIn });
    }
  }
};
