import type { NodeAddress, Tip } from '../../model';

import type { AcceptedChange, PositionedConfig } from './fold';
import { ChangeHistory } from './history';
import type { ConfigMessage } from './message';
import { Snapshot } from './snapshot';

/** Maximum number of entries in one message of changes. */
const MAX_ENTRIES_PER_MESSAGE = 250;
/** Number of latest snapshots kept, so that transfers of older ones can finish. */
const MAX_SNAPSHOT_COUNT = 4;

/** Serves peers that are behind with recent changes and with snapshots in parts. */
export class PeerArchive {
  private history = ChangeHistory.empty;

  private snapshots: readonly Snapshot[] = [];

  constructor(private readonly self: NodeAddress) {}

  add(accepted: AcceptedChange): void {
    this.history = this.history.add(accepted);
  }

  /** Returns the changes after `tip`, or the first part of a snapshot if they are not kept. */
  changesAfter(tip: Tip, at: PositionedConfig): ConfigMessage {
    const changes = this.history.after(tip.version, MAX_ENTRIES_PER_MESSAGE);
    return changes ? { kind: 'changes', changes } : this.part(at.tip, 0, at);
  }

  /** Returns a part of the snapshot of `tip` if it is kept, else the first of the current one. */
  part(tip: Tip, part: number, at: PositionedConfig): ConfigMessage {
    const kept = this.snapshots.find((each) => each.at.tip.version === tip.version);
    const snapshot = kept ?? this.takeSnapshot(at);
    const index = kept && part < kept.parts ? part : 0;
    return {
      kind: 'part',
      from: this.self,
      tip: snapshot.at.tip,
      part: index,
      parts: snapshot.parts,
      entries: snapshot.part(index),
    };
  }

  private takeSnapshot(at: PositionedConfig): Snapshot {
    const current = this.snapshots.find((each) => each.at.tip.version === at.tip.version);
    if (current) return current;
    const snapshot = new Snapshot(at);
    this.snapshots = [snapshot, ...this.snapshots].slice(0, MAX_SNAPSHOT_COUNT);
    return snapshot;
  }
}
