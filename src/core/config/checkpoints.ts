import type { Instant, Millis } from '../../model';

/** Number of checkpoints in the time for which the log keeps a record. */
const CHECKPOINTS_PER_RETENTION = 4;
/** Number of records after a checkpoint that makes the next one due at once. */
const MAX_RECORDS_BETWEEN_CHECKPOINTS = 500;
/** Maximum additional delay per rank. */
const MAX_RANK_STEP_MS: Millis = 5000;
/** Number of rank delays in a checkpoint interval; `MAX_RANK_STEP_MS` limits the delay. */
const RANK_STEPS_PER_INTERVAL = 64;
/** Number of attempts per interval to append a checkpoint that does not appear in the log. */
const RETRIES_PER_INTERVAL = 4;

/** The latest checkpoint that a node knows. */
export interface KnownCheckpoint {
  /** Offset up to which, exclusive, the checkpoint covers the stream. */
  readonly covered: number;
  readonly seenAt: Instant;
}

/**
 * Decides when this node appends a checkpoint. Nodes inform each other of the latest one, and each
 * delays its own in proportion to its rank, so that usually one node appends. Two checkpoints are
 * harmless.
 */
export class CheckpointSchedule {
  private constructor(
    private readonly interval: Millis,
    readonly known: KnownCheckpoint,
    /** Number of records read since the latest known checkpoint. */
    private readonly records: number,
    private readonly notBefore: Instant,
    /** Time since which this node has been able to append one; undefined while it is not. */
    private readonly ableSince: Instant | undefined,
  ) {}

  /** Returns the initial schedule; takes half an interval as the age of the last checkpoint. */
  static start(retention: Millis, now: Instant): CheckpointSchedule {
    const interval = retention / CHECKPOINTS_PER_RETENTION;
    const known = { covered: 0, seenAt: now - interval / 2 };
    return new CheckpointSchedule(interval, known, 0, now, undefined);
  }

  /** Adds to the number of records read; enough of them make a checkpoint due at once. */
  read(count: number, now: Instant): CheckpointSchedule {
    const { interval, known, notBefore, ableSince } = this;
    const records = this.records + count;
    const isDue =
      this.records < MAX_RECORDS_BETWEEN_CHECKPOINTS && records >= MAX_RECORDS_BETWEEN_CHECKPOINTS;
    const seenAt = isDue ? Math.min(known.seenAt, now - interval) : known.seenAt;
    return new CheckpointSchedule(interval, { ...known, seenAt }, records, notBefore, ableSince);
  }

  /** Records a checkpoint; ignores one that covers less, or covers the same and was seen later. */
  learn(other: KnownCheckpoint): CheckpointSchedule {
    const { interval, known, notBefore, ableSince } = this;
    if (other.covered < known.covered) return this;
    if (other.covered === known.covered && other.seenAt >= known.seenAt) return this;
    const records = other.covered > known.covered ? 0 : this.records;
    return new CheckpointSchedule(interval, other, records, notBefore, ableSince);
  }

  /** Sets whether this node is able to append; the delay by rank starts when it becomes able. */
  setAble(isAble: boolean, now: Instant): CheckpointSchedule {
    if (isAble === (this.ableSince !== undefined)) return this;
    const { interval, known, records, notBefore } = this;
    const ableSince = isAble ? now : undefined;
    return new CheckpointSchedule(interval, known, records, notBefore, ableSince);
  }

  /** Records that this node has appended one, and delays a retry until it should have appeared. */
  appended(now: Instant): CheckpointSchedule {
    const { interval, known, records, ableSince } = this;
    const notBefore = now + interval / RETRIES_PER_INTERVAL;
    return new CheckpointSchedule(interval, known, records, notBefore, ableSince);
  }

  /** Returns whether the node of this rank, from 0, should append a checkpoint now. */
  isDue(rank: number, now: Instant): boolean {
    if (this.ableSince === undefined || now < this.notBefore) return false;
    const dueAt = this.known.seenAt + this.interval;
    const step = Math.min(MAX_RANK_STEP_MS, this.interval / RANK_STEPS_PER_INTERVAL);
    return now >= Math.max(dueAt, this.ableSince) + rank * step;
  }
}
