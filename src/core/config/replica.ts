import type { Config, PublishId, Tip } from '../../model';

import type { ConfigCount, StreamBatch } from './event';
import {
  applyAccepted,
  foldRecord,
  isNextChange,
  advancedTo,
  STREAM_START,
  usableCheckpoint,
  type AcceptedChange,
  type PositionedConfig,
} from './fold';

/** A gap in what this node has read: records that the log trimmed before. */
interface Gap {
  /** Oldest offset in the log. */
  readonly first: number;
  /** Offset at which the search for a checkpoint continues. */
  readonly searchFrom: number;
}

/** A replica after an update, and the effects of the update. */
export interface ReplicaStep {
  readonly replica: Replica;
  /** Changes that have been accepted, in order. */
  readonly accepted: readonly AcceptedChange[];
  /** Publications that were rejected because they did not build on the current version. */
  readonly conflicts: readonly PublishId[];
  /** Whether a whole newer configuration has been adopted. */
  readonly replaced: boolean;
  /** Events to count in metrics. */
  readonly counts: readonly ConfigCount[];
  /** Number of records read in order, including rejected ones and checkpoints. */
  readonly records: number;
  /** Highest offset that a checkpoint among them covers, exclusive; undefined without one. */
  readonly checkpoint: number | undefined;
  /** Whether the update reached the end of the stream. */
  readonly atEnd: boolean;
}

const unchanged = (replica: Replica, ...counts: readonly ConfigCount[]): ReplicaStep => ({
  replica,
  accepted: [],
  conflicts: [],
  replaced: false,
  counts,
  records: 0,
  checkpoint: undefined,
  atEnd: false,
});

/** A node's position in the stream and the configuration that results from it. Immutable. */
export class Replica {
  static readonly start = new Replica(STREAM_START, undefined);

  private constructor(
    /** The configuration and its position in the stream. */
    readonly at: PositionedConfig,
    /** Records that were missed; undefined when there are none. */
    private readonly gap: Gap | undefined,
  ) {}

  get tip(): Tip {
    return this.at.tip;
  }

  get config(): Config {
    return this.at.config;
  }

  /** Whether records were missed, so that the following ones cannot be applied. */
  get hasGap(): boolean {
    return this.gap !== undefined;
  }

  /** Offset to read from next. */
  get readFrom(): number {
    return this.gap?.searchFrom ?? this.tip.through;
  }

  /** Notes that the log holds nothing older than `first`, which may open or widen a gap. */
  trimmed(first: number): ReplicaStep {
    if (first <= this.tip.through) return unchanged(this);
    const searchFrom = Math.max(first, this.gap?.searchFrom ?? 0);
    const replica = new Replica(this.at, { first, searchFrom });
    return this.gap ? unchanged(replica) : unchanged(replica, 'log-gap');
  }

  /** Applies records of the log, or searches them for a checkpoint while there is a gap. */
  read(batch: StreamBatch): ReplicaStep {
    if (batch.next < this.tip.through) return unchanged(this, 'log-behind');
    const { replica, counts } = this.trimmed(batch.first);
    if (replica.gap) return replica.search(batch, replica.gap, counts);
    return replica.foldAll(batch);
  }

  /** Applies changes that a peer has accepted, up to the first that does not follow. */
  applyPeerChanges(changes: readonly AcceptedChange[]): ReplicaStep {
    const accepted: AcceptedChange[] = [];
    let { at } = this;
    for (const change of changes.filter(({ version }) => version > this.tip.version)) {
      if (!isNextChange(at, change)) {
        return { ...unchanged(this.moveTo(at), 'chain-mismatch'), accepted };
      }
      at = applyAccepted(at, change);
      accepted.push(change);
    }
    return { ...unchanged(this.moveTo(at)), accepted };
  }

  /**
   * Adopts a state further along the stream, unless its version is lower, or is the same with
   * another chain.
   */
  adopt(at: PositionedConfig): ReplicaStep {
    const own = this.tip;
    if (at.tip.through <= own.through || at.tip.version < own.version) return unchanged(this);
    if (at.tip.version > own.version) {
      return { ...unchanged(this.moveTo(at)), replaced: true };
    }
    if (at.tip.chain !== own.chain) return unchanged(this, 'chain-mismatch');
    return unchanged(this.moveTo(advancedTo(this.at, at.tip.through)));
  }

  private moveTo(at: PositionedConfig): Replica {
    const closed = this.gap !== undefined && at.tip.through >= this.gap.first;
    return new Replica(at, closed ? undefined : this.gap);
  }

  private foldAll(batch: StreamBatch): ReplicaStep {
    const accepted: AcceptedChange[] = [];
    const conflicts: PublishId[] = [];
    const counts: ConfigCount[] = [];
    let { at } = this;
    let checkpoint: number | undefined;
    let records = 0;
    for (const { offset, value } of batch.records) {
      if (offset !== at.tip.through) continue;
      const { verdict, at: next } = foldRecord(at, value);
      at = next;
      records += 1;
      switch (verdict.kind) {
        case 'accepted':
          accepted.push(verdict.accepted);
          break;
        case 'checkpoint':
          checkpoint = Math.max(checkpoint ?? 0, verdict.tip.through);
          break;
        case 'conflict':
          conflicts.push(verdict.publishId);
          counts.push('conflict');
          break;
        case 'passed-over':
          counts.push(verdict.error.kind);
      }
    }
    const atEnd = at.tip.through >= batch.next;
    const replica = this.moveTo(at);
    return { replica, accepted, conflicts, replaced: false, counts, records, checkpoint, atEnd };
  }

  private search(batch: StreamBatch, gap: Gap, counts: readonly ConfigCount[]): ReplicaStep {
    const values = batch.records.map(({ value }) => value);
    const found = usableCheckpoint(values, Math.max(batch.first, gap.first));
    if (found) {
      const step = this.adopt(found);
      if (!step.replica.hasGap) return { ...step, counts: [...counts, 'from-checkpoint'] };
    }
    const last = batch.records.at(-1);
    const searchFrom = last ? Math.max(gap.searchFrom, last.offset + 1) : gap.searchFrom;
    return unchanged(new Replica(this.at, { ...gap, searchFrom }), ...counts);
  }
}
