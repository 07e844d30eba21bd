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
  /** Ratio of the quota's rate at which buckets refill. */
  readonly refillRatio: number;
  /** Tokens that the buckets of a workspace hold together in addition to its burst. */
  readonly extraTokens: number;
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
/** Shortest lease in milliseconds, which leaves time for datagrams between data centres. */
const MIN_LEASE_MS: Millis = 250;
/** Milliseconds by which a lease is shorter, as messages round times up to a millisecond. */
const LEASE_MARGIN_MS: Millis = 2;
/**
 * Ratio of the quota's excess count that buckets may hold; the rest is left for the time for which
 * a partition has two allocators.
 */
const BUCKET_EXCESS_RATIO = 0.5;
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
  const lease = Math.max(MIN_LEASE_MS, bounds.quotaExcessRatio * bounds.quotaWindow);
  const allowedRatio = (1 + bounds.quotaExcessRatio) * bounds.quotaWindow;
  return {
    partitions: [...dataCentres, ...Array.from({ length: spare }, (_, i) => `spare-${i}`)],
    dataCentreCount: dataCentres.length,
    lease: lease - LEASE_MARGIN_MS,
    // The runs of a window fall under the grants of the window and of one lease before it.
    refillRatio: Math.min(1, allowedRatio / (bounds.quotaWindow + lease)),
    extraTokens: BUCKET_EXCESS_RATIO * bounds.quotaExcessCount,
    takeoverWait: bounds.keyRevocationTime ?? DEFAULT_TAKEOVER_WAIT_MS,
  };
};

/** Returns the rate of a workspace's bucket in one partition. */
export const bucketRateOf = (
  { rate, burst }: WorkspaceQuota,
  { partitions, refillRatio, extraTokens }: QuotaTerms,
): BucketRate => ({
  interval: (MILLIS_PER_SECOND * partitions.length) / (rate * refillRatio),
  capacity: Math.max(1, (burst + extraTokens) / partitions.length),
});
