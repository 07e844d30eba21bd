import type { Instant, Millis, ShardId } from '../model';

const LOAD_TTL_MS: Millis = 1000;

/** Taken and waiting calls for each slot of a shard; over 1 there is a queue. */
export type Utilization = number;

/** The pressure last heard of each shard. */
export class ShardLoads {
  private readonly reports = new Map<
    ShardId,
    { readonly utilization: Utilization; readonly at: Instant }
  >();

  record(shard: ShardId, utilizationOf: Utilization, now: Instant): void {
    this.reports.set(shard, { utilization: utilizationOf, at: now });
  }

  /** None when nothing was heard of late. */
  utilizationOf(shard: ShardId, now: Instant): Utilization | undefined {
    const entry = this.reports.get(shard);
    return entry && now - entry.at <= LOAD_TTL_MS ? entry.utilization : undefined;
  }

  /**
   * The less pressed of two candidates; the first when either is unknown. Power of two choices
   * (Mitzenmacher) on load no older than a second.
   */
  lessLoaded<T extends { readonly id: ShardId }>(first: T, second: T, now: Instant): T {
    const [a, b] = [this.utilizationOf(first.id, now), this.utilizationOf(second.id, now)];
    if (a === undefined || b === undefined) return first;
    return b < a ? second : first;
  }
}
