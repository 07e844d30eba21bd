import type { Instant, Millis, ShardId } from '../model';

/** Time in milliseconds for which a reported load is used. */
const LOAD_TTL_MS: Millis = 1000;

/** Running and queued calls per slot of a shard; calls are queued above 1. */
export type Utilization = number;

/** Holds the last reported utilization of each shard. */
export class ShardLoads {
  private readonly reports = new Map<
    ShardId,
    { readonly utilization: Utilization; readonly at: Instant }
  >();

  record(shard: ShardId, utilization: Utilization, now: Instant): void {
    this.reports.set(shard, { utilization, at: now });
  }

  /** Returns the reported utilization; undefined without a recent report. */
  utilizationOf(shard: ShardId, now: Instant): Utilization | undefined {
    const entry = this.reports.get(shard);
    return entry && now - entry.at <= LOAD_TTL_MS ? entry.utilization : undefined;
  }

  /**
   * Returns the less loaded of two candidates, or the first if either load is unknown: power of two
   * choices (Mitzenmacher) on loads at most one second old.
   */
  lessLoaded<T extends { readonly id: ShardId }>(first: T, second: T, now: Instant): T {
    const [a, b] = [this.utilizationOf(first.id, now), this.utilizationOf(second.id, now)];
    if (a === undefined || b === undefined) return first;
    return b < a ? second : first;
  }
}
