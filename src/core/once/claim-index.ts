/** Indexes the first claim on each key of a range, as read from the log. */
import type { Incarnation, Instant, Millis, WallTime } from '../../model';

import type { AttemptNumber, ClaimRecord, KeyDigest } from './claim-record';

/** Number of periods into which the horizon is divided; expired claims are dropped by period. */
const SWEEPS_PER_HORIZON = 32;

/** The first claim on a key in the log: only this attempt of this node may run the key. */
export interface FirstClaim {
  readonly claimant: Incarnation;
  readonly attempt: AttemptNumber;
}

/** One instant, read from the node's monotonic clock and its wall clock. */
export interface ClockReading {
  readonly now: Instant;
  readonly wall: WallTime;
}

/** Times that bound how long claims are remembered, in milliseconds. */
export interface ClaimHorizon {
  /** Time in milliseconds for which a claim is remembered after it was appended to the log. */
  readonly horizon: Millis;
  /** Maximum difference in milliseconds between the wall clocks of two nodes. */
  readonly clockSkew: Millis;
}

/**
 * Builds the index from a range's stream in order of offset. The index covers its horizon when
 * every record that was trimmed before it could be read had been in the log for longer than that.
 */
export class ClaimIndex {
  private readonly claims = new Map<KeyDigest, FirstClaim>();

  /** Digests of claimed keys by the period in which they were read. */
  private readonly digestsByPeriod = new Map<number, KeyDigest[]>();

  /** Offset from which all records have been read without a gap; null before the first read. */
  private gaplessFrom: number | null = null;

  private nextOffset = 0;

  /** Earliest stamp by which all records below `gaplessFrom` were in the log. */
  private minStamp: WallTime = Infinity;

  constructor(private readonly limits: ClaimHorizon) {}

  /** Offset to read next. */
  get next(): number {
    return this.nextOffset;
  }

  get size(): number {
    return this.claims.size;
  }

  firstClaim(digest: KeyDigest): FirstClaim | undefined {
    return this.claims.get(digest);
  }

  /** Returns whether every claim that the horizon includes is in the index. */
  covers({ wall }: ClockReading): boolean {
    if (this.gaplessFrom === null) return false;
    const { horizon, clockSkew } = this.limits;
    return this.gaplessFrom === 0 || this.minStamp <= wall - horizon - clockSkew;
  }

  /** Continues at `offset`, the oldest in the log, after a gap. Claims read before stay known. */
  restart(offset: number): void {
    this.gaplessFrom = offset;
    this.nextOffset = offset;
    this.minStamp = Infinity;
  }

  /** Adds the record at offset `next`; null stands for a malformed one. */
  add(record: ClaimRecord | null, { now }: ClockReading): void {
    this.gaplessFrom ??= this.nextOffset;
    this.nextOffset += 1;
    if (!record) return;
    if (record.through >= this.gaplessFrom) this.minStamp = Math.min(this.minStamp, record.stamp);
    record.claims.forEach(([digest, attempt]) => {
      if (this.claims.has(digest)) return;
      this.claims.set(digest, { claimant: record.claimant, attempt });
      this.addToPeriod(digest, now);
    });
  }

  /** Records that the log has no record at `next` yet. */
  reachEnd(): void {
    this.gaplessFrom ??= this.nextOffset;
  }

  /** Drops claims that were read at least a horizon ago. */
  sweep({ now }: ClockReading): void {
    const due = this.periodOf(now) - SWEEPS_PER_HORIZON - 1;
    this.digestsByPeriod.forEach((digests, period) => {
      if (period > due) return;
      digests.forEach((digest) => this.claims.delete(digest));
      this.digestsByPeriod.delete(period);
    });
  }

  private addToPeriod(digest: KeyDigest, now: Instant): void {
    const period = this.periodOf(now);
    const digests = this.digestsByPeriod.get(period);
    if (digests) digests.push(digest);
    else this.digestsByPeriod.set(period, [digest]);
  }

  private periodOf(now: Instant): number {
    return Math.floor((now * SWEEPS_PER_HORIZON) / this.limits.horizon);
  }
}
