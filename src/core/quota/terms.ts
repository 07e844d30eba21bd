import type {
  DataCentre,
  GatewayBounds,
  Incarnation,
  Member,
  Millis,
  WorkspaceQuota,
} from '../../model';
import { MILLIS_PER_SECOND } from '../../model';

/** Index of a partition in `QuotaTerms.partitions`. */
export type PartitionIndex = number;

/** What all hosts know alike of how quotas are divided and leased. */
export interface QuotaTerms {
  /** Names of the partitions; those of data centres first. */
  readonly partitions: readonly string[];
  /** Number of the first partitions that belong to data centres. */
  readonly dataCentreCount: number;
  /** Time for which a token may be used, counted from the moment at which its host asked. */
  readonly lease: Millis;
  /** Length of the window over which a quota is counted. */
  readonly window: Millis;
  /** Ratio by which the tokens of a window may exceed what a quota allows in it. */
  readonly excessRatio: number;
  /** Number of tokens by which those of a window may exceed that in addition. */
  readonly excessTokens: number;
  /**
   * Whether buckets start with one token. Workspaces with less than a request a second would wait
   * for seconds after a restart of all hosts.
   */
  readonly startsWithToken: boolean;
  /** Time after which a lost allocator has stopped by itself. */
  readonly takeoverWait: Millis;
}

/** A member as the parts of the quotas know it. */
export type QuotaMember = Pick<
  Member,
  'incarnation' | 'address' | 'peerPort' | 'datagramVersion' | 'dataCentre' | 'capacity' | 'state'
>;

/** Interval between two tokens of a bucket, and the number that it holds when full. */
export interface BucketRate {
  readonly interval: Millis;
  readonly capacity: number;
}

/** Identifies a grant at the allocator: the host that asked, and its number for the request. */
export interface GrantId {
  readonly sender: Incarnation;
  readonly seq: number;
}

/** Fewest partitions, so that the loss of one leaves a workspace at 1/1.6 of its quota unharmed. */
const MIN_PARTITION_COUNT = 3;
/**
 * Time in milliseconds for which a token is leased, which leaves time for datagrams between data
 * centres. A longer one would leave less of the bound for bursts.
 */
const LEASE_MS: Millis = 250;
/** Milliseconds by which a lease is shorter, as messages round times up to a millisecond. */
const LEASE_MARGIN_MS: Millis = 2;
/**
 * Ratio of the quota's excess count that buckets use; the rest is left for the time for which a
 * partition has two allocators, and for the first tokens after a restart.
 */
const BUCKET_EXCESS_RATIO = 0.75;
/** Part of those tokens by which a bucket holds more than the burst. */
const HELD_EXCESS_RATIO = 0.33;
/** Time in milliseconds after which a lost allocator is taken over without a revocation bound. */
const DEFAULT_TAKEOVER_WAIT_MS: Millis = 10_000;

/** Returns the terms that follow from the settings that all hosts share. */
export const quotaTermsOf = (
  dataCentres: readonly DataCentre[],
  bounds: Pick<
    GatewayBounds,
    'quotaWindow' | 'quotaExcessRatio' | 'quotaExcessCount' | 'keyRevocationTime'
  >,
): QuotaTerms => {
  const spare = Math.max(0, MIN_PARTITION_COUNT - dataCentres.length);
  return {
    partitions: [...dataCentres, ...Array.from({ length: spare }, (_, i) => `spare-${i}`)],
    dataCentreCount: dataCentres.length,
    lease: LEASE_MS - LEASE_MARGIN_MS,
    window: bounds.quotaWindow,
    excessRatio: bounds.quotaExcessRatio,
    excessTokens: BUCKET_EXCESS_RATIO * bounds.quotaExcessCount,
    startsWithToken:
      (1 - BUCKET_EXCESS_RATIO) * bounds.quotaExcessCount >=
      Math.max(MIN_PARTITION_COUNT, dataCentres.length),
    takeoverWait: bounds.keyRevocationTime ?? DEFAULT_TAKEOVER_WAIT_MS,
  };
};

/**
 * Returns the rate of a workspace's bucket in one partition. It holds the burst, and refills as fast
 * as the bound allows with a full bucket, but no faster than the rate and the burst in each window.
 * The runs of a window fall under the grants of the window and of one lease before it.
 */
export const bucketRateOf = (
  { rate, burst }: WorkspaceQuota,
  { partitions, window, excessRatio, excessTokens }: QuotaTerms,
): BucketRate => {
  const { length } = partitions;
  const perWindow = (rate * window) / MILLIS_PER_SECOND + burst;
  const held = Math.max(length, burst + HELD_EXCESS_RATIO * excessTokens);
  const bound = perWindow * (1 + excessRatio) + excessTokens;
  const perMs = Math.min(perWindow / window, (bound - held) / (window + LEASE_MS));
  // A bucket of each partition holds one token at least, which must not slow down small quotas.
  const minRatio = Math.min(1, ((1 + excessRatio) * window) / (window + LEASE_MS));
  const slowest = (minRatio * rate) / MILLIS_PER_SECOND;
  return { interval: length / Math.max(slowest, perMs), capacity: held / length };
};
