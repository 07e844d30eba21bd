import type { Instant, Millis, WorkspaceName, WorkspaceQuota } from '../../model';

import type { TokenAsk, TokenGrant, TokenReturn } from './messages';
import { SlotBucket } from './slot-bucket';
import { bucketRateOf, type GrantId, type PartitionIndex, type QuotaTerms } from './terms';
import { slotRunsOf } from './token-runs';

/** A grant that may be asked for again, as its answer was lost, or returned. */
interface RecentGrant {
  readonly bucket: SlotBucket;
  readonly slots: readonly Instant[];
  readonly answer: TokenGrant;
  readonly returned: Set<number>;
}

/** The buckets of a partition that this host is the allocator of. */
interface Duty {
  readonly since: Instant;
  readonly buckets: Map<WorkspaceName, SlotBucket>;
}

/** Time in milliseconds after which a host may ask again that has asked the wrong one. */
const ELSEWHERE_RETRY_MS: Millis = 250;
/** Most tokens in one grant, a bound for messages of a faulty sender. */
const MAX_GRANT_COUNT = 1000;
/** Time in milliseconds for which grants are remembered at least: twice the usual lease. */
const MEMORY_MS: Millis = 1000;
/** Number of buckets that are checked for removal when a bucket is added. */
const SWEEP_COUNT = 4;

/** Removes some buckets that are full, which are the same when they are created again. */
const sweepFull = (buckets: Map<WorkspaceName, SlotBucket>, now: Instant): void => {
  let left = SWEEP_COUNT;
  for (const [workspace, bucket] of buckets) {
    if (left === 0) return;
    left -= 1;
    buckets.delete(workspace);
    if (!bucket.isFull(now)) buckets.set(workspace, bucket);
  }
};

/**
 * Grants tokens of the partitions that this host is the allocator of. A request that comes again gets
 * the same answer, and a token is returned once, so that doubled datagrams grant nothing twice. Load
 * pattern: many hosts that ask for few tokens of many workspaces, over a network that loses some
 * datagrams.
 */
export class QuotaAllocator {
  private readonly duties = new Map<PartitionIndex, Duty>();

  private recent = new Map<string, RecentGrant>();

  private previous = new Map<string, RecentGrant>();

  private rotatedAt: Instant = 0;

  constructor(
    private readonly terms: QuotaTerms,
    /** Returns a workspace's quota in the configuration in force. */
    private readonly quotaOf: (workspace: WorkspaceName) => WorkspaceQuota | undefined,
  ) {}

  /** Whether this host is the allocator of a partition. */
  isOn(partition: PartitionIndex): boolean {
    return this.duties.has(partition);
  }

  /** Becomes the allocator of a partition, whose buckets start empty. */
  begin(partition: PartitionIndex, now: Instant): void {
    this.duties.set(partition, { since: now, buckets: new Map() });
  }

  /** Ceases to be the allocator of a partition. */
  end(partition: PartitionIndex): void {
    this.duties.delete(partition);
  }

  /** Number of buckets in use; those that are full are not kept. */
  get bucketCount(): number {
    return [...this.duties.values()].reduce((sum, { buckets }) => sum + buckets.size, 0);
  }

  /** Grants as many of the tokens asked for as there are. */
  grant(ask: TokenAsk, { sender, seq }: GrantId, now: Instant): TokenGrant {
    this.rotate(now);
    const key = `${sender} ${seq}`;
    const known = this.recent.get(key) ?? this.previous.get(key);
    if (known) return known.answer;
    const bucket = this.bucketOf(ask, now);
    if (!bucket) return { seq, outcome: 'elsewhere', nextIn: ELSEWHERE_RETRY_MS, runs: [] };
    const count = Math.min(ask.count, MAX_GRANT_COUNT);
    const latest = now + Math.min(ask.horizon, this.terms.lease);
    const due = bucket.grant(count, latest, now);
    const { runs, slotCount } = slotRunsOf(due, now);
    bucket.free(due.slice(slotCount));
    const slots = due.slice(0, slotCount);
    const isShort = slots.length < count;
    const nextIn = isShort ? Math.ceil(bucket.timeToNext(now)) : 0;
    const answer: TokenGrant = { seq, outcome: isShort ? 'short' : 'full', nextIn, runs };
    this.recent.set(key, { bucket, slots, answer, returned: new Set() });
    return answer;
  }

  /** Takes back unused tokens of a grant made here; others are ignored. */
  takeBack({ first, count }: TokenReturn, { sender, seq }: GrantId): void {
    const key = `${sender} ${seq}`;
    const known = this.recent.get(key) ?? this.previous.get(key);
    if (!known) return;
    const { slots, returned, bucket } = known;
    const end = Math.min(slots.length, first + count);
    const freed: Instant[] = [];
    for (let i = first; i < end; i++) {
      const slot = slots[i];
      if (slot !== undefined && !returned.has(i)) freed.push(slot);
      returned.add(i);
    }
    bucket.free(freed);
  }

  private rotate(now: Instant): void {
    if (now - this.rotatedAt < MEMORY_MS) return;
    this.previous = this.recent;
    this.recent = new Map();
    this.rotatedAt = now;
  }

  private bucketOf({ partition, workspace }: TokenAsk, now: Instant): SlotBucket | undefined {
    const duty = this.duties.get(partition);
    const quota = this.quotaOf(workspace);
    if (!duty || !quota) return undefined;
    const rate = bucketRateOf(quota, this.terms);
    const known = duty.buckets.get(workspace);
    if (known) {
      const { interval, capacity } = known.rate;
      if (interval !== rate.interval || capacity !== rate.capacity) known.setRate(rate, now);
      return known;
    }
    // A third of the way apart, the partitions' first tokens come at the pace of the whole quota.
    const { startsWithToken, partitions } = this.terms;
    const startRatio = startsWithToken ? 0 : 1 - partition / partitions.length;
    const created = new SlotBucket(rate, duty.since + startRatio * rate.interval);
    sweepFull(duty.buckets, now);
    duty.buckets.set(workspace, created);
    return created;
  }
}
